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
	// maxNotifyDelay is when a change counts as notified at the latest.
	maxNotifyDelay = 6 * time.Second
	// movedWatchDuration is how long the watches of an address go on after discovery has moved.
	movedWatchDuration = 1500 * time.Millisecond
	// heartbeatInterval is the time between two lines of a watch without changes.
	heartbeatInterval = 2 * time.Second
	// watchCapacity is how many changes a watch that is not read may be behind.
	watchCapacity = 1000
)

// soakDiscovery is a stand-in for discovery, at two addresses of which one is in use.
type soakDiscovery struct {
	addrs [2]string

	mu              sync.Mutex // protects what follows
	currentIndex    int        // position of the address in use
	version         int
	entries         []soakEntry
	watches         map[*soakWatch]bool
	drainNotifiedAt map[string]time.Time // when the agent counts as notified that an endpoint drains
}

func newSoakDiscovery(s *soak) *soakDiscovery {
	d := &soakDiscovery{watches: map[*soakWatch]bool{}, drainNotifiedAt: map[string]time.Time{}}
	for i := range d.addrs {
		d.addrs[i] = serveHTTP(s.t, func(w http.ResponseWriter, r *http.Request) { d.serveWatch(w, r, i) })
	}
	return d
}

func (d *soakDiscovery) currentAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[d.currentIndex]
}

// completeList returns the endpoint list as discovery writes it.
func (d *soakDiscovery) completeList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return soakList{Version: d.version, Full: true, Servers: d.entries}.json()
}

// switchAddr switches to the other address. The open watches go on for a while.
func (d *soakDiscovery) switchAddr() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentIndex = 1 - d.currentIndex
	for w := range d.watches {
		time.AfterFunc(movedWatchDuration, w.stop)
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
			w.stop()
		}
	}
}

// publish lists an entry, or another state of it.
func (d *soakDiscovery) publish(entry soakEntry) {
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
	entry := d.recordDrain(id)
	entry.State = "DRAINING"
	d.publish(entry)
}

// recordDrain notes when the agent counts as notified, and returns the entry of the endpoint.
func (d *soakDiscovery) recordDrain(id string) (entry soakEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.IndexFunc(d.entries, func(e soakEntry) bool { return e.ID == id }); i >= 0 {
		entry = d.entries[i]
	}
	d.drainNotifiedAt[id] = time.Now().Add(maxNotifyDelay)
	return entry
}

// recordRestart notes that a new process has the current list in its configuration.
func (d *soakDiscovery) recordRestart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.drainNotifiedAt {
		d.recordNotifiedLocked(id)
	}
}

// recordDelivery notes that a list was written to the agent.
func (d *soakDiscovery) recordDelivery(list soakList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list.Servers {
		if _, drains := d.drainNotifiedAt[e.ID]; drains && e.State != "SERVING" {
			d.recordNotifiedLocked(e.ID)
		}
	}
}

// recordNotifiedLocked counts the agent as notified by now that an endpoint drains. The caller holds the mutex.
func (d *soakDiscovery) recordNotifiedLocked(id string) {
	if now := time.Now(); now.Before(d.drainNotifiedAt[id]) {
		d.drainNotifiedAt[id] = now
	}
}

// drainNotificationTime is when the agent counts as notified that an endpoint drains; zero: it does not.
func (d *soakDiscovery) drainNotificationTime(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainNotifiedAt[id]
}

// soakWatch is an open watch.
type soakWatch struct {
	changes chan soakList
	silent  bool          // protected by soakDiscovery.mu
	stopped chan struct{} // closed to end it
	once    sync.Once     // closes ended
}

func (w *soakWatch) stop() { w.once.Do(func() { close(w.stopped) }) }

// addWatch adds a watch, whose first list is the complete one. It returns nil at an address that is not in use.
func (d *soakDiscovery) addWatch(addrIndex int) *soakWatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addrIndex != d.currentIndex {
		return nil
	}
	watch := &soakWatch{changes: make(chan soakList, watchCapacity), stopped: make(chan struct{})}
	watch.changes <- soakList{Version: d.version, Full: true, Servers: slices.Clone(d.entries)}
	d.watches[watch] = true
	return watch
}

func (d *soakDiscovery) removeWatch(watch *soakWatch) {
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
func (d *soakDiscovery) serveWatch(w http.ResponseWriter, r *http.Request, addrIndex int) {
	watch := d.addWatch(addrIndex)
	if watch == nil {
		panic(http.ErrAbortHandler)
	}
	defer d.removeWatch(watch)
	for {
		line := ""
		select {
		case list := <-watch.changes:
			line = list.json()
			d.recordDelivery(list)
		case <-time.After(heartbeatInterval):
		case <-watch.stopped:
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
