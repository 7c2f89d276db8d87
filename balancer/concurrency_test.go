package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Latency above the target lowers the limit; what exceeds it is queued and then rejected, a client's retry
// at once.
func TestInFlightLimit(t *testing.T) {
	s := settings()
	s.Agents = 2
	h := newHarness(t, s, 1, endpoints(2))
	for i := range 200 { // slow answers
		id := fmt.Sprint("s", i)
		h.request(id, idempotent)
		h.now += 350 * ms
		h.outcome(id, balancer.Served, 350*ms)
	}
	out := 0
	var all []balancer.Action
	for i := range 20 {
		id := fmt.Sprint("q", i)
		all = append(all, h.request(id, idempotent)...)
		out += len(h.sent[id])
	}
	if want := 4 * 2 / 2; out != want {
		t.Errorf("%d in flight, want this agent's share of 4 per endpoint: %d", out, want)
	}
	repeat := h.step(balancer.Request{ID: "again", Class: idempotent, Timeout: 2000 * ms, ClientRetry: true})
	if finalAnswer("again", repeat) != "reject" {
		t.Errorf("a client's repeat: %v, want a rejection at once", repeat)
	}
	all = append(all, h.advance(400*ms)...)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		if len(h.sent[id]) == 0 && finalAnswer(id, all) != "reject" {
			t.Errorf("%s: %q, want one rejection", id, finalAnswer(id, all))
		}
	}
}

// The share of each of many agents is smaller, also while the endpoints are idle.
func TestLimitIsSharedOut(t *testing.T) {
	inFlight := func(balancers int) (n int) {
		s := settings()
		s.Agents = balancers
		h := newHarness(t, s, 1, endpoints(10))
		for i := range 100 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			n += len(h.sent[id])
		}
		return n
	}
	if one, many := inFlight(1), inFlight(20); many*10 > one {
		t.Errorf("%d in flight among 20 agents against %d alone", many, one)
	}
}

// The limit follows the number of endpoints down.
func TestLimitFollowsTheList(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(10))
	h.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(2)})
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		n += len(h.sent[id])
	}
	if n > 12 {
		t.Errorf("%d in flight on two endpoints", n)
	}
}

// The load of unreachable endpoints must not move to the others while the list still names them.
func TestLimitLeavesOutUnreachable(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(10))
	h.waves(80, 20, idempotent, 5*ms)
	dead := map[string]bool{}
	for i := 0; len(dead) < 6 && i < 500; i++ {
		id := fmt.Sprint("d", i)
		h.request(id, idempotent)
		h.now += ms
		if b := h.sent[id][0]; b < "g" { // a to f
			dead[b] = true
			h.outcome(id, balancer.ConnectFailed, ms)
		} else {
			h.outcome(id, balancer.Served, ms)
		}
	}
	h.advance(50 * ms)
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		n += len(h.sent[id])
	}
	if n > 28 { // six for each of four, and a few for what the outcomes taught
		t.Errorf("%d in flight on four living endpoints", n)
	}
}

// Chance must not lower the limit of a busy agent whose latency is well within the objective in the mean,
// but varies a lot.
func TestBusyAgentIsNotCutByChance(t *testing.T) {
	s := settings()
	s.Agents = 2
	h := newHarness(t, s, 1, endpoints(30))
	seq := []time.Duration{30, 40, 300, 20, 60, 380, 50, 90, 30, 100} // ms; mean 110 of an objective of 400
	refused, queue := 0, []string{}
	for i := range 4000 {
		id := fmt.Sprint("q", i)
		if finalAnswer(id, h.request(id, idempotent)) != "" {
			refused++
		}
		queue = append(queue, id)
		h.now += ms
		if len(queue) > 75 {
			if len(h.sent[queue[0]]) > 0 {
				// answers in runs, so that twenty in a row can all be slow
				h.outcome(queue[0], balancer.Served, seq[(i/25)%10]*ms)
			}
			queue = queue[1:]
		}
	}
	if refused > 0 {
		t.Errorf("%d of 4000 rejected", refused)
	}
}

// Endpoints that slow down when crowded reach over three times the usual latency long before the objective:
// the limit must fall then, but not where that latency is usual.
func TestLimitFallsWithRisingLatency(t *testing.T) {
	inFlight := func(usual time.Duration) (n int) {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.waves(400, 8, idempotent, usual)  // bound by the limit, which may grow
		h.waves(400, 8, idempotent, 130*ms) // about a third of the objective
		for i := range 40 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			n += len(h.sent[id])
		}
		return n
	}
	if crowded, slow := inFlight(35*ms), inFlight(130*ms); crowded != 4*2 || slow <= 4*2 {
		t.Errorf("%d in flight after a rise, want the floor of 8; "+
			"%d where it was so from the start, want more", crowded, slow)
	}
}

// Many agents that raise their limits at once must not overshoot together.
func TestLimitGrowsPerEndpoint(t *testing.T) {
	total := func(balancers int) int {
		s := settings()
		s.Agents = balancers
		h := newHarness(t, s, 1, endpoints(20))
		var out []string // in flight, oldest first
		sends := func(actions []balancer.Action) {
			for _, a := range actions {
				if a, ok := a.(balancer.Send); ok {
					out = append(out, a.Request)
				}
			}
		}
		for i := range 200 { // what exceeds the limit is queued
			sends(h.request(fmt.Sprint("q", i), idempotent))
		}
		for i := range 4 * len(out) { // four rounds of fast answers
			sends(h.outcome(out[0], balancer.Served, 20*ms))
			out = out[1:]
			sends(h.request(fmt.Sprint("more", i), idempotent))
		}
		return len(out) * balancers
	}
	if one, many := total(1), total(20); one < 100 || many > one*3/2 {
		t.Errorf("after four rounds one agent has %d in flight, want growth from 80; 20 agents %d", one, many)
	}
}

// The first responses set the usual latency, so that a rise to seven times of it shows though it is far
// below the objective. Heavy requests now and then are no rise.
func TestUsualLatencyFromFirstResponses(t *testing.T) {
	inFlight := func(then ...time.Duration) (n int) {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.waves(80, 8, idempotent, 10*ms)
		for _, latency := range then {
			h.serve(1, idempotent, latency)
		}
		for i := range 60 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			n += len(h.sent[id])
		}
		return n
	}
	calm := inFlight()
	var crowded []time.Duration
	for range 60 {
		crowded = append(crowded, 70*ms)
	}
	if n := inFlight(crowded...); n >= calm {
		t.Errorf("%d in flight after a rise from 10 to 70 ms, want fewer than %d", n, calm)
	}
	var heavy []time.Duration
	for range 6 {
		heavy = append(heavy, 350*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms, 10*ms)
	}
	if n := inFlight(heavy...); n < calm {
		t.Errorf("%d in flight with one heavy request in ten, want %d as before", n, calm)
	}
}

// An agent whose part of the least limit is far under one attempt has no limit: a slow attempt delays no
// other.
func TestSparseAgentHasNoLimit(t *testing.T) {
	s := settings()
	s.Agents = 400
	h := newHarness(t, s, 1, endpoints(4))
	for i := range 4 {
		if h.request(fmt.Sprint("q", i), idempotent); len(h.sent[fmt.Sprint("q", i)]) != 1 {
			t.Errorf("request %d waited for another", i)
		}
	}
}
