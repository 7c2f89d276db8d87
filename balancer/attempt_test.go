package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// The time-outs of clients with little time left do not eject endpoints, and the fast responses that alone reach such
// clients do not count as the usual latency, which is 100 ms here.
func TestShortTimeoutsAreIgnored(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.serve(200, idempotent, 100*ms)
	responseOf := faultAtA(response{balancer.TimedOut, 100 * ms}, response{balancer.Served, 100 * ms})
	for i, endpoint := 0, ""; endpoint != "a"; i++ {
		id := fmt.Sprint("late", i)
		h.requestWithTimeout(id, idempotent, 100*ms)
		endpoint = h.respond(id, responseOf)
	}
	if n := h.serveWaves(4, 4, idempotent, 100*ms)["a"]; n != 1 {
		t.Errorf("after a time-out with little time left there, a got %d of 4 at once, want one", n)
	}
	for i := range 100 {
		id := fmt.Sprint("fast", i)
		h.requestWithTimeout(id, idempotent, 100*ms)
		h.outcomeAfter(id, balancer.Served, 10*ms)
	}
	if h.requestWithTimeout("short", idempotent, 50*ms); len(h.sent["short"]) > 0 {
		t.Error("50 ms left: sent, as if the fast responses had lowered the mean latency")
	}
	// The mean latency does not hold for ever: nothing is learned from requests that are not sent.
	h.now += time.Minute
	if h.requestWithTimeout("later", idempotent, 50*ms); len(h.sent["later"]) != 1 {
		t.Error("a minute after the last response: not sent")
	}
}

// Where all deadlines are far below the objectives, the time-outs of usual clients count: they find an unresponsive
// endpoint.
func TestShortDeadlinesAreNotIgnored(t *testing.T) {
	s := settings()
	for i := range s.Classes {
		s.Classes[i].Deadline = 100 * ms
	}
	h := newHarness(t, s, 1, endpoints(4))
	unanswered := 0
	for i := range 60 {
		id := fmt.Sprint("q", i)
		h.requestWithTimeout(id, notIdempotent, 100*ms)
		if h.firstEndpoint(id) != "a" {
			h.outcomeAfter(id, balancer.Served, 10*ms)
			continue
		}
		unanswered++
		h.now += 100 * ms
		h.step(balancer.Outcome{Request: id, Endpoint: "a", Result: balancer.TimedOut, Latency: 100 * ms, Done: true})
	}
	if unanswered > 10 {
		t.Errorf("%d of 60 went to the unresponsive endpoint", unanswered)
	}
}
