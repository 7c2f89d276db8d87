package endpoint_test

import (
	"slices"
	"strings"
	"testing"

	"ashshunt/internal/endpoint"
)

// serving returns the IDs of the given endpoints that are serving in a table.
func serving(table *endpoint.Table, ids ...string) string {
	return strings.Join(slices.DeleteFunc(ids, func(id string) bool {
		_, isServing := table.LookupServing(id)
		return !isServing
	}), "")
}

// A process that comes up at the address of another one must not be taken for it: requests to the old endpoint would
// reach the new one, which may be cold or in another cell.
func TestNewProcessAtOldAddress(t *testing.T) {
	const serves, drains, deleted = endpoint.StateServing, endpoint.StateDraining, endpoint.StateDeleted
	before := []endpoint.Entry{newEntry("a", "x:1", serves, 0), newEntry("b", "x:2", serves, 50)}
	for _, test := range []struct {
		name     string
		complete bool
		entries  []endpoint.Entry
		want     string
	}{
		{"new endpoint", false, []endpoint.Entry{newEntry("c", "x:1", serves, 100)}, "bc"},
		{"new endpoint, start unknown", false, []endpoint.Entry{newEntry("c", "x:1", serves, 0)}, "bc"},
		{"endpoint that started before", false, []endpoint.Entry{newEntry("c", "x:2", serves, 40)}, "ab"},
		{"endpoint that moves", false, []endpoint.Entry{newEntry("a", "x:2", serves, 60)}, "a"},
		{"two that exchange their addresses", false,
			[]endpoint.Entry{newEntry("a", "x:2", serves, 0), newEntry("b", "x:1", serves, 50)}, "ab"},
		{"deleted together", false,
			[]endpoint.Entry{newEntry("c", "x:1", serves, 100), newEntry("a", "", deleted, 0)}, "bc"},
		{"draining", false, []endpoint.Entry{newEntry("c", "x:1", drains, 100)}, "ab"},
		{"complete, old one first", true, append(slices.Clone(before), newEntry("c", "x:1", serves, 100)), "bc"},
		{"complete, new one first", true, append([]endpoint.Entry{newEntry("c", "x:1", serves, 100)}, before...), "bc"},
		{"complete, start unknown, new one first", true,
			append([]endpoint.Entry{newEntry("c", "x:1", serves, 0)}, before...), "bc"},
	} {
		table := endpoint.NewTable()
		table.Apply(endpoint.List{Complete: true, Entries: before})
		list := table.ResolveTakeovers(endpoint.List{Complete: test.complete, Entries: test.entries})
		table.Apply(list)
		if got := serving(table, "a", "b", "c"); got != test.want {
			t.Errorf("%s: got %q serving, want %q", test.name, got, test.want)
		}
		if list.Complete != test.complete {
			t.Errorf("%s: got complete %v, want %v", test.name, list.Complete, test.complete)
		}
	}
}

// An update of an endpoint whose address has been taken over must not bring it back.
func TestEndpointWhoseAddressIsTakenOverStaysGone(t *testing.T) {
	table := endpoint.NewTable()
	for _, entry := range []endpoint.Entry{
		newEntry("a", "x:1", endpoint.StateServing, 0),
		newEntry("b", "x:1", endpoint.StateServing, 100),
		newEntry("a", "x:1", endpoint.StateServing, 0),
	} {
		table.Apply(table.ResolveTakeovers(endpoint.List{Entries: []endpoint.Entry{entry}}))
	}
	if got := serving(table, "a", "b"); got != "b" {
		t.Errorf("got %q serving, want b", got)
	}
}
