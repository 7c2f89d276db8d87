package balancer_test

import (
	"testing"
	"time"

	"ashshunt/balancer"
)

// countSubscribes returns the number of Subscribe actions.
func countSubscribes(actions []balancer.Action) (n int) {
	for _, action := range actions {
		if _, ok := action.(balancer.Subscribe); ok {
			n++
		}
	}
	return n
}

// A cached list and each failure are followed by one Subscribe within Settings.PollWithin. None follows a
// complete list. Each agent draws its own delay.
func TestSubscribe(t *testing.T) {
	s := settings()
	s.Subscribe = true
	delays := map[time.Duration]bool{}
	for seed := range uint64(10) {
		h := newHarness(t, s, seed, endpoints(2))
		delays[h.timers[0].firesAt-h.now] = true
		if n := countSubscribes(h.advance(s.PollWithin / 10)); n != 1 {
			t.Fatalf("got %d Subscribe actions after the cached list, want 1", n)
		}
		for range 8 {
			h.step(balancer.EndpointList{Kind: balancer.ListFailed})
			if n := countSubscribes(h.advance(s.PollWithin / 2)); n != 1 {
				t.Fatalf("got %d Subscribe actions after a failure, want 1", n)
			}
		}
		h.replaceList(endpoints(2)...)
		if n := countSubscribes(h.advance(time.Minute)); n != 0 {
			t.Errorf("got %d Subscribe actions while subscribed, want 0", n)
		}
	}
	if len(delays) < 9 {
		t.Errorf("10 agents have %d different delays, want at least 9", len(delays))
	}
}

// If Settings.Subscribe is off, there are no Subscribe actions.
func TestNoSubscribeUnlessConfigured(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	actions := h.step(balancer.EndpointList{Kind: balancer.ListFailed})
	if n := countSubscribes(append(actions, h.advance(time.Minute)...)); n != 0 {
		t.Errorf("got %d Subscribe actions, want 0", n)
	}
}

// discoveryService is a discovery service of fixed capacity. It serves calls one after the other, including
// those whose callers have timed out, and rejects calls if its queue is full.
type discoveryService struct {
	serviceTime   time.Duration // time to serve a call
	callerTimeout time.Duration // time after which callers stop waiting
	maxQueue      time.Duration // maximum waiting time in the queue
	freeAt        time.Duration // time at which all accepted calls are served
}

// newDiscoveryService returns an idle service.
func newDiscoveryService(serviceTime time.Duration) *discoveryService {
	return &discoveryService{serviceTime: serviceTime, callerTimeout: 2 * time.Second, maxQueue: 5 * time.Second}
}

// call returns the time at which a call made now is answered, and whether the answer is the list.
func (d *discoveryService) call(now time.Duration) (at time.Duration, ok bool) {
	d.freeAt = max(d.freeAt, now)
	if d.freeAt-now > d.maxQueue {
		return now, false
	}
	d.freeAt += d.serviceTime
	if d.freeAt-now > d.callerTimeout {
		return now + d.callerTimeout, false
	}
	return d.freeAt, true
}

// subscribingAgent is an agent that subscribes at a discovery service.
type subscribingAgent struct {
	*harness
	answerAt    time.Duration // time of the answer to the call in flight; 0: no call
	willSucceed bool          // the answer to the call in flight is the list
	hasList     bool          // the latest answer was the list
	calls       int           // calls made
}

// advanceTo advances the clock, handles an answer that is due and makes the calls that the balancer requests.
func (a *subscribingAgent) advanceTo(now time.Duration, discovery *discoveryService, failure balancer.ListKind) {
	actions := a.advance(now - a.now)
	if a.answerAt > 0 && a.answerAt <= a.now {
		a.answerAt, a.hasList = 0, a.willSucceed
		list := balancer.EndpointList{Kind: failure}
		if a.willSucceed {
			list = balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(2)}
		}
		actions = append(actions, a.step(list)...)
	}
	for range countSubscribes(actions) {
		a.calls++
		a.answerAt, a.willSucceed = discovery.call(a.now)
	}
}

// startAndSubscribe starts agents at the same time and returns how many have the list after the span, and the
// number of calls that they made. spread is the SubscribeSpread setting; 0: not set.
func startAndSubscribe(
	t *testing.T, agents int, spread time.Duration, discovery *discoveryService, span time.Duration,
) (withList, calls int) {
	t.Helper()
	s := settings()
	s.Subscribe, s.Agents, s.SubscribeSpread, s.RefusedSubscribeSpread = true, agents, spread, 8*spread/3
	failure := balancer.ListFailed
	if spread > 0 {
		failure = balancer.ListRefused
	}
	fleet := make([]*subscribingAgent, agents)
	for i := range fleet {
		s.AgentIndex = i
		fleet[i] = &subscribingAgent{harness: newHarness(t, s, uint64(i), endpoints(2))}
	}
	for start, at := fleet[0].now, time.Duration(0); at <= span; at += s.Tick {
		for _, agent := range fleet {
			agent.advanceTo(start+at, discovery, failure)
		}
	}
	for _, agent := range fleet {
		calls += agent.calls
		if agent.hasList {
			withList++
		}
	}
	return withList, calls
}

// Agents that start at the same time, for example after a release, do not overload a discovery service of low
// capacity. If they did, it would spend its time on calls whose callers have timed out, and serve none.
func TestAgentsStartingTogether(t *testing.T) {
	pollWithin := settings().PollWithin
	tests := []struct {
		name        string
		agents      int
		serviceTime time.Duration
		spread      time.Duration
		span        time.Duration
		maxCalls    int // 0: any number
	}{
		{"large fleet", 80, 60 * ms, 0, 4 * pollWithin, 0},
		{"very large fleet", 300, 16 * ms, 0, 4 * pollWithin, 0},
		{"slow discovery", 80, 100 * ms, 0, 4 * pollWithin, 0},
		{"large fleet with little time", 80, 60 * ms, 1500 * ms, 4 * pollWithin, 0},
		{"very large fleet with little time", 300, 16 * ms, 1500 * ms, 4 * pollWithin, 0},
		// Few agents have no reason to wait, and their cached lists may be out of date.
		{"few agents", 4, 60 * ms, 0, pollWithin / 16, 0},
		// Agents whose watches break at the same time get their lists with one call each, from a discovery
		// service that can serve them in the time allowed: 1.5 s of delay and 2 s of queue, after the 2.5 s
		// in which a silent watch is detected.
		{"watches that break together", 350, 9 * ms, 1500 * ms, 3500 * ms, 350},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withList, calls := startAndSubscribe(t, tt.agents, tt.spread, newDiscoveryService(tt.serviceTime), tt.span)
			if withList < tt.agents {
				t.Errorf("%d of %d agents have the list after %v and %d calls, want all",
					withList, tt.agents, tt.span, calls)
			}
			if tt.maxCalls > 0 && calls > tt.maxCalls {
				t.Errorf("got %d calls, want at most %d", calls, tt.maxCalls)
			}
		})
	}
}
