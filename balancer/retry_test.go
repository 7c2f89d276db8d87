package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// What an outcome allows for each kind of class: a retry at another endpoint, or a final answer.
func TestOutcomes(t *testing.T) {
	const retry = "retry"
	tests := []struct {
		class  int
		result balancer.Result
		want   string
	}{
		{idempotent, balancer.ServerError, retry},
		{idempotent, balancer.TimedOut, retry},
		{idempotent, balancer.Reset, retry},
		{idempotent, balancer.Rejected, retry},
		{idempotent, balancer.ConnectFailed, retry},
		{idempotent, balancer.NotSent, "reject"},
		{notIdempotent, balancer.ServerError, "fail"},
		{notIdempotent, balancer.TimedOut, "fail"},
		{notIdempotent, balancer.Reset, "fail"},
		{notIdempotent, balancer.Cancelled, "fail"},
		{notIdempotent, balancer.Rejected, retry},
		{notIdempotent, balancer.ConnectFailed, retry},
		{notIdempotent, balancer.NotSent, "reject"},
		{keyedEverywhere, balancer.ServerError, retry},
		{keyedEverywhere, balancer.Rejected, retry},
		{keyedInZone, balancer.ServerError, retry},
		{keyedInZone, balancer.ConnectFailed, retry},
		{keyedInCell, balancer.TimedOut, retry},
		{keyedInCell, balancer.Reset, retry},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("class %d result %d", tt.class, tt.result), func(t *testing.T) {
			h := newHarness(t, settings(), 7, endpoints(6))
			h.request("q", tt.class)
			h.now += 10 * ms
			acts := h.outcome("q", tt.result, 10*ms)
			acts = append(acts, h.advance(200*ms)...)
			got := finalAnswer("q", acts)
			if len(h.sent["q"]) == 2 {
				got += retry
				if h.sent["q"][0] == h.sent["q"][1] {
					t.Errorf("both attempts went to %s, which had just failed", h.sent["q"][0])
				}
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestAttemptLimit(t *testing.T) {
	s := settings()
	s.MaxAttempts = 3
	h := newHarness(t, s, 3, endpoints(6))
	h.request("q", idempotent)
	var all []balancer.Action
	for range 6 {
		if finalAnswer("q", all) != "" {
			break
		}
		h.now += ms
		all = append(all, h.outcome("q", balancer.ServerError, ms)...)
		all = append(all, h.advance(150*ms)...)
	}
	if len(h.sent["q"]) != 3 || finalAnswer("q", all) != "fail" {
		t.Errorf("attempts %v and answer %q, want 3 and one failure", h.sent["q"], finalAnswer("q", all))
	}
}

// The bucket holds 100 tokens: 20 retries at 5, or 10 at 10 after time-outs. First attempts go out when it
// is empty; served requests bring one token each, up to the capacity.
func TestRetryBucket(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	// spend fails n requests and returns how many were retried. The retry is served, unless it must not
	// refill the bucket.
	spend := func(h *harness, n int, res balancer.Result) (retried int) {
		for range n {
			id := fmt.Sprintf("spend-%d", len(h.sent))
			h.request(id, idempotent)
			if len(h.sent[id]) != 1 {
				t.Fatalf("first attempt of %s did not go out", id)
			}
			h.now += ms
			h.outcome(id, res, ms)
			h.advance(100 * ms)
			if len(h.sent[id]) == 2 {
				retried++
				h.now += ms
				h.outcome(id, balancer.ServerError, ms)
			}
			h.advance(30 * time.Second) // lets ejections pass
		}
		return retried
	}
	tests := []struct {
		name  string
		res   balancer.Result
		serve int // between emptying and trying again
		first int
		then  int
	}{
		{"errors cost 5", balancer.ServerError, 4, 20, 0},
		{"five served bring one back", balancer.ServerError, 5, 20, 1},
		{"time-outs cost 10", balancer.TimedOut, 9, 10, 0},
		{"ten served bring one back after a time-out", balancer.TimedOut, 10, 10, 1},
		{"the cap holds", balancer.ServerError, 500, 20, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, s, 5, endpoints(6))
			if got := spend(h, 30, tt.res); got != tt.first {
				t.Errorf("a full bucket funded %d retries, want %d", got, tt.first)
			}
			h.serve(tt.serve, idempotent, 20*ms)
			h.advance(30 * time.Second)
			if got := spend(h, 30, tt.res); got != tt.then {
				t.Errorf("then funded %d retries, want %d", got, tt.then)
			}
		})
	}
}

// Waits have full jitter: between 0 and a unit (a share of the objective) that doubles with each retry up to
// a ceiling.
func TestBackoff(t *testing.T) {
	s := settings()
	s.MaxAttempts = 7
	unit := s.Classes[idempotent].Objective / 32
	longest := make([]time.Duration, 6)
	shortest := []time.Duration{time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour}
	for seed := uint64(0); seed < 300; seed++ {
		h := newHarness(t, s, seed, endpoints(8))
		h.request("q", idempotent)
		for n := range 6 {
			h.outcome("q", balancer.Rejected, 0)
			failed := h.now
			for len(h.sent["q"]) == n+1 && len(h.timerDue) > 0 {
				h.advance(ms / 4)
			}
			if len(h.sent["q"]) != n+2 {
				t.Fatalf("seed %d: retry %d was not made", seed, n)
			}
			longest[n] = max(longest[n], h.now-failed)
			shortest[n] = min(shortest[n], h.now-failed)
		}
	}
	for n, got := range longest {
		bound := unit << min(n, 3)
		if got > bound+ms || got < bound*8/10 {
			t.Errorf("retry %d waited up to %v, want close to %v and no more", n, got, bound)
		}
		if shortest[n] > bound/10 {
			t.Errorf("retry %d waited at least %v, want full jitter from 0", n, shortest[n])
		}
	}
}

// A retry whose backoff would outlast the deadline is not made.
func TestBackoffWithinTimeLeft(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.request("q", idempotent)
	h.now += 2000 * ms
	if acts := h.outcome("q", balancer.TimedOut, 2000*ms); finalAnswer("q", acts) != "fail" {
		t.Errorf("at the deadline: %v, want the final answer at once", acts)
	}
}

// Clients rejected together must not return together: the retry-after hints are spread, up to what clients
// heed, where clients are shown them.
func TestRetryAfterIsSpread(t *testing.T) {
	advice := func(shown bool, most time.Duration) (waits []time.Duration) {
		s := settings()
		s.SendRetryAfter, s.MaxRetryAfter = shown, most
		h := newHarness(t, s, 3, endpoints(4))
		for i := range 50 {
			id := fmt.Sprint(i)
			h.request(id, idempotent)
			for _, a := range h.outcome(id, balancer.NotSent, 0) {
				if a, ok := a.(balancer.Reject); ok {
					waits = append(waits, a.RetryAfter)
				}
			}
			h.now += 5 * ms
		}
		if len(waits) != 50 {
			t.Fatalf("%d rejections, want 50", len(waits))
		}
		return waits
	}
	for _, most := range []time.Duration{60 * ms, time.Minute} {
		waits, end := advice(true, most), min(most, 100*ms) // 100 ms: the longest backoff of our own
		if low, high := slices.Min(waits), slices.Max(waits); low < 0 || low > end/4 || high > end ||
			high < end*3/4 {
			t.Errorf("waits from %v to %v, want them spread from 0 to %v", low, high, end)
		}
	}
	if waits := advice(false, time.Minute); slices.Max(waits) != 0 {
		t.Errorf("advice of %v to clients that are not shown it", slices.Max(waits))
	}
}
