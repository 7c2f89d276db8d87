package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// newHedgingHarness returns a harness with hedging allowed, no concurrency limit, and a mean latency of 20 ms
// for the class.
func newHedgingHarness(t *testing.T, class int) *harness {
	t.Helper()
	s := settings()
	s.Agents, s.AllowHedging, s.AllowCancel = 400, true, true
	h := newHarness(t, s, 1, endpoints(6))
	h.serve(60, class, 20*ms)
	return h
}

// A request whose attempt takes longer than nearly all others is hedged at another endpoint. Once one attempt
// is served, the other is cancelled.
func TestHedging(t *testing.T) {
	for _, class := range []int{idempotent, keyedEverywhere} {
		t.Run(fmt.Sprint("class ", class), func(t *testing.T) {
			h := newHedgingHarness(t, class)
			h.request("q", class)
			h.advance(15 * ms)
			if len(h.sent["q"]) != 1 {
				t.Fatal("got a hedge within 15 ms, want none yet")
			}
			h.advance(150 * ms)
			if sent := h.sent["q"]; len(sent) != 2 || sent[0] == sent[1] {
				t.Fatalf("got attempts at %v, want two at different endpoints", sent)
			}
			cancel := balancer.Action(balancer.Cancel{Request: "q", Attempt: 0})
			if actions := h.outcome("q", balancer.Served, 20*ms); !slices.Contains(actions, cancel) {
				t.Errorf("got actions %v, want a Cancel of the first attempt", actions)
			}
		})
	}
}

// Non-idempotent requests are not hedged.
func TestNoHedgingUnlessIdempotent(t *testing.T) {
	h := newHedgingHarness(t, notIdempotent)
	h.request("q", notIdempotent)
	for _, interval := range []time.Duration{15 * ms, 150 * ms} {
		h.advance(interval)
		if len(h.sent["q"]) != 1 {
			t.Fatalf("got a hedge after another %v, want none", interval)
		}
	}
}
