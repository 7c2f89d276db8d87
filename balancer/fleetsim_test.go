package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ashshunt/balancer"
)

// fleetDay plays many balancers against backends of two cores each that start cold and warm up as slowly as
// the settings allow.
type fleetDay struct {
	agents, backends int
	started          int           // of the backends, so many start when the day is at its turn
	gone             int           // and so many others are gone then
	restart          bool          // all agents are started again at the turn, knowing nothing
	load             float64       // of what the backends can do before the turn
	work             time.Duration // of a request, on one core
	turn, length     time.Duration
}

// fleetBackend serves what comes in turn.
type fleetBackend struct {
	balancer.Endpoint
	free [2]time.Duration // its cores
	sent []time.Duration  // what came since it started
}

// due is something that happens to an agent.
type due struct {
	at    time.Duration
	agent *fleetAgent
	event balancer.Event
}

type dues []due

func (d dues) Len() int { return len(d) }

func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }

func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *dues) Push(x any) { *d = append(*d, x.(due)) }

func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

type fleetAgent struct {
	b        *balancer.Balancer
	attempts map[string]int
}

// play returns the backends after the day, the requests that came after the turn and how many of them were served.
func (f fleetDay) play(t *testing.T, s balancer.Settings, seed uint64) (all []*fleetBackend, asked, served int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	s.Agents = f.agents
	now := time.Hour
	turn, end := now+f.turn, now+f.length
	byID := map[string]*fleetBackend{}
	var list []balancer.Endpoint
	for i := range f.backends {
		e := balancer.Endpoint{ID: fmt.Sprint("b", i), Zone: 0}
		list = append(list, e)
		all = append(all, &fleetBackend{Endpoint: e})
		byID[e.ID] = all[i]
	}
	start := func(a *fleetAgent, i int) {
		s.AgentIndex = i
		b, err := balancer.New(s, rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		a.b, a.attempts = b, map[string]int{}
	}
	var queue dues
	fleet, weights, sum := make([]*fleetAgent, f.agents), make([]float64, f.agents), 0.0
	for i := range fleet {
		fleet[i] = &fleetAgent{}
		start(fleet[i], i)
		heap.Push(&queue, due{now, fleet[i], balancer.EndpointList{Kind: balancer.ListCached, Endpoints: list}})
		weights[i] = math.Exp(0.8 * rng.NormFloat64()) // some get several times the mean
		sum += weights[i]
	}
	rate := f.load * 2 * float64(f.backends) / f.work.Seconds()
	for at := now; at < end; at += time.Duration(rng.ExpFloat64() / rate * 1e9) {
		u, i := rng.Float64()*sum, 0
		for u -= weights[i]; u > 0; u -= weights[i] {
			i++
		}
		heap.Push(&queue, due{at, fleet[i], balancer.Request{ID: fmt.Sprint("q", at), Class: safe, Timeout: 2000 * ms}})
		if at >= turn {
			asked++
		}
	}
	step := func(a *fleetAgent, events ...balancer.Event) {
		for _, act := range a.b.Step(now, events) {
			switch act := act.(type) {
			case balancer.SetTimer:
				heap.Push(&queue, due{now + act.After, a, balancer.TimerFired{Token: act.Token}})
			case balancer.Send:
				e := byID[act.Endpoint]
				core := 0
				if e.free[1] < e.free[0] {
					core = 1
				}
				need := float64(f.work) * rng.ExpFloat64()
				if e.Started > 0 {
					e.sent = append(e.sent, now)
					need /= warmth(s, now-e.Started)
				}
				e.free[core] = max(now, e.free[core]) + time.Duration(need)
				o := balancer.Outcome{Request: act.Request, Attempt: a.attempts[act.Request], Endpoint: act.Endpoint,
					Result: balancer.Served, Latency: e.free[core] - now}
				a.attempts[act.Request]++
				if left := 1900 * ms; o.Latency > left {
					o.Result, o.Latency = balancer.TimedOut, left
				}
				heap.Push(&queue, due{now + o.Latency, a, o})
			}
		}
	}
	turned := false
	for len(queue) > 0 {
		d := heap.Pop(&queue).(due)
		now = max(now, d.at)
		if !turned && now >= turn {
			turned = true
			for i, e := range all[:f.started+f.gone] {
				if list[i].Started = turn; i >= f.started {
					list[i].Started, list[i].State = 0, balancer.Removed
				}
				e.Endpoint, e.free = list[i], [2]time.Duration{}
			}
			for i, a := range fleet {
				if f.restart {
					start(a, i)
				}
				// Each hears of it within a tick or two of the others.
				heap.Push(&queue, due{turn + time.Duration(rng.Int64N(int64(10*ms))), a,
					balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: list[: f.started+f.gone : f.started+f.gone]}})
			}
		}
		if l, ok := d.event.(balancer.EndpointList); ok && l.Kind == balancer.ListComplete {
			l.Endpoints = nil
			for _, e := range list {
				if e.State != balancer.Removed {
					l.Endpoints = append(l.Endpoints, e)
				}
			}
			d.event = l
		}
		if o, ok := d.event.(balancer.Outcome); ok && o.Result == balancer.Served && now >= turn { // some were asked before
			served++
		}
		step(d.agent, d.event)
	}
	return all, asked, served
}

// warmth is the least that a backend may be able to do, so long after its start.
func warmth(s balancer.Settings, age time.Duration) float64 {
	return min(1, s.ColdCapacity+(1-s.ColdCapacity)*float64(age)/float64(s.SlowStart))
}

// pressure is the most that came to a cold backend within any fall window, against what the settings allow it
// then and what is left to chance.
func (f fleetDay) pressure(s balancer.Settings, e *fleetBackend) (worst float64) {
	first := 0
	for i, at := range e.sent {
		for at-e.sent[first] > s.ColdOverloadWindow {
			first++
		}
		n := s.ColdOverloadMultiple * warmth(s, e.sent[first]-e.Started) * 2 * s.ColdOverloadWindow.Seconds() / f.work.Seconds()
		worst = max(worst, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}
