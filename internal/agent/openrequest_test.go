package agent

import (
	"net/http"
	"testing"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
)

// addWithAttempt adds a request with one attempt in flight to a table.
func addWithAttempt(table *requestTable) *openRequest {
	inbound := frontend.NewRequest()
	inbound.Event = balancer.Request{ID: id}
	r := newOpenRequest(inbound)
	table.add(r)
	r.addAttempt(func() {})
	return r
}

// A request stays in the table until it is over and its last attempt has ended.
func TestRequestPhases(t *testing.T) {
	answer := func(table *requestTable, r *openRequest) {
		table.answer(r, frontend.Response{Status: http.StatusOK})
	}
	for _, test := range []struct {
		name string
		end  func(*requestTable, *openRequest)
		want requestPhase
	}{
		{"answered", answer, phaseAnswered},
		{"abandoned", (*requestTable).abandon, phaseAbandoned},
	} {
		table := newRequestTable()
		r := addWithAttempt(&table)
		if r.phase != phaseOpen || table.findOpen(id) != r {
			t.Errorf("%s: open: phase %d", test.name, r.phase)
		}
		test.end(&table, r)
		if r.phase != test.want || table.find(id) != r || table.findOpen(id) != nil || table.openCount != 0 {
			t.Errorf("%s, with an attempt in flight: phase %d", test.name, r.phase)
		}
		if r.upstream.Lifetime.Err() == nil {
			t.Errorf("%s: its attempt is not told", test.name)
		}
		r.finishAttempt(0, false)
		table.removeIfComplete(r)
		if r.phase != phaseRemoved || table.find(id) != nil {
			t.Errorf("%s, its attempt has ended: phase %d", test.name, r.phase)
		}
	}
}

// An attempt may run while it is in flight, and one that may have run counts for good.
func TestMayHaveRun(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		table := newRequestTable()
		r := addWithAttempt(&table)
		if !r.mayHaveRun() {
			t.Error("an attempt in flight can't run")
		}
		r.finishAttempt(0, mayHaveRun)
		if r.mayHaveRun() != mayHaveRun {
			t.Errorf("may run %v after an attempt that may have run: %v", r.mayHaveRun(), mayHaveRun)
		}
	}
}
