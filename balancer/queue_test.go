package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Requests wait while the endpoint list is empty. They are rejected within their objective.
func TestRequestWaitsForEndpoints(t *testing.T) {
	for _, class := range []int{idempotent, notIdempotent, keyedInZone} {
		h := newHarness(t, settings(), 1, nil)
		actions := h.request("q", class)
		actions = append(actions, h.advance(399*ms)...)
		if got := finalAnswer("q", actions); got != "reject" {
			t.Errorf("class %d: got answer %q within the objective, want reject", class, got)
		}
	}
	t.Run("list is delivered in time", func(t *testing.T) {
		h := newHarness(t, settings(), 1, nil)
		h.request("q", idempotent)
		h.now += 50 * ms
		h.replaceList(endpoints(2)...)
		if len(h.sent["q"]) != 1 {
			t.Error("the queued request was not sent when the list was delivered")
		}
	})
}

// A queued request gets another timer if its timer fires too early, because the mean latency has decreased
// since the timer was set. Without it, an agent without traffic has no step in which the request expires.
func TestQueuedRequestIsNotLost(t *testing.T) {
	s := settings()
	s.Agents = 5 // limits this agent to one attempt
	h := newHarness(t, s, 1, endpoints(1))
	h.request("in flight", idempotent)
	h.request("old", idempotent)
	h.request("new", idempotent)
	if len(h.sent["old"]) > 0 || len(h.sent["new"]) > 0 {
		t.Fatal("want both requests to be queued, but one was sent")
	}
	h.outcomeAfter("in flight", balancer.Served, 5*ms) // decreases the mean; the newest request is sent next
	if len(h.sent["new"]) != 1 {
		t.Fatal("the newest request was not sent next")
	}
	if got := finalAnswer("old", h.advance(400*ms)); got != "reject" {
		t.Errorf("queued request: got answer %q within its objective, want reject", got)
	}
}

// A request is rejected at once if its client stops waiting before the expected response, because its work
// would be wasted. The mean latency is 100 ms.
func TestTooLateRequestIsNotSent(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.serve(200, idempotent, 100*ms)
	for _, timeout := range []time.Duration{5 * ms, 20 * ms, 40 * ms} {
		id := fmt.Sprint("short", timeout)
		actions := h.requestWithTimeout(id, idempotent, timeout)
		if len(actions) != 1 || actions[0] != (balancer.Reject{Request: id}) {
			t.Errorf("%v left: got actions %v, want one rejection", timeout, actions)
		}
	}
	h.requestWithTimeout("likely", idempotent, 80*ms)
	if len(h.sent["likely"]) != 1 {
		t.Error("80 ms left: the request was not sent")
	}
	// A request with its full timeout is sent, whatever its expected work.
	h.step(balancer.Request{ID: "light", Class: idempotent, Timeout: 2000 * ms, Work: 10 * ms})
	h.step(balancer.Request{ID: "heavy", Class: idempotent, Timeout: 2000 * ms, Work: 10 * time.Second})
	if len(h.sent["heavy"]) != 1 {
		t.Error("a heavy request with its full timeout was not sent")
	}
	// A retry that would be too late is not sent.
	h.requestWithTimeout("retried", idempotent, 400*ms)
	h.outcomeAfter("retried", balancer.ConnectFailed, 360*ms)
	if got := h.actions[len(h.actions)-1]; got != (balancer.Reject{Request: "retried"}) {
		t.Errorf("attempt failed with 40 ms left: got action %v, want a rejection", got)
	}
}
