package balancer_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
)

// mutation changes the settings or events that the balancer gets, so that it breaks a rule that depends on
// them. The auditor gets the unchanged settings and events.
type mutation struct {
	settings func(*balancer.Settings)            // changes the settings; nil: unchanged
	event    func(balancer.Event) balancer.Event // changes an event; nil: unchanged
}

// mutateEndpoints returns a mutation that changes each entry of each endpoint list.
func mutateEndpoints(edit func(*balancer.Endpoint)) mutation {
	return mutation{event: func(event balancer.Event) balancer.Event {
		list, ok := event.(balancer.EndpointList)
		if !ok {
			return event
		}
		list.Endpoints = slices.Clone(list.Endpoints)
		for i := range list.Endpoints {
			edit(&list.Endpoints[i])
		}
		return list
	}}
}

// mutateClasses returns a mutation that changes the settings of each class.
func mutateClasses(edit func(*balancer.Class)) mutation {
	return mutation{settings: func(s *balancer.Settings) {
		for i := range s.Classes {
			edit(&s.Classes[i])
		}
	}}
}

// invalidateTimerToken replaces the token of a fired timer by one that the balancer does not know.
func invalidateTimerToken(event balancer.Event) balancer.Event {
	if _, ok := event.(balancer.TimerFired); ok {
		return balancer.TimerFired{Token: -1}
	}
	return event
}

// randomDriver runs a balancer and an auditor on random events. Most events are valid. Those of one step are
// in random order.
type randomDriver struct {
	rng       *rand.Rand
	balancer  *balancer.Balancer
	auditor   *auditor
	mutations []mutation

	timers       []pendingTimer
	inFlight     []balancer.Outcome // one for each attempt in flight, without its result
	deadlines    map[string]time.Duration
	list         []balancer.Endpoint
	keyCount     int // number of different keys
	requestCount int // number of requests so far
}

// runRandomEvents runs a number of steps with random settings, requests, outcomes and endpoint lists, and
// returns the auditor.
func runRandomEvents(t *testing.T, seed uint64, steps int, mutations ...mutation) *auditor {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	s := randomSettings(rng)
	d := &randomDriver{rng: rng, auditor: newAuditor(s), mutations: mutations,
		deadlines: map[string]time.Duration{}, list: endpoints(8), keyCount: 1 + rng.IntN(40)}
	s.Classes = slices.Clone(s.Classes)
	for _, mutation := range mutations {
		if mutation.settings != nil {
			mutation.settings(&s)
		}
	}
	b, err := balancer.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	d.balancer = b
	d.auditor.now = time.Hour
	for range steps {
		d.step()
	}
	return d.auditor
}

// randomSettings draws the settings of a run.
func randomSettings(rng *rand.Rand) balancer.Settings {
	s := settings()
	s.Agents = 1 + rng.IntN(9)
	s.AgentIndex = rng.IntN(s.Agents)
	s.Subscribe = rng.IntN(2) == 0
	s.AllowHedging = rng.IntN(2) == 0
	s.AllowGossip = rng.IntN(2) == 0
	s.MaxAttempts = rng.IntN(6)
	s.CrossZonePrice = float64(rng.IntN(2)) * 0.02
	if rng.IntN(4) == 0 {
		s.SlowStartDuration, s.SlowStartOverloadWindow, s.PollWithin, s.Tick = 0, 0, 0, 0
	}
	s.Classes = s.Classes[:1+rng.IntN(len(s.Classes))]
	for i := range s.Classes {
		s.Classes[i].DedupWindow = time.Duration(rng.IntN(100)) * ms
		s.Classes[i].Ordered = rng.IntN(2) == 0
	}
	s.RejectedMayHaveRun = rng.IntN(2) == 0
	s.KeyQuietPeriod = time.Duration(rng.IntN(3)) * 40 * ms
	s.AllowCancel, s.AllowHealthChecks, s.CacheAffinity = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	s.Tenants = []balancer.Tenant{{Share: 0.7, Quota: 20}, {Share: 0.3, Quota: 5}}[:rng.IntN(3)]
	return s
}

// step runs one step of the balancer and audits its actions.
func (d *randomDriver) step() {
	d.auditor.now += time.Duration(d.rng.IntN(30)) * ms / 4 // possibly 0
	events := d.dueTimers()
	events = append(events, d.newRequests()...)
	events = append(events, d.outcomes()...)
	events = append(events, d.randomDisturbance()...)
	d.rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	for _, event := range events {
		d.auditor.handleEvent(event)
	}
	for _, action := range d.balancer.Step(d.auditor.now, d.mutateEvents(events)) {
		d.auditor.handleAction(action)
		switch action := action.(type) {
		case balancer.SetTimer:
			d.timers = append(d.timers, pendingTimer{d.auditor.now + action.After, action.Token})
		case balancer.Send:
			d.inFlight = append(d.inFlight, balancer.Outcome{Request: action.Request,
				Endpoint: action.Endpoint,
				Attempt:  len(d.auditor.requests[action.Request].attempts) - 1})
		}
	}
	d.auditor.auditDeadlines()
}

// mutateEvents applies the mutations to the events that are passed to the balancer.
func (d *randomDriver) mutateEvents(events []balancer.Event) []balancer.Event {
	for _, mutation := range d.mutations {
		for i := range events {
			if mutation.event != nil {
				events[i] = mutation.event(events[i])
			}
		}
	}
	return events
}

// dueTimers removes the timers that are due and returns their events.
func (d *randomDriver) dueTimers() (events []balancer.Event) {
	pending := d.timers[:0]
	for _, timer := range d.timers {
		if timer.firesAt <= d.auditor.now {
			events = append(events, balancer.TimerFired{Token: timer.token})
		} else {
			pending = append(pending, timer)
		}
	}
	d.timers = pending
	return events
}

// newRequests returns up to two requests of random classes with random timeouts.
func (d *randomDriver) newRequests() (events []balancer.Event) {
	for range d.rng.IntN(3) {
		d.requestCount++
		id := fmt.Sprint("q", d.requestCount)
		timeout := time.Duration(1+d.rng.IntN(1500)) * ms
		d.deadlines[id] = d.auditor.now + timeout
		events = append(events, balancer.Request{
			ID:          id,
			Class:       d.rng.IntN(len(d.auditor.settings.Classes)),
			Timeout:     timeout,
			Work:        time.Duration(d.rng.IntN(3)*d.rng.IntN(200)) * ms,
			ClientRetry: d.rng.IntN(5) == 0,
			Tenant:      d.rng.IntN(3),
			Key:         []string{"", fmt.Sprint("k", d.rng.IntN(d.keyCount))}[min(1, d.rng.IntN(9))],
		})
	}
	return events
}

// outcomes returns the outcomes of attempts. Each attempt finishes by the deadline of its request, and some
// finish earlier with a random result.
func (d *randomDriver) outcomes() (events []balancer.Event) {
	inFlight := d.inFlight[:0]
	for _, outcome := range d.inFlight {
		switch {
		case d.deadlines[outcome.Request] <= d.auditor.now:
			outcome.Result = balancer.TimedOut
		case d.rng.IntN(8) == 0:
			outcome.Result = balancer.Result(d.rng.IntN(8))
		default:
			inFlight = append(inFlight, outcome)
			continue
		}
		outcome.Latency = time.Duration(d.rng.IntN(900)) * ms
		outcome.Done = outcome.Result == balancer.Served || d.auditor.requests[outcome.Request].isFinished
		events = append(events, outcome)
		if d.rng.IntN(10) == 0 {
			events = append(events, outcome) // the balancer must ignore the second one
		}
	}
	d.inFlight = inFlight
	return events
}

// randomDisturbance sometimes returns a change or a failure of the endpoint list, a client that disconnects,
// or events that the balancer must ignore.
func (d *randomDriver) randomDisturbance() []balancer.Event {
	switch d.rng.IntN(25) {
	case 0:
		return []balancer.Event{d.listDelta()}
	case 1:
		return []balancer.Event{d.completeList()}
	case 2:
		return []balancer.Event{balancer.EndpointList{Kind: balancer.ListFailed}}
	case 3:
		if d.requestCount > 0 {
			return []balancer.Event{balancer.Abandoned{Request: fmt.Sprint("q", 1+d.rng.IntN(d.requestCount))}}
		}
	case 4:
		return []balancer.Event{balancer.TimerFired{Token: d.rng.Int64N(1 << 20)},
			balancer.Outcome{Request: fmt.Sprint("q", d.rng.IntN(d.requestCount+2)),
				Attempt: d.rng.IntN(2)*99 - 1}, // out of range: -1 or 98
			balancer.HealthCheckResult{Endpoint: "x"}, balancer.GossipMessage{From: 70}}
	case 5:
		return []balancer.Event{balancer.GossipMessage{From: d.rng.IntN(12) - 1,
			Data: binary.BigEndian.AppendUint64(nil, d.rng.Uint64())[:d.rng.IntN(9)]}}
	}
	return nil
}

// listDelta returns a list that changes the state of an endpoint, or restarts it.
func (d *randomDriver) listDelta() balancer.EndpointList {
	entry := &d.list[d.rng.IntN(len(d.list))]
	entry.State = balancer.EndpointState(d.rng.IntN(3))
	if d.rng.IntN(2) == 0 {
		entry.State, entry.StartedAt = balancer.Serving, d.auditor.now
	}
	return balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{*entry}}
}

// completeList returns a complete or cached list with a random number of the endpoints, possibly none.
func (d *randomDriver) completeList() balancer.EndpointList {
	var serving []balancer.Endpoint
	for _, entry := range d.list[:d.rng.IntN(len(d.list)+1)] {
		entry.State = balancer.Serving
		serving = append(serving, entry)
	}
	return balancer.EndpointList{Kind: balancer.ListKind(1 + d.rng.IntN(2)), Endpoints: serving}
}

// The balancer breaks no rule, whatever the settings and the events.
func TestRulesUnderAnyOrder(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		a := runRandomEvents(t, seed, 600)
		if len(a.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, a.firstViolations())
		}
	}
}

// Each mutation makes the balancer break a rule, and the auditor detects the violation. The random events of
// TestRulesUnderAnyOrder therefore reach the rule.
func TestAuditorDetectsMutations(t *testing.T) {
	tests := []struct {
		name     string
		mutation mutation
		want     string
	}{
		{"no request lost", mutation{event: invalidateTimerToken}, "got no final answer by its deadline"},
		{"no effect twice, not idempotent",
			mutateClasses(func(c *balancer.Class) { c.Idempotency = balancer.Idempotent }),
			"is not idempotent"},
		{"no effect twice, scope",
			mutateClasses(func(c *balancer.Class) { c.DedupScope = balancer.DedupEverywhere }),
			"outside its deduplication scope"},
		{"no effect twice, window",
			mutateClasses(func(c *balancer.Class) { c.DedupWindow = time.Hour }),
			"after its deduplication window"},
		{"draining", mutateEndpoints(func(e *balancer.Endpoint) { e.State = balancer.Serving }),
			"draining or removed"},
		{"slow start", mutateEndpoints(func(e *balancer.Endpoint) { e.StartedAt = 0 }), "is warming up"},
		{"order", mutateClasses(func(c *balancer.Class) { c.Ordered = false }),
			"before an earlier request of its key finished"},
		{"order, quiet period",
			mutation{settings: func(s *balancer.Settings) { s.KeyQuietPeriod = 0 }},
			"in the quiet period of its key"},
		{"rejected may have run",
			mutation{settings: func(s *balancer.Settings) { s.RejectedMayHaveRun = false }},
			"is not idempotent and may have run"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 60; seed++ {
				violations := runRandomEvents(t, seed, 600, tt.mutation).violations
				if strings.Contains(strings.Join(violations, "\n"), tt.want) {
					return
				}
			}
			t.Errorf("got no violation with %q in 60 seeds", tt.want)
		})
	}
}

// The balancer breaks no rule, whatever the seed of the random events.
func FuzzRulesUnderAnyOrder(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if a := runRandomEvents(t, seed, 400); len(a.violations) > 0 {
			t.Fatal(a.firstViolations())
		}
	})
}
