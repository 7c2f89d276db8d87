package balancer_test

import (
	"fmt"
	"testing"
	"time"
)

// A timeout shortened by the client's deadline tells a client's retry: it does not wait for capacity, where
// a first try does.
func TestClientRetryIsDetectedByTimeout(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(1))
	for i := range 20 { // the usual timeout, give or take
		h.requestWithTimeout(fmt.Sprint("usual", i), idempotent, 900*ms+time.Duration(i%3)*ms)
	}
	if got := finalAnswer("first", h.requestWithTimeout("first", idempotent, 899*ms)); got != "" {
		t.Errorf("a first try without capacity got %q at once, want it to wait", got)
	}
	if got := finalAnswer("retry", h.requestWithTimeout("retry", idempotent, 700*ms)); got != "reject" {
		t.Errorf("a client's retry without capacity got %q, want a rejection at once", got)
	}
}
