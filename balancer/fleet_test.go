package balancer_test

import (
	"fmt"
	"testing"

	"ashshunt/balancer"
)

// Attempts that hang at an unresponsive endpoint must not use up the capacity of the others once it is
// ejected.
func TestHangingAttemptsUseNoCapacity(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	h := newHarness(t, s, 1, endpoints(3))
	h.serve(60, idempotent, 20*ms)
	h.now += ms
	var hung []string
	bad := ""
	for i := range 18 {
		id := fmt.Sprint("h", i)
		h.request(id, idempotent)
		if i == 0 {
			bad = h.sent[id][0]
		}
		if len(h.sent[id]) == 1 && h.sent[id][0] == bad {
			hung = append(hung, id)
		}
	}
	if len(hung) < 3 {
		t.Fatalf("only %v hang", hung)
	}
	h.now += 20 * ms
	for i := range 18 {
		if id := fmt.Sprint("h", i); len(h.sent[id]) == 1 && h.sent[id][0] != bad {
			h.outcome(id, balancer.Served, 20*ms)
		}
	}
	h.now += 100 * ms
	h.outcome(hung[0], balancer.TimedOut, 120*ms)
	n := 0
	for i := range 40 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		for _, b := range h.sent[id] {
			if n++; b == bad {
				t.Errorf("%s went to the endpoint that answers nothing", id)
			}
		}
	}
	if n < 8 {
		t.Errorf("%d in flight on the two that answer, want all of their capacity of 8", n)
	}
}

// An attempt at an unresponsive endpoint must not use up the whole limit of a quiet agent until its client
// leaves.
func TestUnresponsiveEndpointTakesNoCapacity(t *testing.T) {
	s := settings()
	s.Agents = 5 // capacity for one
	h := newHarness(t, s, 1, endpoints(6))
	h.serve(60, notIdempotent, 10*ms)
	h.request("hung", notIdempotent)
	h.advance(150 * ms) // 0.35 of the objective, more than six mean latencies
	h.request("next", idempotent)
	if s := h.sent["next"]; len(s) != 1 || s[0] == h.sent["hung"][0] {
		t.Errorf("the next request was sent to %v, want another endpoint than the unresponsive %v", s,
			h.sent["hung"])
	}
}
