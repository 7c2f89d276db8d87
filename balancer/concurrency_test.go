package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// A latency above the target decreases the limit. Requests above the limit are queued and then rejected; a
// client's retry is rejected at once.
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
		t.Errorf("got %d attempts in flight, want this agent's share of 4 per endpoint: %d", inFlight, want)
	}
	retry := h.step(balancer.Request{ID: "retry", Class: idempotent, Timeout: 2000 * ms, ClientRetry: true})
	if finalAnswer("retry", retry) != "reject" {
		t.Errorf("client's retry: got actions %v, want a rejection", retry)
	}
	actions = append(actions, h.advance(400*ms)...)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		if got := finalAnswer(id, actions); len(h.sent[id]) == 0 && got != "reject" {
			t.Errorf("%s: got answer %q, want reject", id, got)
		}
	}
}

// Each agent uses an equal share of the limit, even while the endpoints are idle.
func TestLimitIsSharedAmongAgents(t *testing.T) {
	inFlight := func(agents int) int {
		s := settings()
		s.Agents = agents
		return total(newHarness(t, s, 1, endpoints(10)).burst("q", 100, idempotent))
	}
	if one, many := inFlight(1), inFlight(20); many*10 > one {
		t.Errorf("got %d attempts in flight with 20 agents and %d with one, want at most a tenth", many, one)
	}
}

// The limit decreases with the number of endpoints.
func TestLimitScalesWithEndpoints(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(10))
	h.replaceList(endpoints(2)...)
	if n := total(h.burst("q", 100, idempotent)); n > 12 {
		t.Errorf("got %d attempts in flight at two endpoints, want at most 12", n)
	}
}

// Unreachable endpoints that are still listed do not count for the limit. Otherwise their load would move to
// the other endpoints.
func TestLimitExcludesUnreachableEndpoints(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(10))
	h.serveWaves(80, 20, idempotent, 5*ms)
	isReachable := func(endpoint string) bool { return endpoint >= "g" }
	unreachable := map[string]bool{} // endpoints of a to f that have failed
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
	// Six for each of four endpoints, and a few more because the limit has increased.
	if n := total(h.burst("q", 100, idempotent)); n > 28 {
		t.Errorf("got %d attempts in flight at four reachable endpoints, want at most 28", n)
	}
}

// Latencies that vary a lot do not decrease the limit of a busy agent if their mean is well within the
// objective.
func TestLatencyVarianceDoesNotDecreaseLimit(t *testing.T) {
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
			// Equal latencies follow each other, so that twenty in a row can be high.
			h.outcome(open[0], balancer.Served, latenciesMs[(i/25)%10]*ms)
		}
		open = open[1:]
	}
	if rejected > 0 {
		t.Errorf("got %d of 4000 requests rejected, want none", rejected)
	}
}

// The limit decreases if the mean latency rises to a multiple of its baseline, even far below the objective.
// It does not decrease if the latency has been the same from the start.
func TestLimitDecreasesWithRisingLatency(t *testing.T) {
	inFlight := func(usual time.Duration) int {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.serveWaves(400, 8, idempotent, usual)  // limited, so that the limit may increase
		h.serveWaves(400, 8, idempotent, 130*ms) // about a third of the objective
		return total(h.burst("q", 40, idempotent))
	}
	if risen, constant := inFlight(35*ms), inFlight(130*ms); risen != 4*2 || constant <= 4*2 {
		t.Errorf("got %d attempts in flight after a rise, want the minimum limit of 8; "+
			"got %d with constant latency, want more than 8", risen, constant)
	}
}

// The limit per endpoint increases as fast with many agents as with one, so that agents that increase their
// limits together do not overshoot.
func TestLimitIncreasesPerEndpoint(t *testing.T) {
	if one, many := inFlightAfterIncrease(t, 1), inFlightAfterIncrease(t, 20); one < 100 || many > one*3/2 {
		t.Errorf("got %d attempts in flight with one agent, want at least 100; got %d with 20, want 1.5 times at most",
			one, many)
	}
}

// inFlightAfterIncrease returns the attempts in flight of all agents together after four rounds of fast
// responses.
func inFlightAfterIncrease(t *testing.T, agents int) int {
	t.Helper()
	s := settings()
	s.Agents = agents
	h := newHarness(t, s, 1, endpoints(20))
	var inFlight []string // IDs of the requests, oldest first
	recordSends := func(actions []balancer.Action) {
		for _, send := range sendsOf(actions) {
			inFlight = append(inFlight, send.Request)
		}
	}
	for i := range 200 { // requests above the limit are queued
		recordSends(h.request(fmt.Sprint("q", i), idempotent))
	}
	for i := range 4 * len(inFlight) {
		recordSends(h.outcome(inFlight[0], balancer.Served, 20*ms))
		inFlight = inFlight[1:]
		recordSends(h.request(fmt.Sprint("more", i), idempotent))
	}
	return len(inFlight) * agents
}

// The first responses set the baseline. A rise to seven times the baseline decreases the limit, although
// the latency is far below the objective. A few heavy requests do not decrease it.
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
		t.Errorf("got %d attempts in flight after a rise from 10 to 70 ms, want fewer than %d", n, usual)
	}
	oneHeavy := append([]time.Duration{350 * ms}, slices.Repeat([]time.Duration{10 * ms}, 9)...)
	if n := inFlight(slices.Repeat(oneHeavy, 6)...); n < usual {
		t.Errorf("got %d attempts in flight with one heavy request in ten, want at least %d as before", n, usual)
	}
}

// An agent whose share of the minimum limit is far below one attempt has no limit, so that a slow attempt
// does not delay others.
func TestAgentWithSmallShareHasNoLimit(t *testing.T) {
	s := settings()
	s.Agents = 400
	h := newHarness(t, s, 1, endpoints(4))
	if n := total(h.burst("q", 4, idempotent)); n != 4 {
		t.Errorf("got %d requests sent at once, want 4", n)
	}
}
