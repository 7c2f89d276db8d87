// Package endpoint holds the list of endpoints as discovery tells it, and the table that attempts consult.
package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"

	"ashshunt/balancer"
)

// Entry is one entry of discovery's list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"`
}

// List is discovery's list, or the entries of it that changed.
type List struct {
	Version int64
	Full    bool
	Entries []Entry
}

// States gives the decision module's state for each state that discovery names.
var States = map[string]balancer.EndpointState{
	"SERVING": balancer.Serving, "DRAINING": balancer.Draining, "DELETED": balancer.Removed,
}

// ParseList reads one list and checks it: half a list could silence good backends.
func ParseList(raw []byte) (List, error) {
	var f struct {
		Version *int64
		Full    bool
		Servers *[]Entry
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return List{}, err
	}
	if f.Version == nil || f.Servers == nil {
		return List{}, errors.New("missing version or servers")
	}
	for _, s := range *f.Servers {
		state, ok := States[s.State]
		switch {
		case s.ID == "":
			return List{}, errors.New("server without id")
		case !ok:
			return List{}, fmt.Errorf("server %s: unknown state %q", s.ID, s.State)
		case state != balancer.Removed && CheckAddress(s.Addr) != nil:
			return List{}, fmt.Errorf("server %s: %w", s.ID, CheckAddress(s.Addr))
		}
	}
	return List{Version: *f.Version, Full: f.Full, Entries: *f.Servers}, nil
}

// Table is the list as last told, shared with the attempts: these look at it right before their
// first byte, so that a change counts from the moment it is read, not from the module's next step.
type Table struct {
	mu      sync.RWMutex
	entries map[string]Entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]Entry{}} }

// Apply takes a listing and returns the backends whose idle connections are of no more use: they
// drain, are gone, moved or were started again.
func (t *Table) Apply(l List) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stale []string
	listed := map[string]bool{}
	for _, s := range l.Entries {
		listed[s.ID] = true
		old, known := t.entries[s.ID]
		if known && (s.State != "SERVING" || !s.SameProcess(old)) {
			stale = append(stale, s.ID)
		}
		if States[s.State] == balancer.Removed {
			delete(t.entries, s.ID)
		} else {
			t.entries[s.ID] = s
		}
	}
	if l.Full {
		for id := range t.entries {
			if !listed[id] {
				delete(t.entries, id)
				stale = append(stale, id)
			}
		}
	}
	return stale
}

// Serving returns the entry of a backend that may get new work.
func (t *Table) Serving(id string) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.entries[id]
	return s, ok && s.State == "SERVING"
}

// SameProcess reports whether two entries of a backend tell of one process at one address.
func (s Entry) SameProcess(o Entry) bool { return s.Addr == o.Addr && s.StartedMs == o.StartedMs }

// AnyServing tells whether some backend may get new work.
func (t *Table) AnyServing() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.entries {
		if s.State == "SERVING" {
			return true
		}
	}
	return false
}

// CheckAddress reports whether an address is host:port with a valid port.
func CheckAddress(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not host:port", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q has no valid port", addr)
	}
	return nil
}
