package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// An ejected endpoint gets traffic again even if no class is idempotent.
func TestEjectionEndsWithoutIdempotentClass(t *testing.T) {
	s := settings()
	s.Classes = s.Classes[notIdempotent : notIdempotent+1]
	h := newHarness(t, s, 4, endpoints(3))
	h.exchangeUntilSentTo("a", 0, faultAtA(response{balancer.ServerError, 20 * ms}, response{balancer.Served, 20 * ms}))
	h.advance(5 * time.Second)
	if counts := h.serve(200, 0, 30*ms); counts["a"] == 0 {
		t.Error("the endpoint got none of 200 requests after its ejection, want some")
	}
}

// First attempts are sent even if all endpoints are ejected.
func TestSendsWhenAllEjected(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	h := newHarness(t, s, 4, endpoints(2))
	for i := range 10 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		if len(h.sent[id]) != 1 {
			t.Fatalf("request %d was not sent while all endpoints are ejected", i)
		}
		h.outcomeAfter(id, balancer.ServerError, ms)
	}
}
