package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Latency above the target lowers the limit. What exceeds it is queued and then rejected, a client's retry at once.
func TestInFlightLimit(t *testing.T) {
	s := settings()
	s.Agents = 2
	h := newHarness(t, s, 1, endpoints(2))
	h.serve(200, idempotent, 350*ms)
	var actions []balancer.Action
	inFlight := 0
	for i := range 20 {
		id := fmt.Sprint("q", i)
		actions = append(actions, h.request(id, idempotent)...)
		inFlight += len(h.sent[id])
	}
	if want := 4 * 2 / 2; inFlight != want {
		t.Errorf("%d in flight, want this agent's part of 4 per endpoint: %d", inFlight, want)
	}
	retry := h.step(balancer.Request{ID: "retry", Class: idempotent, Timeout: 2000 * ms, ClientRetry: true})
	if finalAnswer("retry", retry) != "reject" {
		t.Errorf("a client's retry: %v, want a rejection at once", retry)
	}
	actions = append(actions, h.advance(400*ms)...)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		if got := finalAnswer(id, actions); len(h.sent[id]) == 0 && got != "reject" {
			t.Errorf("%s: %q, want one rejection", id, got)
		}
	}
}

// Each of many agents takes its part of the limit by head count, also while the endpoints are idle.
func TestLimitIsSharedAmongAgents(t *testing.T) {
	inFlight := func(agents int) int {
		s := settings()
		s.Agents = agents
		return total(newHarness(t, s, 1, endpoints(10)).burst("q", 100, idempotent))
	}
	if one, many := inFlight(1), inFlight(20); many*10 > one {
		t.Errorf("%d in flight among 20 agents against %d alone", many, one)
	}
}

// The limit follows the number of endpoints down.
func TestLimitScalesWithEndpoints(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(10))
	h.replaceList(endpoints(2)...)
	if n := total(h.burst("q", 100, idempotent)); n > 12 {
		t.Errorf("%d in flight on two endpoints", n)
	}
}

// The load of unreachable endpoints does not move to the others while the list still names them.
func TestLimitExcludesUnreachableEndpoints(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(10))
	h.serveWaves(80, 20, idempotent, 5*ms)
	isReachable := func(endpoint string) bool { return endpoint >= "g" }
	unreachable := map[string]bool{} // of a to f, those that have failed
	for i := 0; len(unreachable) < 6 && i < 500; i++ {
		endpoint := h.exchange(fmt.Sprint("d", i), idempotent, func(endpoint string) response {
			if isReachable(endpoint) {
				return response{balancer.Served, ms}
			}
			return response{balancer.ConnectFailed, ms}
		})
		if !isReachable(endpoint) {
			unreachable[endpoint] = true
		}
	}
	h.advance(50 * ms)
	// Six for each of four endpoints, and a few since the limit has grown.
	if n := total(h.burst("q", 100, idempotent)); n > 28 {
		t.Errorf("%d in flight on four reachable endpoints", n)
	}
}

// Chance does not lower the limit of a busy agent whose mean latency is well within the objective, but varies
// a lot.
func TestLatencyVarianceDoesNotLowerLimit(t *testing.T) {
	s := settings()
	s.Agents = 2
	h := newHarness(t, s, 1, endpoints(30))
	latenciesMs := []time.Duration{30, 40, 300, 20, 60, 380, 50, 90, 30, 100} // mean 110, objective 400
	rejected := 0
	var open []string
	for i := range 4000 {
		id := fmt.Sprint("q", i)
		if finalAnswer(id, h.request(id, idempotent)) != "" {
			rejected++
		}
		open = append(open, id)
		h.now += ms
		if len(open) <= 75 {
			continue
		}
		if len(h.sent[open[0]]) > 0 {
			// Latencies come in runs, so that twenty in a row can all be high.
			h.outcome(open[0], balancer.Served, latenciesMs[(i/25)%10]*ms)
		}
		open = open[1:]
	}
	if rejected > 0 {
		t.Errorf("%d of 4000 rejected", rejected)
	}
}

// The limit falls where the mean latency is a multiple of its baseline, long before it nears the objective, but not
// where that latency has been usual from the start.
func TestLimitFallsWithRisingLatency(t *testing.T) {
	inFlight := func(usual time.Duration) int {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.serveWaves(400, 8, idempotent, usual)  // bound by the limit, which may grow
		h.serveWaves(400, 8, idempotent, 130*ms) // about a third of the objective
		return total(h.burst("q", 40, idempotent))
	}
	if risen, constant := inFlight(35*ms), inFlight(130*ms); risen != 4*2 || constant <= 4*2 {
		t.Errorf("%d in flight after a rise, want the least limit of 8; "+
			"%d where it was so from the start, want more", risen, constant)
	}
}

// The limit for an endpoint grows as fast with many agents as with one: agents that raise their limits at once do not
// overshoot together.
func TestLimitGrowsPerEndpoint(t *testing.T) {
	if one, many := inFlightAfterGrowth(t, 1), inFlightAfterGrowth(t, 20); one < 100 || many > one*3/2 {
		t.Errorf("after four rounds one agent has %d in flight, want growth from 80; 20 agents %d", one, many)
	}
}

// inFlightAfterGrowth returns the attempts in flight of a fleet of agents after four rounds of fast responses.
func inFlightAfterGrowth(t *testing.T, agents int) int {
	t.Helper()
	s := settings()
	s.Agents = agents
	h := newHarness(t, s, 1, endpoints(20))
	var inFlight []string // requests, oldest first
	recordSends := func(actions []balancer.Action) {
		for _, send := range sendsOf(actions) {
			inFlight = append(inFlight, send.Request)
		}
	}
	for i := range 200 { // what exceeds the limit is queued
		recordSends(h.request(fmt.Sprint("q", i), idempotent))
	}
	for i := range 4 * len(inFlight) {
		recordSends(h.outcome(inFlight[0], balancer.Served, 20*ms))
		inFlight = inFlight[1:]
		recordSends(h.request(fmt.Sprint("more", i), idempotent))
	}
	return len(inFlight) * agents
}

// The first responses set the baseline, so that a rise to seven times of it lowers the limit though it is far below
// the objective. Heavy requests now and then are no rise.
func TestBaselineFromFirstResponses(t *testing.T) {
	inFlight := func(latencies ...time.Duration) int {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.serveWaves(80, 8, idempotent, 10*ms)
		for _, latency := range latencies {
			h.serve(1, idempotent, latency)
		}
		return total(h.burst("q", 60, idempotent))
	}
	usual := inFlight()
	if n := inFlight(slices.Repeat([]time.Duration{70 * ms}, 60)...); n >= usual {
		t.Errorf("%d in flight after a rise from 10 to 70 ms, want fewer than %d", n, usual)
	}
	oneHeavy := append([]time.Duration{350 * ms}, slices.Repeat([]time.Duration{10 * ms}, 9)...)
	if n := inFlight(slices.Repeat(oneHeavy, 6)...); n < usual {
		t.Errorf("%d in flight with one heavy request in ten, want %d as before", n, usual)
	}
}

// An agent whose part of the least limit is far under one attempt has no limit: a slow attempt delays no other.
func TestAgentWithSmallShareHasNoLimit(t *testing.T) {
	s := settings()
	s.Agents = 400
	h := newHarness(t, s, 1, endpoints(4))
	if n := total(h.burst("q", 4, idempotent)); n != 4 {
		t.Errorf("%d of 4 requests were sent at once", n)
	}
}
