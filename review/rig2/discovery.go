package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an entry of the endpoint list, in the form of PROTOCOL-ashshunt.md.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// change is an entry with the version at which it changed.
type change struct {
	version int
	entry   entry
}

// discovery is a stand-in for discovery that pushes changes. It answers a watch with the changes after the version that
// the watch names, or with the whole list if it names none.
type discovery struct {
	rec      *record
	listener net.Listener
	delay    time.Duration // time from a call to the first byte of its answer

	mu      sync.Mutex
	version int
	entries map[string]entry
	order   []string
	changes []change
	changed chan struct{} // closed at the next change
}

func newDiscovery(rec *record, version int, servers []entry) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, listener: listener, version: version, entries: map[string]entry{},
		changed: make(chan struct{})}
	for _, e := range servers {
		d.entries[e.ID] = e
		d.order = append(d.order, e.ID)
	}
	go func() { _ = http.Serve(listener, d) }() // returns when the listener is closed
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// complete returns the whole list.
func (d *discovery) complete() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Full: true, Servers: []entry{}}
	for _, id := range d.order {
		if e, ok := d.entries[id]; ok {
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

// after returns the changes after a version.
func (d *discovery) after(version int) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Servers: []entry{}}
	for _, c := range d.changes {
		if c.version > version {
			l.Servers = append(l.Servers, c.entry)
		}
	}
	return l
}

// set changes entries of the list.
func (d *discovery) set(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range entries {
		if _, known := d.entries[e.ID]; !known {
			d.order = append(d.order, e.ID)
		}
		d.entries[e.ID] = e
		if e.State == "DELETED" {
			delete(d.entries, e.ID)
		}
		d.changes = append(d.changes, change{d.version, e})
		d.rec.add(time.Now(), "discovery has version %d: %s %s %s", d.version, e.ID, e.State, e.Addr)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) next() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	called := time.Now()
	d.rec.add(called, "discovery called: %s", r.URL.RequestURI())
	select {
	case <-time.After(d.delay):
	case <-r.Context().Done():
		d.rec.add(time.Now(), "discovery: the caller gave up after %.3f s", time.Since(called).Seconds())
		return
	}
	if r.URL.Query().Get("follow") == "" {
		_ = json.NewEncoder(w).Encode(d.complete())
		return
	}
	changed := d.next()
	first := d.complete()
	if since, err := strconv.Atoi(r.URL.Query().Get("since")); err == nil {
		first = d.after(since)
	}
	flush := http.NewResponseController(w)
	send := func(l list) {
		_ = json.NewEncoder(w).Encode(l)
		_ = flush.Flush()
		d.rec.add(time.Now(), "discovery wrote version %d, full %t, %d entries", l.Version, l.Full, len(l.Servers))
	}
	_ = flush.Flush()
	if first.Full || len(first.Servers) > 0 {
		send(first)
	}
	told := first.Version
	for {
		select {
		case <-changed:
			changed = d.next()
			l := d.after(told)
			told = l.Version
			send(l)
		case <-time.After(2 * time.Second):
			_, _ = fmt.Fprint(w, "\n")
			_ = flush.Flush()
		case <-r.Context().Done():
			return
		}
	}
}
