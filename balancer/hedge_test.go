package balancer_test

import (
	"slices"
	"testing"

	"ashshunt/balancer"
)

// Where no limit binds, a request whose attempt has no response for longer than nearly all take is hedged at
// another endpoint, at the price of a time-out; the slower attempt is cancelled.
func TestHedging(t *testing.T) {
	s := settings()
	s.Agents, s.AllowHedging, s.AllowCancel = 400, true, true
	for _, class := range []int{idempotent, keyedEverywhere, notIdempotent} {
		h := newHarness(t, s, 1, endpoints(6))
		h.serve(60, class, 20*ms)
		h.request("q", class)
		h.advance(15 * ms)
		if len(h.sent["q"]) != 1 {
			t.Fatalf("class %d: tried again after 15 ms", class)
		}
		h.advance(150 * ms)
		if class == notIdempotent {
			if len(h.sent["q"]) != 1 {
				t.Error("an unsafe request was sent twice")
			}
			continue
		}
		if len(h.sent["q"]) != 2 || h.sent["q"][0] == h.sent["q"][1] {
			t.Fatalf("class %d: attempts at %v, want two on different endpoints", class, h.sent["q"])
		}
		want := balancer.Cancel{Request: "q", Attempt: 0}
		if acts := h.outcome("q", balancer.Served, 20*ms); !slices.Contains(acts, balancer.Action(want)) {
			t.Errorf("class %d: the first attempt was not cancelled: %v", class, acts)
		}
	}
}
