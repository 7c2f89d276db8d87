package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"testing"
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

// soakList is a complete endpoint list, or the changed entries of one.
type soakList struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []soakEntry `json:"servers"`
}

// json returns the list in the JSON format of discovery.
func (l soakList) json() string {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // all values of soakList can be encoded
	}
	return string(text)
}

const (
	// maxNotifyDelay is the time after a change at which the agent counts as notified even without a delivery.
	maxNotifyDelay = 6 * time.Second
	// movedWatchDuration is how long the watches of the old address continue after a switch of the address.
	movedWatchDuration = 1500 * time.Millisecond
	// heartbeatInterval is the time between two empty lines of a watch without changes.
	heartbeatInterval = 2 * time.Second
	// watchCapacity is the number of undelivered changes that a watch can hold.
	watchCapacity = 1000
)

// soakDiscovery is a fake discovery service with two addresses, one of which is in use.
type soakDiscovery struct {
	t     *testing.T
	addrs [2]string

	mu              sync.Mutex // protects the fields below
	currentIndex    int        // index in addrs of the address in use
	version         int
	entries         []soakEntry
	watches         map[*soakWatch]bool
	drainNotifiedAt map[string]time.Time // by endpoint ID: when the agent counts as notified of its drain
}

func newSoakDiscovery(s *soak) *soakDiscovery {
	d := &soakDiscovery{t: s.t, watches: map[*soakWatch]bool{}, drainNotifiedAt: map[string]time.Time{}}
	for i := range d.addrs {
		d.addrs[i] = serveHTTP(s.t, func(w http.ResponseWriter, r *http.Request) { d.serveWatch(w, r, i) })
	}
	return d
}

// setNetwork puts a network between the agent and both addresses.
func (d *soakDiscovery) setNetwork(network soakNetwork) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, addr := range d.addrs {
		d.addrs[i] = network.connect(d.t, addr)
	}
}

func (d *soakDiscovery) currentAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[d.currentIndex]
}

// completeList returns the complete endpoint list in the JSON format of discovery.
func (d *soakDiscovery) completeList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return soakList{Version: d.version, Full: true, Servers: d.entries}.json()
}

// switchAddr switches to the other address. Open watches continue for movedWatchDuration.
func (d *soakDiscovery) switchAddr() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentIndex = 1 - d.currentIndex
	for w := range d.watches {
		time.AfterFunc(movedWatchDuration, w.stop)
	}
}

// breakWatches stops all watches, or makes them silent: open but without further lines.
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

// publish adds an entry to the list, or replaces it, and sends the change to all watches.
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

// drain publishes that an endpoint is draining.
func (d *soakDiscovery) drain(id string) {
	entry := d.recordDrain(id)
	entry.State = "DRAINING"
	d.publish(entry)
}

// recordDrain sets the latest time at which the agent counts as notified of an endpoint's drain, and returns the
// endpoint's entry.
func (d *soakDiscovery) recordDrain(id string) (entry soakEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.IndexFunc(d.entries, func(e soakEntry) bool { return e.ID == id }); i >= 0 {
		entry = d.entries[i]
	}
	d.drainNotifiedAt[id] = time.Now().Add(maxNotifyDelay)
	return entry
}

// recordRestart records that a new process of the agent gets the current list with its configuration.
func (d *soakDiscovery) recordRestart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.drainNotifiedAt {
		d.recordNotifiedLocked(id)
	}
}

// recordDelivery records that a list is sent to the agent. It reports false if the watch has become silent, so that the
// list is not sent and does not notify the agent.
func (d *soakDiscovery) recordDelivery(watch *soakWatch, list soakList) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if watch.silent {
		return false
	}
	for _, e := range list.Servers {
		if _, drains := d.drainNotifiedAt[e.ID]; drains && e.State != "SERVING" {
			d.recordNotifiedLocked(e.ID)
		}
	}
	return true
}

// recordNotifiedLocked records that the agent is notified of an endpoint's drain, now at the latest. The caller holds
// the mutex.
func (d *soakDiscovery) recordNotifiedLocked(id string) {
	if now := time.Now(); now.Before(d.drainNotifiedAt[id]) {
		d.drainNotifiedAt[id] = now
	}
}

// drainNotificationTime returns when the agent counts as notified of an endpoint's drain, or zero if the endpoint is
// not draining.
func (d *soakDiscovery) drainNotificationTime(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainNotifiedAt[id]
}

// soakWatch is an open watch.
type soakWatch struct {
	changes chan soakList
	silent  bool          // protected by soakDiscovery.mu
	stopped chan struct{} // closed by stop
	once    sync.Once     // closes stopped
}

func (w *soakWatch) stop() { w.once.Do(func() { close(w.stopped) }) }

// addWatch adds a watch that starts with the complete list. It returns nil for an address that is not in use.
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

// serveWatch responds to a watch with the complete list and subsequent changes.
func (d *soakDiscovery) serveWatch(w http.ResponseWriter, r *http.Request, addrIndex int) {
	watch := d.addWatch(addrIndex)
	if watch == nil {
		panic(http.ErrAbortHandler)
	}
	defer d.removeWatch(watch)
	for {
		line, list := "", soakList{}
		select {
		case list = <-watch.changes:
			line = list.json()
		case <-time.After(heartbeatInterval):
		case <-watch.stopped:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		if !d.recordDelivery(watch, list) {
			continue
		}
		_, _ = w.Write([]byte(line + "\n")) // fails if the agent has disconnected
		_ = http.NewResponseController(w).Flush()
	}
}
