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
