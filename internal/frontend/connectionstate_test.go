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
	// isListed: the connection is on the idle list though it is not in phaseIdle.
	isListed bool
}

// Each event of a connection leads from phase to phase, and the table's idle list and incomplete requests follow.
func TestConnectionPhases(t *testing.T) {
	reportState := func(state http.ConnState) func(*connection) {
		return func(c *connection) { c.handleConnState(state) }
	}
	read := func(c *connection) { _ = c.recordRead(1) }
	startResponse := func(c *connection) { c.startResponse() }
	reject := func(number int) func(*connection) { return func(c *connection) { c.rejectIncomplete(number) } }
	startClose := func(c *connection) { c.startClose() }
	t.Run("requests", func(t *testing.T) {
		runPhaseSteps(t, []phaseStep{
			{name: "accepted", event: reportState(http.StateNew), want: phaseIdle},
			{name: "first byte", event: func(c *connection) { _ = c.handleReadable() }, want: phaseReading},
			{name: "read", event: read, want: phaseReading},
			{name: "reported active", event: reportState(http.StateActive), want: phaseReading},
			{name: "complete", event: startResponse, want: phaseServing},
			{name: "response out", event: reportState(http.StateIdle), want: phaseIdle},
			{name: "next request with the one before", event: reportState(http.StateActive), want: phaseReading},
			{name: "complete", event: startResponse, want: phaseServing},
			{name: "read behind a request", event: read, want: phaseServing},
			{name: "response out, next begun", event: reportState(http.StateIdle), want: phaseReading},
			{name: "an earlier request rejected", event: reject(2), want: phaseReading},
			{name: "rejected", event: reject(3), want: phaseRejected},
			{name: "complete too late", event: startResponse, want: phaseRejected},
			{name: "reported idle", event: reportState(http.StateIdle), want: phaseRejected},
			{name: "closed", event: startClose, want: phaseClosing},
			{name: "closed again", event: startClose, want: phaseClosing},
		})
	})
	t.Run("malformed request with the one before", func(t *testing.T) {
		runPhaseSteps(t, []phaseStep{
			{name: "accepted", event: reportState(http.StateNew), want: phaseIdle},
			{name: "answered", event: startResponse, want: phaseServing, isListed: true},
			{name: "closed", event: startClose, want: phaseClosing},
		})
	})
}

// runPhaseSteps takes a new connection through steps.
func runPhaseSteps(t *testing.T, steps []phaseStep) {
	t.Helper()
	timeouts := &Timeouts{ReadStall: testutil.Timeout, ReadTotal: testutil.Timeout}
	table := newConnectionTable(0, timeouts)
	c := pipeConnection(t, table)
	for _, step := range steps {
		step.event(c)
		if c.state.phase != step.want {
			t.Fatalf("%s: phase %d, want %d", step.name, c.state.phase, step.want)
		}
		wantListed := step.want == phaseIdle || step.isListed
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
	timeouts := &Timeouts{ReadStall: time.Hour, ReadTotal: 3 * time.Hour}
	ago := func(hours int) time.Time { return time.Now().Add(-time.Duration(hours) * time.Hour) }
	for _, test := range []struct {
		name     string
		progress requestProgress
		wantTime bool
	}{
		{"one read", requestProgress{readCount: 1, startedAt: ago(0), lastReadAt: ago(0)}, false},
		{"still coming", requestProgress{readCount: 2, startedAt: ago(2), lastReadAt: ago(0)}, true},
		{"stopped", requestProgress{readCount: 2, startedAt: ago(2), lastReadAt: ago(1)}, false},
		{"too slow", requestProgress{readCount: 9, startedAt: ago(3), lastReadAt: ago(0)}, false},
	} {
		if more := test.progress.remaining(timeouts) > 0; more != test.wantTime {
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
