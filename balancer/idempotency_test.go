package balancer_test

import (
	"testing"
	"time"

	"ashshunt/balancer"
)

// A request with an idempotency key that may have run is repeated only within the scope and window of
// deduplication.
func TestDedupScopeAndWindow(t *testing.T) {
	zone := map[string]int{"a": 0, "b": 0, "c": 1, "d": 1, "e": 2, "f": 2}
	for seed := uint64(0); seed < 40; seed++ {
		for _, class := range []int{keyedInZone, keyedInCell} {
			h := newHarness(t, settings(), seed, endpoints(6))
			h.request("q", class)
			h.now += 5 * ms
			h.outcome("q", balancer.ServerError, 5*ms)
			h.advance(200 * ms)
			if s := h.sent["q"]; len(s) != 2 || zone[s[0]] != zone[s[1]] {
				t.Errorf("seed %d class %d: attempts %v leave the group", seed, class, s)
			}
		}
	}
	t.Run("window", func(t *testing.T) {
		h := newHarness(t, settings(), 1, endpoints(6))
		h.request("q", keyedEverywhere)
		h.now += 300 * ms
		acts := h.outcome("q", balancer.ServerError, 300*ms)
		if finalAnswer("q", acts) != "fail" {
			t.Errorf("after the window: %v, want a failure", acts)
		}
	})
	// A connection may take its time-out to come up: the repeat must still arrive within the window.
	t.Run("window within a dial", func(t *testing.T) {
		s := settings()
		s.ConnectTimeout = 100 * ms
		for _, tt := range []struct {
			at   time.Duration
			want string
		}{{100 * ms, ""}, {200 * ms, "fail"}} {
			h := newHarness(t, s, 1, endpoints(6))
			h.request("q", keyedEverywhere)
			h.now += tt.at
			if got := finalAnswer("q", h.outcome("q", balancer.ServerError, tt.at)); got != tt.want {
				t.Errorf("failed after %v: %q, want %q", tt.at, got, tt.want)
			}
		}
	})
	t.Run("never ran", func(t *testing.T) {
		h := newHarness(t, settings(), 1, endpoints(6))
		h.request("q", keyedInZone)
		h.now += 400 * ms
		h.outcome("q", balancer.ConnectFailed, 400*ms)
		h.advance(200 * ms)
		if len(h.sent["q"]) != 2 {
			t.Errorf("attempts %v: one that never ran should not bind the request", h.sent["q"])
		}
	})
}

// Where a rejected attempt may have run, a request that is not idempotent gets no second one and no
// rejection.
func TestRejectedMayHaveRun(t *testing.T) {
	for _, proof := range []bool{true, false} {
		s := settings()
		s.RejectedMayHaveRun = !proof
		h := newHarness(t, s, 1, endpoints(4))
		h.request("q", notIdempotent)
		acts := h.outcome("q", balancer.Rejected, ms)
		acts = append(acts, h.advance(400*ms)...)
		if again := len(h.sent["q"]) == 2; again != proof {
			t.Errorf("proof %v: sent again %v", proof, again)
		}
		if got := finalAnswer("q", acts); !proof && got != "fail" {
			t.Errorf("no proof: %q, want fail", got)
		}
	}
}

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

// A repeat of a request with an idempotency key tells the end of its window; what never ran has none.
func TestRepeatsTellTheirWindow(t *testing.T) {
	for class, bounded := range map[int]bool{
		idempotent: false, keyedEverywhere: true, keyedInZone: true, keyedInCell: true,
	} {
		h := newHarness(t, settings(), 1, endpoints(4))
		begun := h.now
		h.keyed("q", class, "")
		first := h.actions
		h.now += 10 * ms
		h.outcome("q", balancer.Reset, 10*ms)
		actions := append(first, h.advance(200*ms)...)
		var bounds []time.Duration
		for _, action := range actions {
			if send, ok := action.(balancer.Send); ok {
				bounds = append(bounds, send.NotAfter)
			}
		}
		want := time.Duration(0)
		if bounded {
			want = begun + settings().Classes[class].DedupWindow
		}
		if len(bounds) != 2 || bounds[0] != 0 || bounds[1] != want {
			t.Errorf("class %d: attempts not after %v, want 0 and %v", class, bounds, want)
		}
	}
}
