package balancer_test

import (
	"testing"

	"ashshunt/balancer"
)

// newOrderedHarness has ordered classes, with a quiet period of 200 ms.
func newOrderedHarness(t *testing.T) *harness {
	s := settings()
	s.Classes[notIdempotent].Ordered, s.Classes[idempotent].Ordered = true, true
	s.KeyQuietPeriod = 200 * ms
	return newHarness(t, s, 1, endpoints(4))
}

// Requests of one key run one at a time, over all ordered classes; others do not wait.
func TestOrderOfAKey(t *testing.T) {
	h := newOrderedHarness(t)
	h.keyed("one", notIdempotent, "k")
	h.keyed("two", idempotent, "k")
	h.keyed("other", notIdempotent, "l")
	h.keyed("none", notIdempotent, "")
	h.keyed("free", keyedEverywhere, "k")
	for id, want := range map[string]int{"one": 1, "two": 0, "other": 1, "none": 1, "free": 1} {
		if len(h.sent[id]) != want {
			t.Errorf("%s: %d attempts, want %d", id, len(h.sent[id]), want)
		}
	}
	h.now += 10 * ms
	h.outcome("one", balancer.Served, 10*ms)
	if len(h.sent["two"]) != 1 {
		t.Error("two did not follow one at once")
	}
}

// After a time-out the key is quiet: the next request goes when the quiet period ends. The request whose
// attempt timed out does not wait itself.
func TestKeyQuietPeriod(t *testing.T) {
	h := newOrderedHarness(t)
	h.serve(50, notIdempotent, 5*ms)
	h.keyed("one", notIdempotent, "k")
	h.keyed("two", notIdempotent, "k")
	h.now += 50 * ms
	if got := finalAnswer("one", h.outcome("one", balancer.TimedOut, 50*ms)); got != "fail" {
		t.Fatalf("one: %q, want fail", got)
	}
	h.advance(199 * ms)
	if len(h.sent["two"]) != 0 {
		t.Error("two was sent while the key rested")
	}
	h.advance(2 * ms)
	if len(h.sent["two"]) != 1 {
		t.Error("two was not sent after the rest")
	}
	h.keyed("head", idempotent, "m")
	h.now += 50 * ms
	h.outcome("head", balancer.Reset, 50*ms)
	h.advance(150 * ms)
	if len(h.sent["head"]) < 2 {
		t.Error("a reset queued up the retry of the same request")
	}
}

// An abandoned request still blocks its key while its attempt is in flight.
func TestKeyWaitsForTheOutcome(t *testing.T) {
	h := newOrderedHarness(t)
	h.keyed("one", notIdempotent, "k")
	h.keyed("two", notIdempotent, "k")
	h.step(balancer.Abandoned{Request: "one"})
	if len(h.sent["two"]) != 0 {
		t.Error("two was sent while an attempt of one was out")
	}
	h.now += 20 * ms
	h.step(balancer.Outcome{Request: "one", Endpoint: h.sent["one"][0], Result: balancer.Served, Done: true,
		Latency: 20 * ms})
	if len(h.sent["two"]) != 1 {
		t.Error("two was not sent after the outcome of one")
	}
}
