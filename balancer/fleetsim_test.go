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

// fleetSimulation runs many balancers against endpoints of two cores each, which warm up as slowly as the
// settings allow.
type fleetSimulation struct {
	agents, endpoints int
	started           int           // of the endpoints, so many start when the day is at its turn
	removed           int           // and so many others are gone then
	restartAgents     bool          // all agents are started again at the turn, knowing nothing
	load              float64       // of what the endpoints can do before the turn
	work              time.Duration // of a request, on one core
	changeAt, length  time.Duration
}

// simulatedEndpoint serves requests in the order of their arrival.
type simulatedEndpoint struct {
	balancer.Endpoint
	coreFreeAt [2]time.Duration // its cores
	sent       []time.Duration  // what came since it started
}

// scheduledEvent is an event that an agent will be notified of.
type scheduledEvent struct {
	at    time.Duration
	agent *simulatedAgent
	event balancer.Event
}

type eventQueue []scheduledEvent

func (d eventQueue) Len() int { return len(d) }

func (d eventQueue) Less(i, j int) bool { return d[i].at < d[j].at }

func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *eventQueue) Push(x any) { *d = append(*d, x.(scheduledEvent)) }

func (d *eventQueue) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

type simulatedAgent struct {
	balancer *balancer.Balancer
	attempts map[string]int
}

// run returns the endpoints at the end, the requests that arrived after the change, and how many of them were
// served.
func (f fleetSimulation) run(t *testing.T, s balancer.Settings, seed uint64) (all []*simulatedEndpoint, asked, served int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	s.Agents = f.agents
	now := time.Hour
	turn, end := now+f.changeAt, now+f.length
	byID := map[string]*simulatedEndpoint{}
	var list []balancer.Endpoint
	for i := range f.endpoints {
		e := balancer.Endpoint{ID: fmt.Sprint("b", i), Zone: 0}
		list = append(list, e)
		all = append(all, &simulatedEndpoint{Endpoint: e})
		byID[e.ID] = all[i]
	}
	start := func(a *simulatedAgent, i int) {
		s.AgentIndex = i
		b, err := balancer.New(s, rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		a.balancer, a.attempts = b, map[string]int{}
	}
	var queue eventQueue
	fleet, weights, sum := make([]*simulatedAgent, f.agents), make([]float64, f.agents), 0.0
	for i := range fleet {
		fleet[i] = &simulatedAgent{}
		start(fleet[i], i)
		heap.Push(&queue, scheduledEvent{now, fleet[i], balancer.EndpointList{Kind: balancer.ListCached, Endpoints: list}})
		weights[i] = math.Exp(0.8 * rng.NormFloat64()) // some get several times the mean
		sum += weights[i]
	}
	rate := f.load * 2 * float64(f.endpoints) / f.work.Seconds()
	for at := now; at < end; at += time.Duration(rng.ExpFloat64() / rate * 1e9) {
		u, i := rng.Float64()*sum, 0
		for u -= weights[i]; u > 0; u -= weights[i] {
			i++
		}
		heap.Push(&queue, scheduledEvent{at, fleet[i], balancer.Request{ID: fmt.Sprint("q", at), Class: idempotent, Timeout: 2000 * ms}})
		if at >= turn {
			asked++
		}
	}
	step := func(a *simulatedAgent, events ...balancer.Event) {
		for _, act := range a.balancer.Step(now, events) {
			switch act := act.(type) {
			case balancer.SetTimer:
				heap.Push(&queue, scheduledEvent{now + act.After, a, balancer.TimerFired{Token: act.Token}})
			case balancer.Send:
				e := byID[act.Endpoint]
				core := 0
				if e.coreFreeAt[1] < e.coreFreeAt[0] {
					core = 1
				}
				need := float64(f.work) * rng.ExpFloat64()
				if e.Started > 0 {
					e.sent = append(e.sent, now)
					need /= warmUpFraction(s, now-e.Started)
				}
				e.coreFreeAt[core] = max(now, e.coreFreeAt[core]) + time.Duration(need)
				o := balancer.Outcome{Request: act.Request, Attempt: a.attempts[act.Request], Endpoint: act.Endpoint,
					Result: balancer.Served, Latency: e.coreFreeAt[core] - now}
				a.attempts[act.Request]++
				if left := 1900 * ms; o.Latency > left {
					o.Result, o.Latency = balancer.TimedOut, left
				}
				heap.Push(&queue, scheduledEvent{now + o.Latency, a, o})
			}
		}
	}
	turned := false
	for len(queue) > 0 {
		d := heap.Pop(&queue).(scheduledEvent)
		now = max(now, d.at)
		if !turned && now >= turn {
			turned = true
			for i, e := range all[:f.started+f.removed] {
				if list[i].Started = turn; i >= f.started {
					list[i].Started, list[i].State = 0, balancer.Removed
				}
				e.Endpoint, e.coreFreeAt = list[i], [2]time.Duration{}
			}
			for i, a := range fleet {
				if f.restartAgents {
					start(a, i)
				}
				// Each agent is notified within a tick or two of the others.
				heap.Push(&queue, scheduledEvent{turn + time.Duration(rng.Int64N(int64(10*ms))), a,
					balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: list[: f.started+f.removed : f.started+f.removed]}})
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

// warmUpFraction is the least share of its capacity that an endpoint has at an age.
func warmUpFraction(s balancer.Settings, age time.Duration) float64 {
	return min(1, s.ColdCapacity+(1-s.ColdCapacity)*float64(age)/float64(s.SlowStart))
}

// overload is the most that an endpoint got within any overload window of its warm-up, over what the settings
// allow then with a margin for chance.
func (f fleetSimulation) overload(s balancer.Settings, e *simulatedEndpoint) (worst float64) {
	first := 0
	for i, at := range e.sent {
		for at-e.sent[first] > s.ColdOverloadWindow {
			first++
		}
		n := s.ColdOverloadMultiple * warmUpFraction(s, e.sent[first]-e.Started) * 2 * s.ColdOverloadWindow.Seconds() / f.work.Seconds()
		worst = max(worst, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}
