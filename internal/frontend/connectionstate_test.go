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

// phaseStep is an event of a connection, and the phase that the connection is in after it.
type phaseStep struct {
	name  string
	event func(*connection)
	want  phase
	// listed: the connection is on the idle list though it is not in phaseIdle.
	listed bool
}

// Each event of a connection leads from phase to phase, and the table's idle list and incomplete requests follow.
func TestConnectionPhases(t *testing.T) {
	report := func(state http.ConnState) func(*connection) {
		return func(c *connection) { c.noteServerState(state) }
	}
	read := func(c *connection) { _ = c.noteRead(1) }
	begin := func(c *connection) { c.beginResponse() }
	reject := func(number int) func(*connection) { return func(c *connection) { c.rejectIncomplete(number) } }
	closing := func(c *connection) { c.beginClose() }
	t.Run("requests", func(t *testing.T) {
		checkPhases(t, []phaseStep{
			{name: "accepted", event: report(http.StateNew), want: phaseIdle},
			{name: "first byte", event: func(c *connection) { _ = c.noteReadable() }, want: phaseReading},
			{name: "read", event: read, want: phaseReading},
			{name: "reported active", event: report(http.StateActive), want: phaseReading},
			{name: "complete", event: begin, want: phaseServing},
			{name: "response out", event: report(http.StateIdle), want: phaseIdle},
			{name: "next request with the one before", event: report(http.StateActive), want: phaseReading},
			{name: "complete", event: begin, want: phaseServing},
			{name: "read behind a request", event: read, want: phaseServing},
			{name: "response out, next begun", event: report(http.StateIdle), want: phaseReading},
			{name: "an earlier request rejected", event: reject(2), want: phaseReading},
			{name: "rejected", event: reject(3), want: phaseRejected},
			{name: "complete too late", event: begin, want: phaseRejected},
			{name: "reported idle", event: report(http.StateIdle), want: phaseRejected},
			{name: "closed", event: closing, want: phaseClosing},
			{name: "closed again", event: closing, want: phaseClosing},
		})
	})
	t.Run("malformed request with the one before", func(t *testing.T) {
		checkPhases(t, []phaseStep{
			{name: "accepted", event: report(http.StateNew), want: phaseIdle},
			{name: "answered", event: begin, want: phaseServing, listed: true},
			{name: "closed", event: closing, want: phaseClosing},
		})
	})
}

// checkPhases takes a new connection through steps.
func checkPhases(t *testing.T, steps []phaseStep) {
	t.Helper()
	timeouts := &Timeouts{ReadRequest: testutil.Timeout, ReadSlowRequest: testutil.Timeout}
	table := newConnectionTable(0, timeouts)
	c := pipeConnection(t, table)
	for _, step := range steps {
		step.event(c)
		if c.state.phase != step.want {
			t.Fatalf("%s: phase %d, want %d", step.name, c.state.phase, step.want)
		}
		wantListed := step.want == phaseIdle || step.listed
		if idle := c.state.idleElement != nil; idle != wantListed || idle != (table.idle.len() == 1) {
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
