package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// An endpoint that fails fast is always idle. It is ejected, so that it does not attract the traffic.
func TestFastFailingEndpointIsEjected(t *testing.T) {
	h := newHarness(t, settings(), 4, endpoints(6))
	responseOf := faultAtA(response{balancer.ServerError, ms}, response{balancer.Served, 30 * ms})
	failed := 0
	for i := range 300 {
		if h.exchange(fmt.Sprint("q", i), notIdempotent, responseOf) == "a" {
			failed++
		}
	}
	if failed > 6 {
		t.Errorf("the failing endpoint got %d of 300 requests, want at most 6", failed)
	}
	// After the ejection it gets traffic again, idempotent requests first.
	h.advance(20 * time.Second)
	if counts := h.serveWaves(408, 12, idempotent, 30*ms); counts["a"] < 20 {
		t.Errorf("after the ejection the endpoint got %d of 408 requests, want at least 20", counts["a"])
	}
}

// An endpoint that does not respond to one class is ejected for that class and keeps the others: their
// responses show that the endpoint as a whole is healthy.
func TestEjectionForOneClass(t *testing.T) {
	s := settings()
	s.Agents, s.MaxAttempts = 400, 1
	h := newHarness(t, s, 1, endpoints(2))
	unanswered, served := 0, 0
	for i := range 200 {
		unansweredID := fmt.Sprint("u", i)
		h.request(unansweredID, notIdempotent)
		for j := range 3 {
			id := fmt.Sprint("q", i, "-", j)
			h.request(id, idempotent)
			h.outcomeAfter(id, balancer.Served, 10*ms)
			if h.firstEndpoint(id) == "a" {
				served++
			}
		}
		if h.firstEndpoint(unansweredID) == "a" {
			h.outcome(unansweredID, balancer.TimedOut, 30*ms)
			unanswered++
		} else {
			h.outcome(unansweredID, balancer.Served, 10*ms)
		}
		h.now += 50 * ms
	}
	if unanswered > 21 || served < 100 {
		t.Errorf("%d requests of the class had no response, want at most 21; a served %d others, want at least 100",
			unanswered, served)
	}
}

// Errors that occur at all endpoints at the same rate do not eject any, and do not decrease the limit.
func TestNoEjectionForUniformErrors(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.serve(200, notIdempotent, 10*ms)
	for i := range 200 {
		id := fmt.Sprint("q", i)
		h.request(id, notIdempotent)
		if len(h.sent[id]) != 1 {
			t.Fatalf("request %d was not sent immediately", i)
		}
		result := balancer.Served
		if i%20 == 0 {
			result = balancer.ServerError
		}
		h.outcomeAfter(id, result, 10*ms)
	}
	if n := total(h.burst("all", 16, notIdempotent)); n != 16 { // four attempts per endpoint
		t.Errorf("%d attempts in flight, want 16 at all four endpoints", n)
	}
}

// A single broken connection is no evidence of a restart, so that the endpoint does not warm up. Three
// consecutive ones are.
func TestSingleResetIsNotRestart(t *testing.T) {
	responseOf := faultAtA(response{balancer.Reset, 10 * ms}, response{balancer.Served, 10 * ms})
	servedAfter := func(resets int) int {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.serveWaves(400, 2, notIdempotent, 10*ms)
		for range resets {
			h.exchangeUntilSentTo("a", notIdempotent, responseOf)
		}
		h.advance(2 * time.Second)
		return h.serveWaves(400, 4, notIdempotent, 10*ms)["a"]
	}
	if one, three := servedAfter(1), servedAfter(3); one < 150 || three > one/2 {
		t.Errorf("a got %d of 400 requests after one reset, %d after three; want 150 or more, and at most half as many",
			one, three)
	}
}

// Four of eight endpoints answer every request with an error. Only one is ejected at a time, and the others
// stay in use.
func TestErrorEjectionsAreBounded(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(8))
	h.serveWaves(400, 8, notIdempotent, 10*ms)
	for i := range 300 {
		h.exchange(fmt.Sprint("q", i), notIdempotent, func(endpoint string) response {
			if endpoint < "e" {
				return response{balancer.ServerError, ms}
			}
			return response{balancer.Served, ms}
		})
	}
	if used := len(h.burst("all", 30, notIdempotent)); used < 7 {
		t.Errorf("%d of 8 endpoints in use, want at least 7", used)
	}
}

// Connections that fail at every endpoint because of a fault of this machine are no evidence about the
// endpoints. Requests are served as before once the fault has ended, and no endpoint counts as restarted.
func TestLocalFailuresDoNotAffectEndpoints(t *testing.T) {
	for _, agents := range []int{1, 900} {
		t.Run(fmt.Sprint(agents, " agents"), func(t *testing.T) {
			s := settings()
			s.Agents = agents
			h := newHarness(t, s, 4, endpoints(6))
			h.serveWaves(60, 6, idempotent, 30*ms)
			for i := range 40 {
				h.failLocally(fmt.Sprint("local", i))
			}
			h.advance(time.Second)
			served := 0
			for i := range 100 {
				id := fmt.Sprint("after", i)
				h.request(id, notIdempotent)
				h.now += 30 * ms
				if len(h.sent[id]) == 1 {
					h.outcome(id, balancer.Served, 30*ms)
					served++
				}
			}
			if served < 95 {
				t.Errorf("%d of 100 requests were served after the failures, want at least 95", served)
			}
		})
	}
}

// failLocally sends a request and lets each of its attempts fail locally, until there is no further attempt.
func (h *harness) failLocally(id string) {
	h.t.Helper()
	h.request(id, notIdempotent)
	for finished := 0; len(h.sent[id]) > finished && finalAnswer(id, h.actions) == ""; {
		finished = len(h.sent[id])
		h.outcome(id, balancer.LocalFailure, 0)
		h.advance(200 * ms)
	}
}

// An endpoint that only this machine cannot reach fails fast and is always idle. It does not attract the
// traffic.
func TestLocalFailuresAtOneEndpoint(t *testing.T) {
	h := newHarness(t, settings(), 4, endpoints(6))
	failed := 0
	for i := range 300 {
		id := fmt.Sprint("q", i)
		if h.request(id, notIdempotent); h.firstEndpoint(id) == "a" {
			h.outcome(id, balancer.LocalFailure, ms)
			h.advance(200 * ms)
			failed++
		}
		h.outcomeAfter(id, balancer.Served, 30*ms)
	}
	if failed > 30 {
		t.Errorf("the unreachable endpoint got %d of 300 requests, want at most 30", failed)
	}
}
