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

// distortion keeps a fact from the balancer, which then breaks the rule that rests on it.
type distortion struct {
	settings func(*balancer.Settings)
	event    func(balancer.Event) balancer.Event
}

// playHostile feeds a balancer a legal but unkind order of events, and audits it.
func playHostile(t *testing.T, seed uint64, steps int, distortions ...distortion) *auditor {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	s := settings()
	s.Agents = 1 + rng.IntN(9)
	s.AgentIndex = rng.IntN(s.Agents)
	s.Subscribe = rng.IntN(2) == 0
	s.AllowHedging = rng.IntN(2) == 0
	s.AllowGossip = rng.IntN(2) == 0
	s.MaxAttempts = rng.IntN(6)
	s.CrossZonePrice = float64(rng.IntN(2)) * 0.02
	if rng.IntN(4) == 0 {
		s.SlowStart, s.ColdOverloadWindow, s.PollWithin, s.Tick = 0, 0, 0, 0
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
	keys := 1 + rng.IntN(40)
	told := s
	told.Classes = slices.Clone(s.Classes)
	for _, l := range distortions {
		if l.settings != nil {
			l.settings(&told)
		}
	}
	b, err := balancer.New(told, seed)
	if err != nil {
		t.Fatal(err)
	}
	a := newAuditor(s)
	a.now = time.Hour
	type timer struct {
		at    time.Duration
		token int64
	}
	var timers []timer
	var open []balancer.Outcome // attempts that are out
	due := map[string]time.Duration{}
	pool := endpoints(8)
	next := 0
	for range steps {
		a.now += time.Duration(rng.IntN(30)) * ms / 4
		var events []balancer.Event
		keep := timers[:0]
		for _, tm := range timers {
			if tm.at <= a.now {
				events = append(events, balancer.TimerFired{Token: tm.token})
			} else {
				keep = append(keep, tm)
			}
		}
		timers = keep
		for range rng.IntN(3) {
			next++
			id := fmt.Sprint("q", next)
			left := time.Duration(1+rng.IntN(1500)) * ms
			due[id] = a.now + left
			events = append(events, balancer.Request{ID: id, Class: rng.IntN(len(s.Classes)), Timeout: left,
				Work: time.Duration(rng.IntN(3)*rng.IntN(200)) * ms, ClientRetry: rng.IntN(5) == 0,
				Tenant: rng.IntN(3), Key: []string{"", fmt.Sprint("k", rng.IntN(keys))}[min(1, rng.IntN(9))]})
		}
		// Every attempt ends by its request's time; some early, with any result.
		rest := open[:0]
		for _, o := range open {
			switch {
			case due[o.Request] <= a.now:
				o.Result = balancer.TimedOut
			case rng.IntN(8) == 0:
				o.Result = balancer.Result(rng.IntN(8))
			default:
				rest = append(rest, o)
				continue
			}
			o.Latency = time.Duration(rng.IntN(900)) * ms
			o.Done = o.Result == balancer.Served || a.requests[o.Request].ended
			events = append(events, o)
			if rng.IntN(10) == 0 {
				events = append(events, o) // repeated
			}
		}
		open = rest
		switch rng.IntN(25) {
		case 0:
			n := &pool[rng.IntN(len(pool))]
			n.State = balancer.EndpointState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				n.State, n.Started = balancer.Serving, a.now
			}
			events = append(events, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{*n}})
		case 1:
			var full []balancer.Endpoint // up to none at all
			for _, n := range pool[:rng.IntN(len(pool)+1)] {
				n.State = balancer.Serving
				full = append(full, n)
			}
			events = append(events, balancer.EndpointList{Kind: balancer.ListKind(1 + rng.IntN(2)), Endpoints: full})
		case 2:
			events = append(events, balancer.EndpointList{Kind: balancer.ListFailed})
		case 3:
			if next > 0 {
				events = append(events, balancer.Abandoned{Request: fmt.Sprint("q", 1+rng.IntN(next))})
			}
		case 4:
			events = append(events, balancer.TimerFired{Token: rng.Int64N(1 << 20)},
				balancer.Outcome{Request: fmt.Sprint("q", rng.IntN(next+2)), Attempt: rng.IntN(2)*99 - 1},
				balancer.HealthCheckResult{Endpoint: "x"}, balancer.GossipMessage{From: 70})
		case 5:
			events = append(events, balancer.GossipMessage{From: rng.IntN(12) - 1,
				Data: binary.BigEndian.AppendUint64(nil, rng.Uint64())[:rng.IntN(9)]})
		}
		rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, e := range events {
			a.event(e)
		}
		for _, l := range distortions {
			for i := range events {
				if l.event != nil {
					events[i] = l.event(events[i])
				}
			}
		}
		for _, act := range b.Step(a.now, events) {
			a.action(act)
			switch act := act.(type) {
			case balancer.SetTimer:
				timers = append(timers, timer{a.now + act.After, act.Token})
			case balancer.Send:
				open = append(open, balancer.Outcome{Request: act.Request, Endpoint: act.Endpoint,
					Attempt: len(a.requests[act.Request].attempts) - 1})
			}
		}
		a.checkOverdue()
	}
	return a
}

func TestRulesUnderAnyOrder(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		a := playHostile(t, seed, 600)
		if len(a.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(a.violations[:min(3, len(a.violations))], "\n"))
		}
	}
}

// A balancer that does not know of a rule breaks it under the same events, and the auditor finds that.
func TestAuditorFindsEachDistortion(t *testing.T) {
	list := func(edit func(*balancer.Endpoint)) func(balancer.Event) balancer.Event {
		return func(e balancer.Event) balancer.Event {
			l, ok := e.(balancer.EndpointList)
			if !ok {
				return e
			}
			l.Endpoints = slices.Clone(l.Endpoints)
			for i := range l.Endpoints {
				edit(&l.Endpoints[i])
			}
			return l
		}
	}
	classes := func(edit func(*balancer.Class)) func(*balancer.Settings) {
		return func(s *balancer.Settings) {
			for i := range s.Classes {
				edit(&s.Classes[i])
			}
		}
	}
	tests := []struct {
		name       string
		distortion distortion
		want       string
	}{
		{"no request lost", distortion{event: func(e balancer.Event) balancer.Event {
			if _, ok := e.(balancer.TimerFired); ok {
				return balancer.TimerFired{Token: -1}
			}
			return e
		}}, "got no answer in time"},
		{"no effect twice, not idempotent", distortion{settings: classes(func(c *balancer.Class) { c.Idempotency = balancer.Idempotent })}, "is not idempotent"},
		{"no effect twice, scope", distortion{settings: classes(func(c *balancer.Class) { c.DedupScope = balancer.DedupEverywhere })}, "outside its scope"},
		{"no effect twice, window", distortion{settings: classes(func(c *balancer.Class) { c.DedupWindow = time.Hour })}, "after its window"},
		{"draining", distortion{event: list(func(b *balancer.Endpoint) { b.State = balancer.Serving })}, "draining or removed"},
		{"slow start", distortion{event: list(func(b *balancer.Endpoint) { b.Started = 0 })}, "is warming up"},
		{"order", distortion{settings: classes(func(c *balancer.Class) { c.Ordered = false })}, "sent out of turn"},
		{"order, quiet period", distortion{settings: func(s *balancer.Settings) { s.KeyQuietPeriod = 0 }}, "in the quiet period of its key"},
		{"rejected may have run", distortion{settings: func(s *balancer.Settings) { s.RejectedMayHaveRun = false }}, "is not idempotent and may have run"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 60; seed++ {
				if strings.Contains(strings.Join(playHostile(t, seed, 600, tt.distortion).violations, "\n"), tt.want) {
					return
				}
			}
			t.Errorf("no fault with %q", tt.want)
		})
	}
}

func FuzzRulesUnderAnyOrder(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if a := playHostile(t, seed, 400); len(a.violations) > 0 {
			t.Fatal(strings.Join(a.violations[:min(3, len(a.violations))], "\n"))
		}
	})
}
