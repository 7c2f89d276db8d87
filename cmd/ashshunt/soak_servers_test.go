package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"ashshunt/internal/testutil"
)

// endpointFault is how an endpoint fails for a while.
type endpointFault int

// The faults of endpoints.
const (
	faultNone endpointFault = iota
	faultHang
	faultError
	faultReject
	faultReset
	faultSlow
	faultNoLength
	faultCount
)

// soakEndpoint is a stand-in for an endpoint. It tells the judge of each attempt.
type soakEndpoint struct {
	soak   *soak
	id     string
	cell   int
	server *testutil.Server

	mu         sync.Mutex // protects what follows
	fault      endpointFault
	faultUntil time.Time
}

func newSoakEndpoint(s *soak, id string, cell int) *soakEndpoint {
	e := &soakEndpoint{soak: s, id: id, cell: cell}
	e.server = testutil.NewServer(s.t, e.handle)
	go func() { // the judge keeps what matters
		for {
			select {
			case <-e.server.Received:
			case <-e.server.Closed:
			}
		}
	}()
	return e
}

func (e *soakEndpoint) fail(fault endpointFault, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.faultUntil = fault, time.Now().Add(duration)
}

func (e *soakEndpoint) currentFault() endpointFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().After(e.faultUntil) {
		return faultNone
	}
	return e.fault
}

// handle answers a request. Its attempt is out until the response begins, or the agent closes the connection.
func (e *soakEndpoint) handle(conn net.Conn, request *http.Request, _ []byte) bool {
	id := request.Header.Get("X-Call-Id")
	budget, err := strconv.Atoi(request.Header.Get("X-Budget-Ms"))
	if err != nil {
		e.soak.judge.broken("attempt", "no X-Budget-Ms: "+err.Error())
	}
	attempt := &soakAttempt{endpoint: e.id, cell: e.cell, begin: time.Now(), budget: time.Duration(budget) * time.Millisecond}
	fault := e.currentFault()
	attempt.ran = fault != faultReject
	e.soak.judge.attempted(id, attempt, e.soak.discovery.notifiedOfDrain(e.id))
	work := e.soak.rng.between(2*time.Millisecond, 20*time.Millisecond)
	switch fault {
	case faultHang:
		work = time.Hour
	case faultSlow:
		work = e.soak.rng.between(50*time.Millisecond, 400*time.Millisecond)
	}
	closed := closesWithin(conn, work)
	e.soak.judge.ended(attempt)
	if closed {
		return false
	}
	switch fault {
	case faultError:
		testutil.Respond(conn, http.StatusInternalServerError, "", "")
	case faultReject:
		testutil.Respond(conn, http.StatusServiceUnavailable, "X-Rejected: 1\r\n", "")
	case faultReset:
		_ = conn.(*net.TCPConn).SetLinger(0) // fails on a connection that has ended
		return false
	case faultNoLength:
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\ndid " + id)) // the agent may have gone
		return false
	default:
		testutil.Respond(conn, http.StatusOK, "", "did "+id)
	}
	return true
}

// closesWithin waits and reports whether the other side closes the connection meanwhile.
func closesWithin(conn net.Conn, wait time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(wait)) // fails on a connection that has ended, as the read will
	_, err := conn.Read(make([]byte, 1))
	_ = conn.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

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

// propagation is when a change counts as notified at the latest.
const propagation = 6 * time.Second

// soakDiscovery is a stand-in for discovery, at two addresses of which one is in use.
type soakDiscovery struct {
	addrs [2]string

	mu       sync.Mutex // protects what follows
	current  int
	version  int
	entries  []soakEntry
	watches  map[*soakWatch]bool
	drainsAt map[string]time.Time // when the agent counts as notified that an endpoint drains
}

// soakWatch is an open watch.
type soakWatch struct {
	changes chan soakList
	silent  bool          // protected by soakDiscovery.mu
	reset   chan struct{} // closed to end it
	once    sync.Once     // closes reset
}

func newSoakDiscovery(s *soak) *soakDiscovery {
	d := &soakDiscovery{watches: map[*soakWatch]bool{}, drainsAt: map[string]time.Time{}}
	for i := range d.addrs {
		d.addrs[i] = serveHTTP(s.t, func(w http.ResponseWriter, r *http.Request) { d.watch(w, r, i) })
	}
	return d
}

func (d *soakDiscovery) currentAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[d.current]
}

// move turns to the other address. The open watches go on for a while.
func (d *soakDiscovery) move() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = 1 - d.current
	for w := range d.watches {
		time.AfterFunc(1500*time.Millisecond, w.end)
	}
}

func (w *soakWatch) end() { w.once.Do(func() { close(w.reset) }) }

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
	kept := d.entries[:0]
	for _, e := range d.entries {
		if e.ID != entry.ID {
			kept = append(kept, e)
		}
	}
	d.entries = append(kept, entry)
	for w := range d.watches {
		if !w.silent {
			w.changes <- soakList{Version: d.version, Servers: []soakEntry{entry}}
		}
	}
}

// drain lists an endpoint as draining.
func (d *soakDiscovery) drain(id string) {
	d.mu.Lock()
	var entry soakEntry
	for _, e := range d.entries {
		if e.ID == id {
			entry = e
		}
	}
	d.drainsAt[id] = time.Now().Add(propagation)
	d.mu.Unlock()
	entry.State = "DRAINING"
	d.change(entry)
}

// restarted notes that a new process has the list of now in its configuration.
func (d *soakDiscovery) restarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.drainsAt {
		d.drainsAt[id] = earlier(at, time.Now())
	}
}

// delivered notes that a list was written to the agent.
func (d *soakDiscovery) delivered(list soakList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list.Servers {
		if at, drains := d.drainsAt[e.ID]; drains && e.State != "SERVING" {
			d.drainsAt[e.ID] = earlier(at, time.Now())
		}
	}
}

func earlier(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}

// notifiedOfDrain is when the agent counts as notified that an endpoint drains; zero: it does not.
func (d *soakDiscovery) notifiedOfDrain(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drainsAt[id]
}

func (d *soakDiscovery) completeList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.marshal(soakList{Version: d.version, Full: true, Servers: d.entries})
}

func (*soakDiscovery) marshal(list soakList) string {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // the types have no value that can't be written
	}
	return string(text)
}

// watch answers a watch by the complete list and what changes after that.
func (d *soakDiscovery) watch(w http.ResponseWriter, r *http.Request, address int) {
	watch := &soakWatch{changes: make(chan soakList, 1000), reset: make(chan struct{})}
	d.mu.Lock()
	if address != d.current {
		d.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	watch.changes <- soakList{Version: d.version, Full: true, Servers: append([]soakEntry(nil), d.entries...)}
	d.watches[watch] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, watch)
		d.mu.Unlock()
	}()
	for {
		text := ""
		select {
		case list := <-watch.changes:
			text = d.marshal(list)
			d.delivered(list)
		case <-time.After(2 * time.Second):
		case <-watch.reset:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
		silent := watch.silent
		d.mu.Unlock()
		if silent {
			continue
		}
		_, _ = w.Write([]byte(text + "\n")) // the agent may have gone
		w.(http.Flusher).Flush()
	}
}
