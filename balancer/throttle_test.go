package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// An agent whose share of the minimum limit is below one attempt sends about as many requests as are served
// on time.
func TestThrottleLimitsLateResponses(t *testing.T) {
	sentFast, sentSlow := sentAtLatency(t, 80*ms), sentAtLatency(t, 600*ms)
	if sentFast < 30 || sentSlow > 14 || sentSlow == 0 {
		t.Errorf("got %d of 30 requests sent at 80 ms and %d at 600 ms, want all and 1 to 14", sentFast, sentSlow)
	}
}

// sentAtLatency submits 60 requests and returns how many of the last 30 are sent. Requests follow each other
// at the latency of the responses. This agent's share of the minimum limit is a fifth of an attempt.
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
		t.Errorf("latency %v: want the last request either sent or answered", latency)
	}
	return sent
}
