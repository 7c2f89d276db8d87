package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

func TestDrainAndGone(t *testing.T) {
	for _, state := range []balancer.EndpointState{balancer.Draining, balancer.Removed} {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balancer.EndpointList{Kind: balancer.ListDelta,
			Endpoints: []balancer.Endpoint{{ID: "a", State: state}}})
		if n := r.serve(100, safe, 20*ms)["a"]; n > 0 {
			t.Errorf("state %d: %d requests went there", state, n)
		}
	}
	t.Run("missing from a full list", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: backends(3)[1:]})
		if n := r.serve(100, safe, 20*ms)["a"]; n > 0 {
			t.Errorf("%d requests went there", n)
		}
	})
	t.Run("while waiting out a backoff", func(t *testing.T) {
		for seed := uint64(0); seed < 20; seed++ {
			r := newRig(t, settings(), seed, backends(2))
			r.request("q", safe)
			other := map[string]string{"a": "b", "b": "a"}[r.sent["q"][0]]
			r.now += ms
			r.outcome("q", balancer.ServerError, ms)
			r.step(balancer.EndpointList{Kind: balancer.ListDelta,
				Endpoints: []balancer.Endpoint{{ID: other, State: balancer.Draining}}})
			r.advance(time.Second)
			for _, b := range r.sent["q"][1:] {
				if b == other {
					t.Fatalf("seed %d: a retry went to the draining backend", seed)
				}
			}
		}
	})
	t.Run("back with the same id", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(2))
		r.serve(50, safe, 20*ms)
		r.step(balancer.EndpointList{Kind: balancer.ListDelta,
			Endpoints: []balancer.Endpoint{{ID: "a", State: balancer.Removed}}})
		r.step(balancer.EndpointList{Kind: balancer.ListDelta,
			Endpoints: []balancer.Endpoint{{ID: "a", Started: r.now}}})
		r.serve(400, safe, 20*ms)
		r.advance(10 * time.Second)
		if n := r.serve(200, safe, 20*ms)["a"]; n < 50 {
			t.Errorf("warm again it got %d of 200", n)
		}
	})
}

func TestSubscribe(t *testing.T) {
	s := settings()
	s.Subscribe = true
	asks := func(acts []balancer.Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(balancer.Subscribe); ok {
				n++
			}
		}
		return n
	}
	delays := map[time.Duration]bool{}
	for seed := uint64(0); seed < 10; seed++ {
		r := newRig(t, s, seed, backends(2))
		delays[r.due[0]-r.now] = true
		if n := asks(r.advance(s.PollWithin / 10)); n != 1 {
			t.Fatalf("asked %d times at the start, want once", n)
		}
		for range 8 { // every failure is followed by one more try, in time
			r.step(balancer.EndpointList{Kind: balancer.ListFailed})
			if n := asks(r.advance(s.PollWithin / 2)); n != 1 {
				t.Fatalf("asked %d times after a failure, want once", n)
			}
		}
		r.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: backends(2)})
		if n := asks(r.advance(time.Minute)); n != 0 {
			t.Errorf("asked %d times while subscribed", n)
		}
	}
	if len(delays) < 9 {
		t.Errorf("10 agents ask after only %d different waits", len(delays))
	}
	r := newRig(t, settings(), 1, backends(2))
	if n := asks(append(r.step(balancer.EndpointList{Kind: balancer.ListFailed}), r.advance(time.Minute)...)); n != 0 {
		t.Error("asked although the list comes unasked")
	}
}

// Guards against what only grows: backends that are gone are forgotten, when their last attempt is in.
func TestGoneBackendsAreForgotten(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, unsafe)
		next := balancer.Endpoint{ID: fmt.Sprint("s", i)}
		r.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: []balancer.Endpoint{next}})
		if len(r.sent[id]) > 0 {
			r.outcome(id, balancer.Served, 10*ms)
		}
		r.step(balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{{ID: "never seen", State: balancer.Removed}}})
	}
	if n := r.b.Known(); n != 1 {
		t.Errorf("%d backends are kept, want 1", n)
	}
}

// listService is a discovery of fixed capacity, as seen on a day with 80 agents: calls wait in turn, each
// takes its time of the service even when its caller has given up waiting, and a full queue turns calls away.
type listService struct {
	work, patience, queue time.Duration // of a call; of its caller; the longest that the queue may get
	free                  time.Duration // when all that has been taken is done
}

// call returns when a call made now is answered, and whether with the list.
func (d *listService) call(now time.Duration) (at time.Duration, ok bool) {
	d.free = max(d.free, now)
	if d.free-now > d.queue {
		return now, false
	}
	d.free += d.work
	if d.free-now > d.patience {
		return now + d.patience, false
	}
	return d.free, true
}

// askTogether starts n balancers at one moment and returns how many have the list after the span, and how
// many calls that took. What each may wait at the most is spread; 0: no more is told.
func askTogether(t *testing.T, n int, spread time.Duration, d *listService, span time.Duration) (listed, calls int) {
	t.Helper()
	s := settings()
	s.Subscribe, s.Agents, s.PollSpread, s.RefusedPollSpread = true, n, spread, 8*spread/3
	failed := balancer.ListFailed
	if spread > 0 {
		failed = balancer.ListRefused
	}
	type answer struct {
		at time.Duration
		ok bool
	}
	fleet, answers, done := make([]*rig, n), make([]*answer, n), make([]bool, n)
	for i := range fleet {
		s.AgentIndex = i
		fleet[i] = newRig(t, s, uint64(i), backends(2))
	}
	for start, at := fleet[0].now, time.Duration(0); at <= span; at += s.Tick {
		for i, r := range fleet {
			actions := r.advance(start + at - r.now)
			if a := answers[i]; a != nil && a.at <= r.now {
				answers[i] = nil
				e := balancer.EndpointList{Kind: failed}
				if done[i] = a.ok; a.ok {
					e = balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: backends(2)}
				}
				actions = append(actions, r.step(e)...)
			}
			for _, a := range actions {
				if _, ok := a.(balancer.Subscribe); ok {
					calls++
					at, ok := d.call(r.now)
					answers[i] = &answer{at, ok}
				}
			}
		}
	}
	for _, ok := range done {
		if ok {
			listed++
		}
	}
	return listed, calls
}

// Guards against agents that start together, as at a release, and ask a discovery of little capacity together:
// it worked through calls whose callers had given up, and served nobody any more.
func TestAskingTogether(t *testing.T) {
	s := settings()
	for _, tt := range []struct {
		name   string
		agents int
		work   time.Duration
		spread time.Duration
	}{
		{"a large fleet", 80, 60 * ms, 0},
		{"a very large one", 300, 16 * ms, 0},
		{"a slow discovery", 80, 100 * ms, 0},
		{"a large fleet in haste", 80, 60 * ms, 1500 * ms},
		{"a very large one in haste", 300, 16 * ms, 1500 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := &listService{work: tt.work, patience: 2 * time.Second, queue: 5 * time.Second}
			listed, calls := askTogether(t, tt.agents, tt.spread, d, 4*s.PollWithin)
			if listed < tt.agents {
				t.Errorf("%d of %d have the list after %v and %d calls", listed, tt.agents, 4*s.PollWithin, calls)
			}
		})
	}
	// A few have nothing to spread out, and what they hold may be old.
	d := &listService{work: 60 * ms, patience: 2 * time.Second, queue: 5 * time.Second}
	if listed, _ := askTogether(t, 4, 0, d, s.PollWithin/16); listed < 4 {
		t.Errorf("%d of 4 have the list after %v", listed, s.PollWithin/16)
	}
	// A fleet of 350 whose watches break together has its lists in time, from a discovery that can serve it in that
	// time at all, and none asks twice: 1.5 s of waits and 2 s of turns after the 2.5 s in which a silence is found.
	d = &listService{work: 9 * ms, patience: 2 * time.Second, queue: 5 * time.Second}
	if listed, calls := askTogether(t, 350, 1500*ms, d, 3500*ms); listed < 350 || calls > 350 {
		t.Errorf("%d of 350 have the list after 3.5 s and %d calls", listed, calls)
	}
}
