package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// The class and the result of an attempt determine whether the request is retried at another endpoint or gets
// a final answer.
func TestRetryByResult(t *testing.T) {
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
			actions := h.outcomeAfter("q", tt.result, 10*ms)
			actions = append(actions, h.advance(200*ms)...)
			got := finalAnswer("q", actions)
			if sent := h.sent["q"]; len(sent) == 2 {
				got += retry
				if sent[0] == sent[1] {
					t.Errorf("both attempts went to %s, want the retry at another endpoint", sent[0])
				}
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// The token bucket holds 100 tokens: 20 retries at 5 tokens, or 10 at 10 tokens after time-outs. First
// attempts are sent even if it is empty. Each served request adds a token, up to the capacity.
func TestRetryTokenBucket(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	tests := []struct {
		name         string
		result       balancer.Result
		served       int // requests served after the bucket was emptied
		wantFull     int // retries that a full bucket allows
		wantRefilled int // retries that it allows after the served requests
	}{
		{"errors cost 5", balancer.ServerError, 4, 20, 0},
		{"five served allow a retry", balancer.ServerError, 5, 20, 1},
		{"time-outs cost 10", balancer.TimedOut, 9, 10, 0},
		{"ten served allow a retry after a time-out", balancer.TimedOut, 10, 10, 1},
		{"capacity", balancer.ServerError, 500, 20, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, s, 5, endpoints(6))
			if got := h.failRequests(30, tt.result); got != tt.wantFull {
				t.Errorf("a full bucket allowed %d retries, want %d", got, tt.wantFull)
			}
			h.serve(tt.served, idempotent, 20*ms)
			h.advance(30 * time.Second)
			if got := h.failRequests(30, tt.result); got != tt.wantRefilled {
				t.Errorf("the refilled bucket allowed %d retries, want %d", got, tt.wantRefilled)
			}
		})
	}
}

// failRequests sends n requests. The first attempt of each has the given result, and its retry fails with an
// error. It returns the number of requests that were retried.
func (h *harness) failRequests(n int, result balancer.Result) (retried int) {
	h.t.Helper()
	for range n {
		id := fmt.Sprintf("fail-%d", len(h.sent))
		h.request(id, idempotent)
		if len(h.sent[id]) != 1 {
			h.t.Fatalf("the first attempt of %s was not sent, want it sent whatever the tokens", id)
		}
		h.outcomeAfter(id, result, ms)
		h.advance(100 * ms)
		if len(h.sent[id]) == 2 {
			retried++
			h.outcomeAfter(id, balancer.ServerError, ms)
		}
		h.advance(30 * time.Second) // until ejections have ended
	}
	return retried
}

// Backoff has full jitter: it is uniform between 0 and a maximum, a share of the objective that doubles with
// each retry up to a bound.
func TestBackoff(t *testing.T) {
	const retries = 6
	var backoffs [retries][]time.Duration
	for seed := range uint64(300) {
		for retry, wait := range collectBackoffs(t, seed, retries) {
			backoffs[retry] = append(backoffs[retry], wait)
		}
	}
	unit := settings().Classes[idempotent].Objective / 32
	for retry := range retries {
		bound := unit << min(retry, 3)
		minBackoff, maxBackoff := slices.Min(backoffs[retry]), slices.Max(backoffs[retry])
		if maxBackoff > bound+ms || maxBackoff < bound*8/10 {
			t.Errorf("retry %d: maximum backoff %v, want close to %v and no more", retry, maxBackoff, bound)
		}
		if minBackoff > bound/10 {
			t.Errorf("retry %d: minimum backoff %v, want close to 0", retry, minBackoff)
		}
	}
}

// collectBackoffs returns the backoffs of the retries of one request, to a quarter of a millisecond.
func collectBackoffs(t *testing.T, seed uint64, retries int) (backoffs []time.Duration) {
	t.Helper()
	s := settings()
	s.MaxAttempts = retries + 1
	h := newHarness(t, s, seed, endpoints(8))
	h.request("q", idempotent)
	for retry := range retries {
		h.outcome("q", balancer.Rejected, 0)
		failedAt := h.now
		for len(h.sent["q"]) == retry+1 && len(h.timers) > 0 {
			h.advance(ms / 4)
		}
		if len(h.sent["q"]) != retry+2 {
			t.Fatalf("seed %d: retry %d was not sent", seed, retry)
		}
		backoffs = append(backoffs, h.now-failedAt)
	}
	return backoffs
}

// A request is not retried if the backoff would end after its deadline.
func TestNoRetryPastDeadline(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.request("q", idempotent)
	if actions := h.outcomeAfter("q", balancer.TimedOut, 2000*ms); finalAnswer("q", actions) != "fail" {
		t.Errorf("time-out at the deadline: got actions %v, want a Fail", actions)
	}
}

// Retry-After has full jitter, so that clients that are rejected together do not retry together. Its maximum
// is the lower of Settings.MaxRetryAfter and the maximum backoff, which is 100 ms here. It is 0 if
// Settings.SendRetryAfter is off.
func TestRetryAfterIsSpread(t *testing.T) {
	for _, maxRetryAfter := range []time.Duration{60 * ms, time.Minute} {
		waits, maxWait := collectRetryAfters(t, true, maxRetryAfter), min(maxRetryAfter, 100*ms)
		low, high := slices.Min(waits), slices.Max(waits)
		if low < 0 || low > maxWait/4 || high > maxWait || high < maxWait*3/4 {
			t.Errorf("Retry-After between %v and %v, want it uniform between 0 and %v", low, high, maxWait)
		}
	}
	if high := slices.Max(collectRetryAfters(t, false, time.Minute)); high != 0 {
		t.Errorf("got Retry-After %v with SendRetryAfter off, want 0", high)
	}
}

// collectRetryAfters returns the Retry-After values of 50 rejections.
func collectRetryAfters(t *testing.T, sendRetryAfter bool, maxRetryAfter time.Duration) (waits []time.Duration) {
	t.Helper()
	s := settings()
	s.SendRetryAfter, s.MaxRetryAfter = sendRetryAfter, maxRetryAfter
	h := newHarness(t, s, 3, endpoints(4))
	for i := range 50 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		for _, action := range h.outcome(id, balancer.NotSent, 0) {
			if reject, ok := action.(balancer.Reject); ok {
				waits = append(waits, reject.RetryAfter)
			}
		}
		h.now += 5 * ms
	}
	if len(waits) != 50 {
		t.Fatalf("got %d rejections, want 50", len(waits))
	}
	return waits
}
