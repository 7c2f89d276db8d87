package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// With many agents and few endpoints one attempt of each agent is too much: when crowded, a small agent
// sends about as much as is served on time.
func TestSmallAgentIsThrottledWhenCrowded(t *testing.T) {
	sent := func(latency time.Duration) (n int) {
		s := settings()
		s.Agents = 40 // by head count: a fifth of an attempt
		h := newHarness(t, s, 1, endpoints(2))
		for i := range 60 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			h.advance(latency)
			if len(h.sent[id]) > 0 {
				h.outcome(id, balancer.Served, latency)
				if i >= 30 {
					n++
				}
			}
		}
		answer := finalAnswer("last", append(h.request("last", idempotent), h.advance(2*time.Second)...))
		if answer != "" == (len(h.sent["last"]) > 0) {
			t.Errorf("at %v the last request was neither sent nor answered", latency)
		}
		return n
	}
	calm, crowd := sent(80*ms), sent(600*ms)
	if calm < 30 || crowd > 14 || crowd == 0 {
		t.Errorf("of 30 requests %d went out when calm, %d in a crowd, want all and under half", calm, crowd)
	}
}
