package balancer_test

import (
	"fmt"
	"testing"
	"time"
)

// A timeout that is much shorter than usual identifies a client's retry. It does not wait for capacity,
// unlike a first try.
func TestClientRetryIsDetectedByTimeout(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(1))
	for i := range 20 { // the usual timeout, with a small variation
		h.requestWithTimeout(fmt.Sprint("usual", i), idempotent, 900*ms+time.Duration(i%3)*ms)
	}
	if got := finalAnswer("first", h.requestWithTimeout("first", idempotent, 899*ms)); got != "" {
		t.Errorf("first try without capacity: got answer %q, want none yet", got)
	}
	if got := finalAnswer("retry", h.requestWithTimeout("retry", idempotent, 700*ms)); got != "reject" {
		t.Errorf("client's retry without capacity: got answer %q, want reject", got)
	}
}
