package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Requests wait while the list is empty, and are rejected within their objective.
func TestRequestWaitsForEndpoints(t *testing.T) {
	for _, class := range []int{idempotent, notIdempotent, keyedInZone} {
		h := newHarness(t, settings(), 1, nil)
		actions := h.request("q", class)
		actions = append(actions, h.advance(399*ms)...)
		if got := finalAnswer("q", actions); got != "reject" {
			t.Errorf("class %d: %q, want one rejection within the objective", class, got)
		}
	}
	t.Run("list comes in time", func(t *testing.T) {
		h := newHarness(t, settings(), 1, nil)
		h.request("q", idempotent)
		h.now += 50 * ms
		h.replaceList(endpoints(2)...)
		if len(h.sent["q"]) != 1 {
			t.Error("the queued request was not sent")
		}
	})
}

// A queued request whose timer fires before its expiry, since the mean latency has fallen meanwhile, gets another
// timer: otherwise nothing would wake an agent without traffic in time.
func TestQueuedRequestIsNotLost(t *testing.T) {
	s := settings()
	s.Agents = 5 // this agent's limit: one attempt
	h := newHarness(t, s, 1, endpoints(1))
	h.request("in flight", idempotent)
	h.request("old", idempotent)
	h.request("new", idempotent)
	if len(h.sent["old"]) > 0 || len(h.sent["new"]) > 0 {
		t.Fatal("they were not queued")
	}
	h.outcomeAfter("in flight", balancer.Served, 5*ms) // lowers the mean; its capacity goes to the newest
	if len(h.sent["new"]) != 1 {
		t.Fatal("the newest was not sent next")
	}
	if got := finalAnswer("old", h.advance(400*ms)); got != "reject" {
		t.Errorf("the queued request got %q within its objective, want one rejection", got)
	}
}

// A request whose client gives up before the expected response is rejected at once, since its work would be
// wasted. The mean latency here is 100 ms.
func TestTooLateRequestIsNotSent(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.serve(200, idempotent, 100*ms)
	for _, timeout := range []time.Duration{5 * ms, 20 * ms, 40 * ms} {
		id := fmt.Sprint("short", timeout)
		actions := h.requestWithTimeout(id, idempotent, timeout)
		if len(actions) != 1 || actions[0] != (balancer.Reject{Request: id}) {
			t.Errorf("%v left: %v, want a rejection at once and nothing else", timeout, actions)
		}
	}
	h.requestWithTimeout("likely", idempotent, 80*ms)
	if len(h.sent["likely"]) != 1 {
		t.Error("80 ms left: not sent")
	}
	// A request with all its time is sent, whatever its expected work.
	h.step(balancer.Request{ID: "light", Class: idempotent, Timeout: 2000 * ms, Work: 10 * ms})
	h.step(balancer.Request{ID: "heavy", Class: idempotent, Timeout: 2000 * ms, Work: 10 * time.Second})
	if len(h.sent["heavy"]) != 1 {
		t.Error("a heavy request with all its time: not sent")
	}
	// A retry that would come too late is not made.
	h.requestWithTimeout("retried", idempotent, 400*ms)
	h.outcomeAfter("retried", balancer.ConnectFailed, 360*ms)
	if got := h.actions[len(h.actions)-1]; got != (balancer.Reject{Request: "retried"}) {
		t.Errorf("failed with 40 ms left: %v, want a rejection at once", got)
	}
}
