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
	safe = iota
	unsafe
	keyedAll
	keyedZone
	keyedCell
)

func settings() balancer.Settings {
	class := func(e balancer.Idempotency, g balancer.DedupScope) balancer.Class {
		return balancer.Class{Objective: 400 * ms, Deadline: 2000 * ms, Priority: 1, Idempotency: e, DedupScope: g, DedupWindow: 300 * ms}
	}
	return balancer.Settings{
		Agents: 1, MaxAttempts: 4, Tick: 5 * ms,
		Classes: []balancer.Class{
			class(balancer.Idempotent, 0), class(balancer.NotIdempotent, 0), class(balancer.IdempotentWithKey, balancer.DedupEverywhere),
			class(balancer.IdempotentWithKey, balancer.DedupInZone), class(balancer.IdempotentWithKey, balancer.DedupInCell),
		},
		DrainGrace: 500 * ms, ResponseGrace: 20 * ms, ColdCapacity: 0.2, SlowStart: 10 * time.Second,
		ColdOverloadMultiple: 2.5, ColdOverloadWindow: time.Second, PollWithin: 10 * time.Second,
		WeightOverall: 0.6, WeightWorstWindow: 0.2, WeightWorstClass: 0.2,
	}
}

// backends makes n backends named a, b, c ...; two per zone and cell.
func backends(n int) []balancer.Endpoint {
	var list []balancer.Endpoint
	for i := range n {
		list = append(list, balancer.Endpoint{ID: string(rune('a' + i)), Zone: i / 2, Cell: i / 2})
	}
	return list
}

// rig drives one balancer and keeps what it does.
type rig struct {
	t       *testing.T
	b       *balancer.Balancer
	now     time.Duration
	sent    map[string][]string // backends of each request's attempts
	timers  []balancer.TimerFired
	due     []time.Duration
	actions []balancer.Action // of the last step
}

func newRig(t *testing.T, s balancer.Settings, seed uint64, list []balancer.Endpoint) *rig {
	t.Helper()
	b, err := balancer.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: time.Hour, sent: map[string][]string{}}
	r.step(balancer.EndpointList{Kind: balancer.ListCached, Endpoints: list})
	return r
}

func (r *rig) step(events ...balancer.Event) []balancer.Action {
	r.actions = r.b.Step(r.now, events)
	for _, a := range r.actions {
		switch a := a.(type) {
		case balancer.Send:
			r.sent[a.Request] = append(r.sent[a.Request], a.Endpoint)
		case balancer.SetTimer:
			r.timers = append(r.timers, balancer.TimerFired{Token: a.Token})
			r.due = append(r.due, r.now+a.After)
		}
	}
	return r.actions
}

// advance moves the clock and fires the timers on the way; it returns all actions.
func (r *rig) advance(d time.Duration) []balancer.Action {
	var all []balancer.Action
	end := r.now + d
	for {
		next := -1
		for i, at := range r.due {
			if at <= end && (next < 0 || at < r.due[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		token := r.timers[next]
		r.now = max(r.now, r.due[next])
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.due = append(r.due[:next], r.due[next+1:]...)
		all = append(all, r.step(token)...)
	}
	r.now = end
	return all
}

func (r *rig) request(id string, class int) []balancer.Action {
	return r.step(balancer.Request{ID: id, Class: class, Timeout: 2000 * ms})
}

func (r *rig) keyed(id string, class int, key string) []balancer.Action {
	return r.step(balancer.Request{ID: id, Class: class, Timeout: 2000 * ms, Key: key})
}

// outcome ends the latest attempt of a request.
func (r *rig) outcome(id string, res balancer.Result, latency time.Duration) []balancer.Action {
	r.t.Helper()
	n := len(r.sent[id]) - 1
	if n < 0 {
		r.t.Fatalf("%s: nothing was sent", id)
	}
	return r.step(balancer.Outcome{Request: id, Attempt: n, Endpoint: r.sent[id][n], Result: res,
		Latency: latency, Done: res == balancer.Served})
}

// serve sends n requests one after the other and answers each at once.
func (r *rig) serve(n int, class int, latency time.Duration) map[string]int {
	r.t.Helper()
	counts := map[string]int{}
	for range n {
		id := fmt.Sprintf("serve-%d", len(r.sent))
		r.request(id, class)
		r.now += latency
		r.outcome(id, balancer.Served, latency)
		counts[r.sent[id][0]]++
	}
	return counts
}

// waves sends n requests, width at a time, and answers each wave after the latency. Waves as
// wide as the list open a connection to every backend.
func (r *rig) waves(n, width int, class int, latency time.Duration) map[string]int {
	r.t.Helper()
	counts := map[string]int{}
	for range n / width {
		var wave []string
		for range width {
			id := fmt.Sprintf("wave-%d", len(r.sent))
			if r.request(id, class); len(r.sent[id]) == 1 {
				wave = append(wave, id)
			}
		}
		r.now += latency
		for _, id := range wave {
			r.outcome(id, balancer.Served, latency)
			counts[r.sent[id][0]]++
		}
	}
	return counts
}

// fleetShares is what each of a few backends gets of 400 requests, eight from each of fifty balancers. One
// balancer alone keeps to a working set in an order of its own; together they use all.
func fleetShares(t *testing.T, s balancer.Settings, list []balancer.Endpoint) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for seed := range uint64(50) {
		r := newRig(t, s, seed, list)
		r.waves(16, 8, safe, 50*ms)
		for id, n := range r.serve(8, safe, 50*ms) {
			counts[id] += n
		}
	}
	return counts
}

// final names the final answer for a request among the actions, or "".
func final(id string, actions []balancer.Action) string {
	found := ""
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Reject:
			if a.Request == id {
				found += "refuse"
			}
		case balancer.Fail:
			if a.Request == id {
				found += "fail"
			}
		}
	}
	return found
}
