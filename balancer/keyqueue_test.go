package balancer_test

import (
	"testing"

	"ashshunt/balancer"
)

// newOrderedHarness returns a harness with two ordered classes and a quiet period of 200 ms.
func newOrderedHarness(t *testing.T) *harness {
	t.Helper()
	s := settings()
	s.Classes[notIdempotent].Ordered, s.Classes[idempotent].Ordered = true, true
	s.KeyQuietPeriod = 200 * ms
	return newHarness(t, s, 1, endpoints(4))
}

// Requests with the same key run one at a time, across all ordered classes. Other requests do not wait.
func TestOrderedRequests(t *testing.T) {
	h := newOrderedHarness(t)
	tests := []struct {
		id    string
		class int
		key   string
		want  int // number of attempts
	}{
		{"first", notIdempotent, "k", 1},
		{"second", idempotent, "k", 0},
		{"other key", notIdempotent, "l", 1},
		{"no key", notIdempotent, "", 1},
		{"unordered class", keyedEverywhere, "k", 1},
	}
	for _, tt := range tests {
		h.requestWithKey(tt.id, tt.class, tt.key)
	}
	for _, tt := range tests {
		if got := len(h.sent[tt.id]); got != tt.want {
			t.Errorf("%s: got %d attempts, want %d", tt.id, got, tt.want)
		}
	}
	h.outcomeAfter("first", balancer.Served, 10*ms)
	if len(h.sent["second"]) != 1 {
		t.Error("the second request was not sent when the first finished")
	}
}

// After a time-out the key has a quiet period. The next request is sent when it ends.
func TestKeyQuietPeriod(t *testing.T) {
	h := newOrderedHarness(t)
	h.serve(50, notIdempotent, 5*ms)
	h.requestWithKey("first", notIdempotent, "k")
	h.requestWithKey("second", notIdempotent, "k")
	if got := finalAnswer("first", h.outcomeAfter("first", balancer.TimedOut, 50*ms)); got != "fail" {
		t.Fatalf("first: got answer %q, want fail", got)
	}
	h.advance(199 * ms)
	if len(h.sent["second"]) != 0 {
		t.Error("the second request was sent in the quiet period")
	}
	h.advance(2 * ms)
	if len(h.sent["second"]) != 1 {
		t.Error("the second request was not sent after the quiet period")
	}
	// The request that causes the quiet period is retried without waiting for its end.
	h.requestWithKey("head", idempotent, "m")
	h.outcomeAfter("head", balancer.Reset, 50*ms)
	h.advance(150 * ms)
	if len(h.sent["head"]) < 2 {
		t.Error("the quiet period delayed the retry of the request that caused it")
	}
}

// An abandoned request blocks its key while its attempt is in flight.
func TestAbandonedRequestBlocksItsKey(t *testing.T) {
	h := newOrderedHarness(t)
	h.requestWithKey("first", notIdempotent, "k")
	h.requestWithKey("second", notIdempotent, "k")
	h.step(balancer.Abandoned{Request: "first"})
	if len(h.sent["second"]) != 0 {
		t.Error("the second request was sent while an attempt of the first was in flight")
	}
	h.outcomeAfter("first", balancer.Served, 20*ms)
	if len(h.sent["second"]) != 1 {
		t.Error("the second request was not sent after the outcome of the first")
	}
}
