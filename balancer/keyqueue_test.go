package balancer_test

import (
	"testing"

	"ashshunt/balancer"
)

// newOrderedHarness has ordered classes, with a quiet period of 200 ms.
func newOrderedHarness(t *testing.T) *harness {
	t.Helper()
	s := settings()
	s.Classes[notIdempotent].Ordered, s.Classes[idempotent].Ordered = true, true
	s.KeyQuietPeriod = 200 * ms
	return newHarness(t, s, 1, endpoints(4))
}

// Requests of one key run one at a time, over all ordered classes; others do not wait.
func TestOrderedRequests(t *testing.T) {
	h := newOrderedHarness(t)
	tests := []struct {
		id    string
		class int
		key   string
		want  int // attempts
	}{
		{"first", notIdempotent, "k", 1},
		{"second", idempotent, "k", 0},
		{"other key", notIdempotent, "l", 1},
		{"no key", notIdempotent, "", 1},
		{"class without order", keyedEverywhere, "k", 1},
	}
	for _, tt := range tests {
		h.requestWithKey(tt.id, tt.class, tt.key)
	}
	for _, tt := range tests {
		if got := len(h.sent[tt.id]); got != tt.want {
			t.Errorf("%s: %d attempts, want %d", tt.id, got, tt.want)
		}
	}
	h.outcomeAfter("first", balancer.Served, 10*ms)
	if len(h.sent["second"]) != 1 {
		t.Error("the second did not follow the first at once")
	}
}

// After a time-out the key is quiet: the next request is sent when the quiet period ends.
func TestKeyQuietPeriod(t *testing.T) {
	h := newOrderedHarness(t)
	h.serve(50, notIdempotent, 5*ms)
	h.requestWithKey("first", notIdempotent, "k")
	h.requestWithKey("second", notIdempotent, "k")
	if got := finalAnswer("first", h.outcomeAfter("first", balancer.TimedOut, 50*ms)); got != "fail" {
		t.Fatalf("first: %q, want fail", got)
	}
	h.advance(199 * ms)
	if len(h.sent["second"]) != 0 {
		t.Error("the second was sent in the quiet period")
	}
	h.advance(2 * ms)
	if len(h.sent["second"]) != 1 {
		t.Error("the second was not sent after the quiet period")
	}
	// The request whose attempt made the key quiet is retried without waiting.
	h.requestWithKey("head", idempotent, "m")
	h.outcomeAfter("head", balancer.Reset, 50*ms)
	h.advance(150 * ms)
	if len(h.sent["head"]) < 2 {
		t.Error("a reset delayed the retry of the same request")
	}
}

// An abandoned request still blocks its key while its attempt is in flight.
func TestAbandonedRequestBlocksItsKey(t *testing.T) {
	h := newOrderedHarness(t)
	h.requestWithKey("first", notIdempotent, "k")
	h.requestWithKey("second", notIdempotent, "k")
	h.step(balancer.Abandoned{Request: "first"})
	if len(h.sent["second"]) != 0 {
		t.Error("the second was sent while an attempt of the first was in flight")
	}
	h.outcomeAfter("first", balancer.Served, 20*ms)
	if len(h.sent["second"]) != 1 {
		t.Error("the second was not sent after the outcome of the first")
	}
}
