package balancer_test

import (
	"testing"
	"time"

	"ashshunt/balancer"
)

// Tests in this file step many balancers together: what one does without harm may do harm where all do it.

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

// Guards against agents that stay with what they are connected to while backends join, or a zone comes back:
// on the day of the report eleven of sixteen that had returned got nothing in five seconds, and the others
// more than they could bear. Newcomers get their part of all agents' traffic, once they are warm.
func TestNewcomersGetTheirPart(t *testing.T) {
	s := settings()
	s.Agents = 80
	list := make([]balancer.Endpoint, 60)
	for i := range list {
		list[i] = balancer.Endpoint{ID: string(rune('A' + i))}
	}
	old, all := list[:40], list
	counts := map[string]int{}
	widest := 0
	for i := range s.Agents {
		s.AgentIndex = i
		r := newRig(t, s, uint64(i), old)
		r.serve(40, safe, 50*ms)
		for i := range all[40:] {
			all[40+i].Started = r.now
		}
		r.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: all})
		r.advance(s.SlowStart)
		part := r.serve(40, safe, 50*ms)
		widest = max(widest, len(part))
		for id, n := range part {
			counts[id] += n
		}
	}
	late, idle := 0, 0
	for _, n := range all[40:] {
		late += counts[n.ID]
		if counts[n.ID] == 0 {
			idle++
		}
	}
	// A third of the backends; agents are slow to leave those that they know.
	if total := 40 * s.Agents; late < total/8 || late > total/2 || idle > 10 {
		t.Errorf("20 newcomers of 60 got %d of %d requests, and %d of them none", late, total, idle)
	}
	if widest > 8 {
		t.Errorf("a quiet agent used %d backends, want a few: each takes only so many connections", widest)
	}
}
