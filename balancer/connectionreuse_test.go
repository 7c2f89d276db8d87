package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// The reuse delay must exceed the times after which unrequested bytes came, and return to its minimum without them.
func TestReuseDelay(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	requests := 0
	reuseDelay := func() time.Duration {
		t.Helper()
		requests++
		id := fmt.Sprint("q", requests)
		for _, action := range h.step(balancer.Request{ID: id, Timeout: 2000 * ms}) {
			if send, ok := action.(balancer.Send); ok {
				h.step(balancer.Outcome{Request: id, Endpoint: send.Endpoint, Result: balancer.Served, Done: true})
				return send.ReuseDelay
			}
		}
		t.Fatalf("%s: got no Send", id)
		return 0
	}
	usual := reuseDelay()
	if usual <= 60*ms {
		t.Errorf("got a reuse delay of %v at the start, want more than 60 ms", usual)
	}
	h.step(balancer.UnrequestedBytes{Endpoint: "a", Idle: 10 * ms})
	if delay := reuseDelay(); delay != usual {
		t.Errorf("got a reuse delay of %v after early bytes, want %v", delay, usual)
	}
	h.step(balancer.UnrequestedBytes{Endpoint: "a", Idle: time.Second})
	if delay := reuseDelay(); delay < 2*time.Second {
		t.Errorf("got a reuse delay of %v after bytes that came after 1 s, want at least 2 s", delay)
	}
	h.advance(time.Hour)
	if delay := reuseDelay(); delay != usual {
		t.Errorf("got a reuse delay of %v an hour later, want %v", delay, usual)
	}
}
