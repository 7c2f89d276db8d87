package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// An ejected endpoint must recover also where no class is idempotent.
func TestEjectionEndsWithoutRepeatableClass(t *testing.T) {
	s := settings()
	s.Classes = s.Classes[notIdempotent : notIdempotent+1]
	h := newHarness(t, s, 4, endpoints(3))
	for i := 0; ; i++ {
		id := fmt.Sprint("q", i)
		h.request(id, 0)
		h.now += 20 * ms
		if h.sent[id][0] == "a" {
			h.outcome(id, balancer.ServerError, 20*ms)
			break
		}
		h.outcome(id, balancer.Served, 20*ms)
	}
	h.advance(5 * time.Second)
	if counts := h.serve(200, 0, 30*ms); counts["a"] == 0 {
		t.Error("an ejected endpoint never got traffic again")
	}
}

// When all endpoints are ejected, first attempts still go out.
func TestAllEjected(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	h := newHarness(t, s, 4, endpoints(2))
	for i := range 10 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		if len(h.sent[id]) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		h.now += ms
		h.outcome(id, balancer.ServerError, ms)
	}
}
