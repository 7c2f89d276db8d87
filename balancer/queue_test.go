package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Requests wait while the list is empty, and are rejected within their objective.
func TestNoEndpoint(t *testing.T) {
	for _, class := range []int{idempotent, notIdempotent, keyedInZone} {
		h := newHarness(t, settings(), 1, nil)
		acts := h.request("q", class)
		acts = append(acts, h.advance(399*ms)...)
		if finalAnswer("q", acts) != "reject" {
			t.Errorf("class %d: %q, want one rejection within the objective", class, finalAnswer("q", acts))
		}
	}
	t.Run("list comes in time", func(t *testing.T) {
		h := newHarness(t, settings(), 1, nil)
		h.request("q", idempotent)
		h.now += 50 * ms
		h.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(2)})
		if len(h.sent["q"]) != 1 {
			t.Error("the waiting request was not sent")
		}
	})
}

// The mean latency falls while a request is queued, so that its timer fires before it expires: it needs
// another timer, or nothing wakes a quiet agent in time.
func TestQueuedRequestIsNotLost(t *testing.T) {
	s := settings()
	s.Agents = 5 // capacity for one
	h := newHarness(t, s, 1, endpoints(1))
	h.request("out", idempotent)
	h.request("old", idempotent)
	h.request("new", idempotent)
	if len(h.sent["old"]) > 0 || len(h.sent["new"]) > 0 {
		t.Fatal("they were not queued")
	}
	h.now += 5 * ms
	h.outcome("out", balancer.Served, 5*ms) // lowers the mean; its capacity goes to the newest
	if len(h.sent["new"]) != 1 {
		t.Fatal("the newest did not follow")
	}
	if got := finalAnswer("old", h.advance(400*ms)); got != "reject" {
		t.Errorf("the queued request got %q within its objective, want one rejection", got)
	}
}

// Work for a client that gives up before the response is wasted: such requests are not sent.
func TestTooLateRequestIsNotSent(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.serve(200, idempotent, 100*ms)
	for _, left := range []time.Duration{5 * ms, 20 * ms, 40 * ms} {
		id := fmt.Sprint("short", left)
		actions := h.step(balancer.Request{ID: id, Class: idempotent, Timeout: left})
		if len(actions) != 1 || actions[0] != (balancer.Reject{Request: id}) {
			t.Errorf("%v left of a usual 100 ms: %v, want a rejection at once and nothing else", left,
				actions)
		}
	}
	h.step(balancer.Request{ID: "likely", Class: idempotent, Timeout: 80 * ms})
	if len(h.sent["likely"]) != 1 {
		t.Error("80 ms left of a usual 100 ms: not sent")
	}
	// A request with all its time goes out, however heavy it seems.
	h.step(balancer.Request{ID: "light", Class: idempotent, Timeout: 2000 * ms, Work: 10 * ms})
	h.step(balancer.Request{ID: "heavy", Class: idempotent, Timeout: 2000 * ms, Work: 10 * time.Second})
	if len(h.sent["heavy"]) != 1 {
		t.Error("a heavy request with all its time: not sent")
	}
	// A retry that would come too late is not made.
	h.step(balancer.Request{ID: "again", Class: idempotent, Timeout: 400 * ms})
	h.now += 360 * ms
	h.outcome("again", balancer.ConnectFailed, 360*ms)
	if got := h.actions[len(h.actions)-1]; got != (balancer.Reject{Request: "again"}) {
		t.Errorf("failed with 40 ms left of a usual 100 ms: %v, want a rejection at once", got)
	}
}
