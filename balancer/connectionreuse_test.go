package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// reuseHarness sends requests that are served after a given latency.
type reuseHarness struct {
	*harness
	requests int
}

// serve sends a request, serves it after a latency, and returns the terms of its attempt.
func (h *reuseHarness) serve(latency time.Duration) balancer.ReuseTerms {
	h.t.Helper()
	return h.end(balancer.Outcome{Result: balancer.Served, Latency: latency, Done: true})
}

// end sends a request, ends its attempt with an outcome after its latency, and returns the terms of the attempt.
func (h *reuseHarness) end(outcome balancer.Outcome) balancer.ReuseTerms {
	h.t.Helper()
	h.requests++
	id := fmt.Sprint("q", h.requests)
	for _, action := range h.step(balancer.Request{ID: id, Timeout: 2000 * ms}) {
		if send, ok := action.(balancer.Send); ok {
			h.advance(outcome.Latency)
			outcome.Request, outcome.Endpoint = id, send.Endpoint
			h.step(outcome)
			return send.Reuse
		}
	}
	h.t.Fatalf("%s: got no Send", id)
	return balancer.ReuseTerms{}
}

// The late window must cover second responses up to 60 ms after the first, grow if unrequested bytes come after it, and
// return to its minimum without them.
func TestLateWindow(t *testing.T) {
	h := reuseHarness{harness: newHarness(t, settings(), 1, endpoints(2))}
	usual := h.serve(0).LateWindow
	if usual < 60*ms {
		t.Errorf("got a late window of %v at the start, want at least 60 ms", usual)
	}
	h.step(balancer.UnrequestedBytes{Endpoint: "a", After: usual - ms})
	if window := h.serve(0).LateWindow; window != usual {
		t.Errorf("got a late window of %v after bytes within it, want %v", window, usual)
	}
	h.step(balancer.UnrequestedBytes{Endpoint: "a", After: time.Second})
	if window := h.serve(0).LateWindow; window < time.Second {
		t.Errorf("got a late window of %v after bytes that came after 1 s, want at least 1 s", window)
	}
	h.advance(time.Hour)
	if window := h.serve(0).LateWindow; window != usual {
		t.Errorf("got a late window of %v an hour later, want %v", window, usual)
	}
}

// A connection must rest for the whole late window until latencies are known. After that, the rest and the latency of
// nearly every response must cover the window.
func TestConnectionsRestUntilLateWindowIsCovered(t *testing.T) {
	const latency = 50 * ms
	h := reuseHarness{harness: newHarness(t, settings(), 1, endpoints(2))}
	first := h.serve(latency)
	if minIdle := first.LateWindow * 9 / 10; first.MinIdle < minIdle {
		t.Errorf("got a rest of %v at the start, want at least %v", first.MinIdle, minIdle)
	}
	for range 1000 {
		h.serve(latency)
	}
	last := h.serve(latency)
	if last.MinIdle+latency < last.LateWindow {
		t.Errorf("got a rest of %v, which with the latency of %v does not cover the late window of %v",
			last.MinIdle, latency, last.LateWindow)
	}
	if last.MinIdle > last.LateWindow-latency/4 {
		t.Errorf("got a rest of %v after 1,000 responses, want it to make use of the latency", last.MinIdle)
	}
}

// Responses that came too early and were dropped are quicker than estimated, so that connections must rest longer after
// them. Otherwise the estimate follows only the responses that were slow enough, and as many are dropped forever.
func TestConnectionsRestLongerAfterEarlyResponses(t *testing.T) {
	const latency = 50 * ms
	h := reuseHarness{harness: newHarness(t, settings(), 1, endpoints(2))}
	for range 1000 {
		h.serve(latency)
	}
	before := h.serve(latency).MinIdle
	for range 5 {
		h.end(balancer.Outcome{Result: balancer.Reset, Latency: latency / 10, Done: true, TooEarly: true})
		for range 10 { // one in eleven is far more than the estimated quantile
			h.serve(latency)
		}
	}
	terms := h.serve(latency)
	if quick := terms.LateWindow - terms.MinIdle; quick > (terms.LateWindow-before)/3 {
		t.Errorf("got a rest of %v, %v before, which relies on latencies of %v", terms.MinIdle, before, quick)
	}
}
