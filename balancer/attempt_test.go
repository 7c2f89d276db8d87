package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// The time-outs of clients that wait only a moment must not eject healthy endpoints, and the fast responses
// alone that they get must not pass for the usual latency.
func TestImpatientClientsTeachNothing(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.serve(200, idempotent, 100*ms)
	for i := 0; ; i++ {
		id := fmt.Sprint("late", i)
		h.step(balancer.Request{ID: id, Class: idempotent, Timeout: 100 * ms})
		h.now += 100 * ms
		if h.sent[id][0] == "a" {
			h.outcome(id, balancer.TimedOut, 100*ms)
			break
		}
		h.outcome(id, balancer.Served, 100*ms)
	}
	if n := h.waves(4, 4, idempotent, 100*ms)["a"]; n != 1 {
		t.Errorf("after the time-out of a hasty client there, a got %d of 4 at once, want one", n)
	}
	for i := range 100 {
		id := fmt.Sprint("fast", i)
		h.step(balancer.Request{ID: id, Class: idempotent, Timeout: 100 * ms})
		h.now += 10 * ms
		h.outcome(id, balancer.Served, 10*ms)
	}
	// The usual latency is still known.
	if h.step(balancer.Request{ID: "short", Class: idempotent, Timeout: 50 * ms}); len(h.sent["short"]) > 0 {
		t.Error("50 ms left of a usual 100 ms: sent, as if fast answers to the hasty were the rule")
	}
	// But not for ever: it may be out of date, and requests that are not sent teach nothing.
	h.now += time.Minute
	if h.step(balancer.Request{ID: "later", Class: idempotent, Timeout: 50 * ms}); len(h.sent["later"]) != 1 {
		t.Error("a minute after the last answer: not sent")
	}
}

// Where all deadlines are far below the objectives the usual clients are not impatient: their time-outs find
// an endpoint that hangs.
func TestShortDeadlinesAreNotImpatience(t *testing.T) {
	s := settings()
	for i := range s.Classes {
		s.Classes[i].Deadline = 100 * ms
	}
	h := newHarness(t, s, 1, endpoints(4))
	hung := 0
	for i := range 60 {
		id := fmt.Sprint("q", i)
		h.step(balancer.Request{ID: id, Class: notIdempotent, Timeout: 100 * ms})
		if h.sent[id][0] == "a" {
			hung++
			h.now += 100 * ms
			h.step(balancer.Outcome{Request: id, Endpoint: "a", Result: balancer.TimedOut, Latency: 100 * ms,
				Done: true})
			continue
		}
		h.now += 10 * ms
		h.outcome(id, balancer.Served, 10*ms)
	}
	if hung > 10 {
		t.Errorf("%d of 60 went to an endpoint that hangs", hung)
	}
}
