package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry is one entry of the list of passage servers.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// List is a list of passage servers as discovery tells it.
type List struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery is a discovery service. A watch gets the whole list first, then each change, and an empty line every 2 s.
type Discovery struct {
	Addr string

	mu       sync.Mutex
	list     List
	changes  []List
	changed  chan struct{} // closed at the next change
	listener net.Listener
}

// NewDiscovery starts a discovery service on a free port.
func NewDiscovery(servers []Entry) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Addr:     listener.Addr().String(),
		list:     List{Version: 1, Full: true, Servers: servers},
		changed:  make(chan struct{}),
		listener: listener,
	}
	go func() { _ = http.Serve(listener, d) }()
	return d, nil
}

// Current returns the whole list.
func (d *Discovery) Current() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.list
	list.Servers = append([]Entry(nil), d.list.Servers...)
	return list
}

// Change replaces entries of the list and tells them to the open watches.
func (d *Discovery) Change(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	for _, entry := range entries {
		for i := range d.list.Servers {
			if d.list.Servers[i].ID == entry.ID {
				d.list.Servers[i] = entry
			}
		}
	}
	d.changes = append(d.changes, List{Version: d.list.Version, Servers: entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

// after returns the changes after a version and a channel that is closed at the next one.
func (d *Discovery) after(version int) ([]List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var later []List
	for _, change := range d.changes {
		if change.Version > version {
			later = append(later, change)
		}
	}
	return later, d.changed
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list := d.Current()
	if r.URL.Query().Get("follow") == "" {
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	connection := http.NewResponseController(w)
	write := func(list List) {
		_ = json.NewEncoder(w).Encode(list)
		_ = connection.Flush()
	}
	write(list)
	version := list.Version
	for {
		later, changed := d.after(version)
		for _, change := range later {
			write(change)
			version = change.Version
		}
		if len(later) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
			_ = connection.Flush()
		case <-r.Context().Done():
			return
		}
	}
}
