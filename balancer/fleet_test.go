package balancer_test

import (
	"fmt"
	"testing"

	"ashshunt/balancer"
)

// Once an unresponsive endpoint is ejected, attempts in flight there do not use up the concurrency limit for
// the other endpoints.
func TestStalledAttemptsUseNoCapacity(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	h := newHarness(t, s, 1, endpoints(3))
	h.serve(60, idempotent, 20*ms)
	h.now += ms
	h.burst("h", 18, idempotent)
	unresponsive := h.firstEndpoint("h0")
	var stalled []string
	for i := range 18 {
		if id := fmt.Sprint("h", i); len(h.sent[id]) == 1 && h.sent[id][0] == unresponsive {
			stalled = append(stalled, id)
		}
	}
	if len(stalled) < 3 {
		t.Fatalf("got stalled requests %v, want at least 3", stalled)
	}
	h.now += 20 * ms
	for i := range 18 { // includes the requests that are sent in the meantime
		if id := fmt.Sprint("h", i); len(h.sent[id]) == 1 && h.sent[id][0] != unresponsive {
			h.outcome(id, balancer.Served, 20*ms)
		}
	}
	h.now += 100 * ms
	h.outcome(stalled[0], balancer.TimedOut, 120*ms)
	counts := h.burst("q", 40, idempotent)
	if n := counts[unresponsive]; n > 0 {
		t.Errorf("the unresponsive endpoint got %d of 40 requests, want none", n)
	}
	if n := total(counts); n < 8 {
		t.Errorf("got %d attempts in flight at the two responsive endpoints, want at least their limit of 8", n)
	}
}

// An attempt at an unresponsive endpoint does not use up the whole limit of an agent with little traffic
// until the client disconnects.
func TestUnresponsiveEndpointTakesNoCapacity(t *testing.T) {
	s := settings()
	s.Agents = 5 // this agent's limit: one attempt
	h := newHarness(t, s, 1, endpoints(6))
	h.serve(60, notIdempotent, 10*ms)
	h.request("hanging", notIdempotent)
	h.advance(150 * ms) // 0.35 of the objective, more than six mean latencies
	h.request("next", idempotent)
	if sent := h.sent["next"]; len(sent) != 1 || sent[0] == h.firstEndpoint("hanging") {
		t.Errorf("the next request was sent to %v, want one endpoint other than %v", sent,
			h.sent["hanging"])
	}
}
