package frontend

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// pipeConnection returns a connection of a table that has no socket.
func pipeConnection(t *testing.T, table *connectionTable) *connection {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() {
		_ = server.Close()
		_ = client.Close()
	})
	return table.add(server)
}

// Each event of a connection leads from phase to phase, and the table's idle list and incomplete requests follow.
func TestConnectionPhases(t *testing.T) {
	timeouts := &Timeouts{ReadRequest: testutil.Timeout, ReadSlowRequest: testutil.Timeout}
	table := newConnectionTable(0, timeouts)
	c := pipeConnection(t, table)
	state := func(state http.ConnState) func() { return func() { c.noteServerState(state) } }
	read := func() { _ = c.noteRead(1) }
	for _, step := range []struct {
		name  string
		event func()
		want  phase
	}{
		{"accepted", state(http.StateNew), phaseIdle},
		{"first byte", func() { _ = c.noteReadable() }, phaseReading},
		{"read", read, phaseReading},
		{"reported active", state(http.StateActive), phaseReading},
		{"complete", func() { c.completeRequest() }, phaseServing},
		{"response out", state(http.StateIdle), phaseIdle},
		{"next request with the one before", state(http.StateActive), phaseReading},
		{"complete", func() { c.completeRequest() }, phaseServing},
		{"read behind a request", read, phaseServing},
		{"response out, next begun", state(http.StateIdle), phaseReading},
		{"an earlier request rejected", func() { c.rejectIncomplete(2) }, phaseReading},
		{"rejected", func() { c.rejectIncomplete(3) }, phaseRejected},
		{"complete too late", func() { c.completeRequest() }, phaseRejected},
		{"reported idle", state(http.StateIdle), phaseRejected},
		{"closed", func() { c.beginClose() }, phaseClosing},
		{"closed again", func() { c.beginClose() }, phaseClosing},
	} {
		step.event()
		if c.state.phase != step.want {
			t.Fatalf("%s: phase %d, want %d", step.name, c.state.phase, step.want)
		}
		if idle := c.state.idleElement != nil; idle != (step.want == phaseIdle) || idle != (table.idle.len() == 1) {
			t.Errorf("%s: on the idle list: %v, %d in it", step.name, idle, table.idle.len())
		}
		if _, incomplete := table.incomplete[c]; incomplete != (step.want == phaseReading) {
			t.Errorf("%s: incomplete: %v", step.name, incomplete)
		}
	}
}

// A request that comes in one read gets no more time; one that goes on coming does, up to the limit for all of it.
func TestRequestProgress(t *testing.T) {
	timeouts := &Timeouts{ReadRequest: time.Hour, ReadSlowRequest: 3 * time.Hour}
	ago := func(hours int) time.Time { return time.Now().Add(-time.Duration(hours) * time.Hour) }
	for _, test := range []struct {
		name     string
		progress requestProgress
		more     bool
	}{
		{"one read", requestProgress{reads: 1, begunAt: ago(0), lastReadAt: ago(0)}, false},
		{"still coming", requestProgress{reads: 2, begunAt: ago(2), lastReadAt: ago(0)}, true},
		{"stopped", requestProgress{reads: 2, begunAt: ago(2), lastReadAt: ago(1)}, false},
		{"too slow", requestProgress{reads: 9, begunAt: ago(3), lastReadAt: ago(0)}, false},
	} {
		if more := test.progress.remaining(timeouts) > 0; more != test.more {
			t.Errorf("%s: more time: %v", test.name, more)
		}
	}
}

// The idle list keeps its order, and a connection may be removed as it is visited, or twice.
func TestIdleList(t *testing.T) {
	var idle idleList
	first, second, third := &connection{}, &connection{}, &connection{}
	for _, c := range []*connection{first, second, third} {
		idle.add(c)
	}
	for c := range idle.all() {
		if c == second {
			idle.remove(c)
			idle.remove(c)
		}
	}
	if left := slices.Collect(idle.all()); !slices.Equal(left, []*connection{first, third}) || idle.len() != 2 {
		t.Errorf("%d left", idle.len())
	}
}
