package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// An endpoint that fails fast is always idle; it must not draw the traffic.
func TestFastFailureIsEjected(t *testing.T) {
	h := newHarness(t, settings(), 4, endpoints(6))
	bad := 0
	for i := range 300 {
		id := fmt.Sprint("q", i)
		h.request(id, notIdempotent)
		res, lat := balancer.Served, 30*ms
		if h.sent[id][0] == "a" {
			res, lat = balancer.ServerError, ms
			bad++
		}
		h.now += lat
		h.outcome(id, res, lat)
	}
	if bad > 6 {
		t.Errorf("the failing endpoint got %d of 300", bad)
	}
	// Once it has recovered it gets traffic again, at first idempotent requests.
	h.advance(20 * time.Second)
	if counts := h.waves(408, 12, idempotent, 30*ms); counts["a"] < 20 {
		t.Errorf("after healing it got %d of 400", counts["a"])
	}
}

// An endpoint that leaves one class without response gets no more of it for a while, and keeps the others:
// their responses show that the endpoint as a whole is healthy.
func TestUnresponsiveForOneClass(t *testing.T) {
	s := settings()
	s.Agents, s.MaxAttempts = 400, 1
	h := newHarness(t, s, 1, endpoints(2))
	lost, kept := 0, 0
	for i := range 200 {
		u := fmt.Sprint("u", i)
		h.request(u, notIdempotent)
		for j := range 3 {
			q := fmt.Sprint("q", i, "-", j)
			h.request(q, idempotent)
			h.now += 10 * ms
			h.outcome(q, balancer.Served, 10*ms)
			if h.sent[q][0] == "a" {
				kept++
			}
		}
		if h.sent[u][0] == "a" {
			h.outcome(u, balancer.TimedOut, 30*ms)
			lost++
		} else {
			h.outcome(u, balancer.Served, 10*ms)
		}
		h.now += 50 * ms
	}
	if lost > 21 || kept < 100 {
		t.Errorf("%d of 200 of the class went unanswered, %d of 600 others were served there", lost, kept)
	}
}

// Errors that come from all endpoints alike must not eject any, nor lower the limit.
func TestErrorsFromAllEndpointsAlike(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(4))
	h.serve(200, notIdempotent, 10*ms)
	for i := range 200 {
		id := fmt.Sprint("q", i)
		h.request(id, notIdempotent)
		if len(h.sent[id]) != 1 {
			t.Fatalf("request %d was not sent at once", i)
		}
		h.now += 10 * ms
		if i%20 == 0 {
			h.outcome(id, balancer.ServerError, 10*ms)
		} else {
			h.outcome(id, balancer.Served, 10*ms)
		}
	}
	for i := range 16 { // as many as the limit lets out when all four count
		id := fmt.Sprint("all", i)
		if h.request(id, notIdempotent); len(h.sent[id]) != 1 {
			t.Errorf("%d at once, want 16: endpoints are left out", i)
			break
		}
	}
}

// One broken connection is no restart: the endpoint must not be taken for one that warms up.
func TestOneResetIsNoRestart(t *testing.T) {
	got := func(fails int) int {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.waves(400, 2, notIdempotent, 10*ms)
		for hit := 0; hit < fails; {
			id := fmt.Sprint("q", len(h.sent))
			h.request(id, notIdempotent)
			h.now += 10 * ms
			if h.sent[id][0] == "a" {
				hit++
				h.outcome(id, balancer.Reset, 10*ms)
			} else {
				h.outcome(id, balancer.Served, 10*ms)
			}
		}
		h.advance(2 * time.Second)
		return h.waves(400, 4, notIdempotent, 10*ms)["a"]
	}
	if one, more := got(1), got(3); one < 150 || more > one/2 {
		t.Errorf("a got %d of 400 after one reset, %d after three in a row; want about half, and far less",
			one, more)
	}
}

// Of eight endpoints, four of which answer every request with an error, one is ejected at a time, and the
// others stay in use.
func TestEjectionForErrorsIsBounded(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(8))
	h.waves(400, 8, notIdempotent, 10*ms)
	for i := range 300 {
		id := fmt.Sprint("q", i)
		h.request(id, notIdempotent)
		h.now += ms
		if h.sent[id][0] < "e" {
			h.outcome(id, balancer.ServerError, ms)
		} else {
			h.outcome(id, balancer.Served, ms)
		}
	}
	used := map[string]bool{}
	for i := range 30 {
		id := fmt.Sprint("all", i)
		h.request(id, notIdempotent)
		for _, b := range h.sent[id] {
			used[b] = true
		}
	}
	if len(used) < 7 {
		t.Errorf("%d of 8 endpoints in use, want all but one", len(used))
	}
}

// Connections that fail at every endpoint for a cause of this machine's own say nothing of the endpoints: requests are
// served as before as soon as that is over, and no endpoint is taken for restarted.
func TestLocalFailuresSayNothingOfEndpoints(t *testing.T) {
	for _, agents := range []int{1, 900} {
		s := settings()
		s.Agents = agents
		h := newHarness(t, s, 4, endpoints(6))
		h.waves(60, 6, idempotent, 30*ms)
		for i := range 40 {
			id := fmt.Sprint("local", i)
			h.request(id, notIdempotent)
			for len(h.sent[id]) > 0 && finalAnswer(id, h.actions) == "" {
				attempts := len(h.sent[id])
				h.outcome(id, balancer.LocalFailure, 0)
				if h.advance(200 * ms); len(h.sent[id]) == attempts {
					break
				}
			}
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
			t.Errorf("%d agents: %d of 100 requests were served after the failures", agents, served)
		}
	}
}

// An endpoint that only this machine can't reach must not draw the traffic, as one that fails fast is always idle.
func TestLocalFailuresAtOneEndpoint(t *testing.T) {
	h := newHarness(t, settings(), 4, endpoints(6))
	failed := 0
	for i := range 300 {
		id := fmt.Sprint("q", i)
		h.request(id, notIdempotent)
		if h.sent[id][len(h.sent[id])-1] == "a" {
			h.outcome(id, balancer.LocalFailure, ms)
			h.advance(200 * ms)
			failed++
		}
		h.now += 30 * ms
		h.outcome(id, balancer.Served, 30*ms)
	}
	if failed > 30 {
		t.Errorf("the endpoint that can't be reached got %d of 300", failed)
	}
}
