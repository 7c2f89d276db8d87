package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// soakEntry is an entry of the endpoint list.
type soakEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// soakList is an endpoint list, or the changes of one.
type soakList struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []soakEntry `json:"servers"`
}

// json returns the list as discovery writes it.
func (l soakList) json() string {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // the types have no value that can't be written
	}
	return string(text)
}

const (
	// propagationTime is when a change counts as notified at the latest.
	propagationTime = 6 * time.Second
	// movedWatchTime is how long the watches of an address go on after discovery has moved.
	movedWatchTime = 1500 * time.Millisecond
	// heartbeatInterval is the time between two lines of a watch without changes.
	heartbeatInterval = 2 * time.Second
	// watchCapacity is how many changes a watch that is not read may be behind.
	watchCapacity = 1000
)

// soakDiscovery is a stand-in for discovery, at two addresses of which one is in use.
type soakDiscovery struct {
	addrs [2]string

	mu       sync.Mutex // protects what follows
	current  int        // position of the address in use
	version  int
	entries  []soakEntry
	watches  map[*soakWatch]bool
	drainsAt map[string]time.Time // when the agent counts as notified that an endpoint drains
}

func newSoakDiscovery(s *soak) *soakDiscovery {
	d := &soakDiscovery{watches: map[*soakWatch]bool{}, drainsAt: map[string]time.Time{}}
	for i := range d.addrs {
		d.addrs[i] = serveHTTP(s.t, func(w http.ResponseWriter, r *http.Request) { d.serveWatch(w, r, i) })
	}
	return d
}

func (d *soakDiscovery) currentAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[d.current]
}

// completeList returns the endpoint list as discovery writes it.
func (d *soakDiscovery) completeList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return soakList{Version: d.version, Full: true, Servers: d.entries}.json()
}

// move switches to the other address. The open watches go on for a while.
func (d *soakDiscovery) move() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = 1 - d.current
	for w := range d.watches {
		time.AfterFunc(movedWatchTime, w.end)
	}
}

// breakWatches ends all watches, or has them fall silent.
func (d *soakDiscovery) breakWatches(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		if silent {
			w.silent = true
		} else {
			w.end()
		}
	}
}

// change lists an entry, or another state of it.
func (d *soakDiscovery) change(entry soakEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries = slices.DeleteFunc(d.entries, func(e soakEntry) bool { return e.ID == entry.ID })
	d.entries = append(d.entries, entry)
	for w := range d.watches {
		if !w.silent {
			w.changes <- soakList{Version: d.version, Servers: []soakEntry{entry}}
		}
	}
}

// drain lists an endpoint as draining.
func (d *soakDiscovery) drain(id string) {
	entry := d.startDrain(id)
	entry.State = "DRAINING"
	d.change(entry)
}

// startDrain notes when the agent counts as notified, and returns the entry of the endpoint.
func (d *soakDiscovery) startDrain(id string) (entry soakEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.IndexFunc(d.entries, func(e soakEntry) bool { return e.ID == id }); i >= 0 {
		entry = d.entries[i]
	}
	d.drainsAt[id] = time.Now().Add(propagationTime)
	return entry
}

// restarted notes that a new process has the current list in its configuration.
func (d *soakDiscovery) restarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.drainsAt {
		d.notifyLocked(id)
	}
}

// delivered notes that a list was written to the agent.
func (d *soakDiscovery) delivered(list soakList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list.Servers {
		if _, drains := d.drainsAt[e.ID]; drains && e.State != "SERVING" {
			d.notifyLocked(e.ID)
		}
	}
}

// notifyLocked counts the agent as notified by now that an endpoint drains. The caller holds the mutex.
func (d *soakDiscovery) notifyLocked(id string) {
	if now := time.Now(); now.Before(d.drainsAt[id]) {
		d.drainsAt[id] = now
	}
}

// notifiedOfDrain is when the agent counts as notified that an endpoint drains; zero: it does not.
func (d *soakDiscovery) notifiedOfDrain(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainsAt[id]
}

// soakWatch is an open watch.
type soakWatch struct {
	changes chan soakList
	silent  bool          // protected by soakDiscovery.mu
	ended   chan struct{} // closed to end it
	once    sync.Once     // closes ended
}

func (w *soakWatch) end() { w.once.Do(func() { close(w.ended) }) }

// openWatch adds a watch, whose first list is the complete one. It returns nil at an address that is not in use.
func (d *soakDiscovery) openWatch(address int) *soakWatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address != d.current {
		return nil
	}
	watch := &soakWatch{changes: make(chan soakList, watchCapacity), ended: make(chan struct{})}
	watch.changes <- soakList{Version: d.version, Full: true, Servers: slices.Clone(d.entries)}
	d.watches[watch] = true
	return watch
}

func (d *soakDiscovery) closeWatch(watch *soakWatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, watch)
}

func (d *soakDiscovery) isSilent(watch *soakWatch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return watch.silent
}

// serveWatch responds to a watch with the complete list and the changes after it.
func (d *soakDiscovery) serveWatch(w http.ResponseWriter, r *http.Request, address int) {
	watch := d.openWatch(address)
	if watch == nil {
		panic(http.ErrAbortHandler)
	}
	defer d.closeWatch(watch)
	for {
		line := ""
		select {
		case list := <-watch.changes:
			line = list.json()
			d.delivered(list)
		case <-time.After(heartbeatInterval):
		case <-watch.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		if d.isSilent(watch) {
			continue
		}
		_, _ = w.Write([]byte(line + "\n")) // the agent may have gone
		_ = http.NewResponseController(w).Flush()
	}
}
