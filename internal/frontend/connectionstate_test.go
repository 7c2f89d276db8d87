package frontend

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// pipeConnection returns an open connection of the table that is not a socket.
func pipeConnection(t *testing.T, table *connectionTable) *connection {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() {
		_ = server.Close()
		_ = client.Close()
	})
	return table.add(server)
}

// phaseStep is an event of a connection, and the phase that it must lead to.
type phaseStep struct {
	name  string
	event func(*connection)
	want  phase
	// isListed means that the connection is on the idle list in a phase other than phaseIdle.
	isListed bool
}

// TestConnectionPhases guards the transitions of the state machine, and that the table's idle list and its set of
// incomplete requests match the phase after each event.
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
			{name: "response written", event: reportState(http.StateIdle), want: phaseIdle},
			{name: "next request read with the previous one", event: reportState(http.StateActive), want: phaseReading},
			{name: "complete", event: startResponse, want: phaseServing},
			{name: "bytes of the next request read", event: read, want: phaseServing},
			{name: "response written, next request started", event: reportState(http.StateIdle), want: phaseReading},
			{name: "rejection of an earlier request", event: reject(2), want: phaseReading},
			{name: "rejected", event: reject(3), want: phaseRejected},
			{name: "complete too late", event: startResponse, want: phaseRejected},
			{name: "reported idle", event: reportState(http.StateIdle), want: phaseRejected},
			{name: "closed", event: startClose, want: phaseClosing},
			{name: "closed again", event: startClose, want: phaseClosing},
		})
	})
	t.Run("malformed request read with the previous one", func(t *testing.T) {
		runPhaseSteps(t, []phaseStep{
			{name: "accepted", event: reportState(http.StateNew), want: phaseIdle},
			{name: "error response started", event: startResponse, want: phaseServing, isListed: true},
			{name: "closed", event: startClose, want: phaseClosing},
		})
	})
}

// runPhaseSteps applies the steps to a new connection and verifies its state after each step.
func runPhaseSteps(t *testing.T, steps []phaseStep) {
	t.Helper()
	timeouts := &Timeouts{ReadStall: testutil.Timeout, ReadTotal: testutil.Timeout}
	table := newConnectionTable(0, timeouts, newBudget(), testutil.NewLogger(&testutil.Log{}))
	c := pipeConnection(t, table)
	for _, step := range steps {
		step.event(c)
		if c.state.phase != step.want {
			t.Fatalf("%s: got phase %d, want %d", step.name, c.state.phase, step.want)
		}
		wantListed := step.want == phaseIdle || step.isListed
		if idle := table.idle.contains(c); idle != wantListed || idle != (table.idle.len() == 1) {
			t.Errorf("%s: got in the idle list: %v, and %d in it, want what the phase requires",
				step.name, idle, table.idle.len())
		}
		if incomplete := table.incomplete.contains(c); incomplete != (step.want == phaseReading) {
			t.Errorf("%s: got in the list of incomplete requests %v, want the opposite", step.name, incomplete)
		}
	}
}

// A request with a single read gets no additional time. A request whose bytes continue to arrive does, until ReadTotal
// has passed.
func TestRequestProgress(t *testing.T) {
	timeouts := &Timeouts{ReadStall: time.Hour, ReadTotal: 3 * time.Hour}
	ago := func(hours int) time.Time { return time.Now().Add(-time.Duration(hours) * time.Hour) }
	for _, test := range []struct {
		name     string
		progress requestProgress
		wantTime bool
	}{
		{"one read", requestProgress{readCount: 1, startedAt: ago(0), lastReadAt: ago(0)}, false},
		{"bytes arriving", requestProgress{readCount: 2, startedAt: ago(2), lastReadAt: ago(0)}, true},
		{"stopped", requestProgress{readCount: 2, startedAt: ago(2), lastReadAt: ago(1)}, false},
		{"too slow", requestProgress{readCount: 9, startedAt: ago(3), lastReadAt: ago(0)}, false},
	} {
		if more := test.progress.remaining(timeouts) > 0; more != test.wantTime {
			t.Errorf("%s: got time left %v, want the opposite", test.name, more)
		}
	}
}

// A list of connections preserves its order. A connection may be removed during the iteration, and may be removed
// twice. One that is added again moves to the end.
func TestConnectionList(t *testing.T) {
	var listed connectionList
	first, second, third := &connection{}, &connection{}, &connection{}
	for _, c := range []*connection{first, second, third} {
		listed.add(c, time.Now())
	}
	for c := range listed.all() {
		if c == second {
			listed.remove(c)
			listed.remove(c)
		}
	}
	if left := connectionsOf(&listed); !slices.Equal(left, []*connection{first, third}) || listed.len() != 2 {
		t.Errorf("got %d connections, want the first and the third in this order", listed.len())
	}
	listed.add(first, time.Now())
	if left := connectionsOf(&listed); !slices.Equal(left, []*connection{third, first}) || listed.len() != 2 {
		t.Errorf("got %d connections, want the third and the first in this order", listed.len())
	}
}

func connectionsOf(list *connectionList) (connections []*connection) {
	for c := range list.all() {
		connections = append(connections, c)
	}
	return connections
}
