package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// A time-out shortened by the client's deadline tells a client's retry: it does not wait for capacity, where
// a first try does.
func TestTimeoutTellsClientRetries(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(1))
	submit := func(id string, left time.Duration) []balancer.Action {
		return h.step(balancer.Request{ID: id, Class: idempotent, Timeout: left})
	}
	for i := range 20 { // the usual patience, give or take
		submit(fmt.Sprint("f", i), 900*ms+time.Duration(i%3)*ms)
	}
	if got := finalAnswer("first", submit("first", 899*ms)); got != "" {
		t.Errorf("a first try without capacity got %q at once, want it to wait", got)
	}
	if got := finalAnswer("late", submit("late", 700*ms)); got != "reject" {
		t.Errorf("a late try without capacity got %q, want a rejection at once", got)
	}
}
