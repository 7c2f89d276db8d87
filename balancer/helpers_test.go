package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

const ms = time.Millisecond

// Classes of the test settings, by position.
const (
	idempotent = iota
	notIdempotent
	keyedEverywhere
	keyedInZone
	keyedInCell
)

func settings() balancer.Settings {
	class := func(idempotency balancer.Idempotency, scope balancer.DedupScope) balancer.Class {
		return balancer.Class{Objective: 400 * ms, Deadline: 2000 * ms, Priority: 1,
			Idempotency: idempotency, DedupScope: scope, DedupWindow: 300 * ms}
	}
	return balancer.Settings{
		Agents: 1, MaxAttempts: 4, Tick: 5 * ms,
		Classes: []balancer.Class{
			class(balancer.Idempotent, 0),
			class(balancer.NotIdempotent, 0),
			class(balancer.IdempotentWithKey, balancer.DedupEverywhere),
			class(balancer.IdempotentWithKey, balancer.DedupInZone),
			class(balancer.IdempotentWithKey, balancer.DedupInCell),
		},
		DrainGrace: 500 * ms, ResponseGrace: 20 * ms, SlowStartMinCapacity: 0.2, SlowStartDuration: 10 * time.Second,
		SlowStartOverloadMultiple: 2.5, SlowStartOverloadWindow: time.Second, PollWithin: 10 * time.Second,
		WeightOverall: 0.6, WeightWorstWindow: 0.2, WeightWorstClass: 0.2,
	}
}

// endpoints makes n endpoints named a, b, c ...; two per zone and cell.
func endpoints(n int) []balancer.Endpoint {
	var list []balancer.Endpoint
	for i := range n {
		list = append(list, balancer.Endpoint{ID: string(rune('a' + i)), Zone: i / 2, Cell: i / 2})
	}
	return list
}

// harness drives one balancer and records what it does.
type harness struct {
	t        *testing.T
	balancer *balancer.Balancer
	now      time.Duration
	sent     map[string][]string // endpoints of each request's attempts
	timers   []balancer.TimerFired
	timerDue []time.Duration
	actions  []balancer.Action // of the last step
}

func newHarness(t *testing.T, s balancer.Settings, seed uint64, list []balancer.Endpoint) *harness {
	t.Helper()
	b, err := balancer.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, balancer: b, now: time.Hour, sent: map[string][]string{}}
	h.step(balancer.EndpointList{Kind: balancer.ListCached, Endpoints: list})
	return h
}

func (h *harness) step(events ...balancer.Event) []balancer.Action {
	h.actions = h.balancer.Step(h.now, events)
	for _, a := range h.actions {
		switch a := a.(type) {
		case balancer.Send:
			h.sent[a.Request] = append(h.sent[a.Request], a.Endpoint)
		case balancer.SetTimer:
			h.timers = append(h.timers, balancer.TimerFired{Token: a.Token})
			h.timerDue = append(h.timerDue, h.now+a.After)
		}
	}
	return h.actions
}

// advance moves the clock and fires the timers on the way; it returns all actions.
func (h *harness) advance(d time.Duration) []balancer.Action {
	var all []balancer.Action
	end := h.now + d
	for {
		next := -1
		for i, at := range h.timerDue {
			if at <= end && (next < 0 || at < h.timerDue[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		token := h.timers[next]
		h.now = max(h.now, h.timerDue[next])
		h.timers = append(h.timers[:next], h.timers[next+1:]...)
		h.timerDue = append(h.timerDue[:next], h.timerDue[next+1:]...)
		all = append(all, h.step(token)...)
	}
	h.now = end
	return all
}

func (h *harness) request(id string, class int) []balancer.Action {
	return h.step(balancer.Request{ID: id, Class: class, Timeout: 2000 * ms})
}

func (h *harness) keyed(id string, class int, key string) []balancer.Action {
	return h.step(balancer.Request{ID: id, Class: class, Timeout: 2000 * ms, Key: key})
}

// outcome ends the latest attempt of a request.
func (h *harness) outcome(id string, res balancer.Result, latency time.Duration) []balancer.Action {
	h.t.Helper()
	n := len(h.sent[id]) - 1
	if n < 0 {
		h.t.Fatalf("%s: nothing was sent", id)
	}
	return h.step(balancer.Outcome{Request: id, Attempt: n, Endpoint: h.sent[id][n], Result: res,
		Latency: latency, Done: res == balancer.Served})
}

// serve sends n requests one after the other, each served after the latency. It returns the requests by
// endpoint.
func (h *harness) serve(n int, class int, latency time.Duration) map[string]int {
	h.t.Helper()
	counts := map[string]int{}
	for range n {
		id := fmt.Sprintf("serve-%d", len(h.sent))
		h.request(id, class)
		h.now += latency
		h.outcome(id, balancer.Served, latency)
		counts[h.sent[id][0]]++
	}
	return counts
}

// waves sends n requests, width at a time, and serves each wave after the latency. Waves as wide as the list
// open a connection to every endpoint. It returns the requests by endpoint.
func (h *harness) waves(n, width int, class int, latency time.Duration) map[string]int {
	h.t.Helper()
	counts := map[string]int{}
	for range n / width {
		var wave []string
		for range width {
			id := fmt.Sprintf("wave-%d", len(h.sent))
			if h.request(id, class); len(h.sent[id]) == 1 {
				wave = append(wave, id)
			}
		}
		h.now += latency
		for _, id := range wave {
			h.outcome(id, balancer.Served, latency)
			counts[h.sent[id][0]]++
		}
	}
	return counts
}

// fleetShares is how many of 400 requests, eight from each of fifty balancers, each of a few endpoints gets.
// One balancer alone keeps to its subset; together they use all endpoints.
func fleetShares(t *testing.T, s balancer.Settings, list []balancer.Endpoint) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for seed := range uint64(50) {
		h := newHarness(t, s, seed, list)
		h.waves(16, 8, idempotent, 50*ms)
		for id, n := range h.serve(8, idempotent, 50*ms) {
			counts[id] += n
		}
	}
	return counts
}

// finalAnswer names the final answer for a request among the actions, or "".
func finalAnswer(id string, actions []balancer.Action) string {
	found := ""
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Reject:
			if a.Request == id {
				found += "reject"
			}
		case balancer.Fail:
			if a.Request == id {
				found += "fail"
			}
		}
	}
	return found
}
