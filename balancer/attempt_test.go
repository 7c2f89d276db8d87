package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// A client with a short timeout gives no information about endpoints. Its time-outs do not eject them. Only
// fast responses reach it, and these do not count in the mean latency, which is 100 ms here.
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
		t.Errorf("after a time-out of a client with a short timeout, a got %d of 4 concurrent requests, want 1", n)
	}
	for i := range 100 {
		id := fmt.Sprint("fast", i)
		h.requestWithTimeout(id, idempotent, 100*ms)
		h.outcomeAfter(id, balancer.Served, 10*ms)
	}
	if h.requestWithTimeout("short", idempotent, 50*ms); len(h.sent["short"]) > 0 {
		t.Error("a request with a timeout of 50 ms was sent, want it rejected at a mean latency of 100 ms")
	}
	// The mean latency expires: requests that are not sent give no new samples.
	h.now += time.Minute
	if h.requestWithTimeout("later", idempotent, 50*ms); len(h.sent["later"]) != 1 {
		t.Error("a request with a timeout of 50 ms was not sent a minute after the last response")
	}
}

// Where all deadlines are far shorter than the objectives, time-outs of regular clients do count. They detect
// an unresponsive endpoint.
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
		t.Errorf("%d of 60 requests went to the unresponsive endpoint, want at most 10", unanswered)
	}
}
