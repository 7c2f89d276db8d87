package endpoint_test

import (
	"strings"
	"testing"

	"ashshunt/internal/endpoint"
)

func newEntry(id, addr string, state endpoint.State, unixMs float64) endpoint.Entry {
	return endpoint.Entry{ID: id, Addr: addr, State: state, StartedAtUnixMs: unixMs}
}

// Connections to a process that has exited or is draining must not be reused, so Apply must return the endpoints that
// are draining, were removed, have a new address or were restarted.
func TestApplyReturnsStaleEndpoints(t *testing.T) {
	table := endpoint.NewTable()
	table.Apply(endpoint.List{Complete: true, Entries: []endpoint.Entry{
		newEntry("a", "x:1", endpoint.StateServing, 0),
		newEntry("b", "x:2", endpoint.StateServing, 0),
		newEntry("c", "x:3", endpoint.StateServing, 0),
		newEntry("d", "x:4", endpoint.StateServing, 0),
		newEntry("e", "x:5", endpoint.StateServing, 0),
	}})
	stale := table.Apply(endpoint.List{Complete: true, Entries: []endpoint.Entry{
		newEntry("a", "x:1", endpoint.StateDraining, 0),
		newEntry("b", "x:9", endpoint.StateServing, 0),
		newEntry("c", "x:3", endpoint.StateServing, 77),
		newEntry("d", "x:4", endpoint.StateServing, 0),
	}})
	if got := strings.Join(stale, ""); got != "abce" {
		t.Errorf("got stale endpoints %q, want abce", got)
	}
}

func TestServing(t *testing.T) {
	table := endpoint.NewTable()
	if table.HasServing() {
		t.Error("HasServing of an empty table: got true, want false")
	}
	table.Apply(endpoint.List{Complete: true, Entries: []endpoint.Entry{
		newEntry("a", "x:1", endpoint.StateServing, 0),
		newEntry("b", "x:2", endpoint.StateDraining, 0),
		newEntry("c", "x:3", endpoint.StateServing, 0),
	}})
	table.Apply(endpoint.List{Entries: []endpoint.Entry{newEntry("c", "", endpoint.StateDeleted, 0)}})
	for id, want := range map[string]bool{"a": true, "b": false, "c": false, "unknown": false} {
		if _, got := table.LookupServing(id); got != want {
			t.Errorf("endpoint %s: got serving %v, want %v", id, got, want)
		}
	}
	if !table.HasServing() {
		t.Error("HasServing of a table with a serving endpoint: got false, want true")
	}
	table.Apply(endpoint.List{Complete: true})
	if _, serving := table.LookupServing("a"); serving || table.HasServing() {
		t.Error("endpoint a is serving after a complete list without it, want none serving")
	}
}
