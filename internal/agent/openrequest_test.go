package agent

import (
	"net/http"
	"testing"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
)

// addWithAttempt adds a request with one attempt in flight to a table.
func addWithAttempt(table *requestTable) *trackedRequest {
	inbound := frontend.NewRequest()
	inbound.Event = balancer.Request{ID: id}
	r := newTrackedRequest(inbound)
	table.add(r)
	r.addAttempt(0, func() {})
	return r
}

// A request must stay in the table until it is finished and its last attempt is finished.
func TestRequestPhases(t *testing.T) {
	answer := func(table *requestTable, r *trackedRequest) {
		table.answer(r, frontend.Response{Status: http.StatusOK})
	}
	for _, test := range []struct {
		name string
		end  func(*requestTable, *trackedRequest)
		want requestPhase
	}{
		{"answered", answer, phaseAnswered},
		{"abandoned", (*requestTable).abandon, phaseAbandoned},
	} {
		table := newRequestTable(func(*trackedRequest) {})
		r := addWithAttempt(&table)
		if r.phase != phaseOpen || table.findOpen(id) != r {
			t.Errorf("%s: open: got phase %d, want phaseOpen and the request in the table", test.name, r.phase)
		}
		test.end(&table, r)
		if r.phase != test.want || table.find(id) != r || table.findOpen(id) != nil || table.openCount != 0 {
			t.Errorf("%s, with an attempt in flight: got phase %d, want the request in the table but not open",
				test.name, r.phase)
		}
		if r.upstream.Lifetime.Err() == nil {
			t.Errorf("%s: the request's lifetime is not canceled", test.name)
		}
		r.finishAttempt(0, false)
		table.removeIfComplete(r)
		if r.phase != phaseRemoved || table.find(id) != nil {
			t.Errorf("%s, with a finished attempt: got phase %d, want phaseRemoved", test.name, r.phase)
		}
	}
}

// mayHaveRun must be true while an attempt is in flight, and after an attempt that may have run.
func TestMayHaveRun(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		table := newRequestTable(func(*trackedRequest) {})
		r := addWithAttempt(&table)
		if !r.mayHaveRun() {
			t.Error("mayHaveRun is false with an attempt in flight")
		}
		r.finishAttempt(0, mayHaveRun)
		if r.mayHaveRun() != mayHaveRun {
			t.Errorf("mayHaveRun after the attempt: got %v, want %v", r.mayHaveRun(), mayHaveRun)
		}
	}
}
