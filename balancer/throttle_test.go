package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Where an agent's part of the limit is under one attempt, it sends about as much as is served on time.
func TestThrottleLimitsLateResponses(t *testing.T) {
	sentFast, sentSlow := sentAtLatency(t, 80*ms), sentAtLatency(t, 600*ms)
	if sentFast < 30 || sentSlow > 14 || sentSlow == 0 {
		t.Errorf("%d of 30 requests were sent at 80 ms, %d at 600 ms, want all and under half", sentFast, sentSlow)
	}
}

// sentAtLatency returns how many of the last 30 of 60 requests are sent, each with the latency of the responses
// between it and the next. This agent's part of the least limit is a fifth of an attempt.
func sentAtLatency(t *testing.T, latency time.Duration) (sent int) {
	t.Helper()
	s := settings()
	s.Agents = 40
	h := newHarness(t, s, 1, endpoints(2))
	for i := range 60 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		h.advance(latency)
		if len(h.sent[id]) == 0 {
			continue
		}
		h.outcome(id, balancer.Served, latency)
		if i >= 30 {
			sent++
		}
	}
	answer := finalAnswer("last", append(h.request("last", idempotent), h.advance(2*time.Second)...))
	if answer != "" == (len(h.sent["last"]) > 0) {
		t.Errorf("at %v the last request was neither sent nor answered", latency)
	}
	return sent
}
