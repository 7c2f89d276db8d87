package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// fleetSimulation runs many balancers against endpoints of two cores each, which warm up as slowly as the
// settings allow.
type fleetSimulation struct {
	agentCount, endpointCount int
	startCount                int           // endpoints that start at the change
	removeCount               int           // other endpoints that are removed at the change
	restartAgents             bool          // all agents restart at the change, without state
	load                      float64       // of the capacity of the endpoints before the change
	meanWork                  time.Duration // mean of a request, on one core
	changeAt, duration        time.Duration
	settings                  balancer.Settings

	rng       *rand.Rand
	now       time.Duration
	queue     eventQueue
	list      []balancer.Endpoint
	servers   []*simulatedEndpoint
	agents    []*simulatedAgent
	requests  int // requests since the change
	responses int // responses since the change
}

// simulatedEndpoint serves requests in the order of their arrival.
type simulatedEndpoint struct {
	balancer.Endpoint
	coreFreeAt [2]time.Duration
	arrivals   []time.Duration // when requests arrived since its start
}

// simulatedAgent is a balancer, and what its agent keeps for it.
type simulatedAgent struct {
	balancer *balancer.Balancer
	attempts map[string]int // by request
}

// scheduledEvent is an event of which an agent will be notified.
type scheduledEvent struct {
	at    time.Duration
	agent *simulatedAgent
	event balancer.Event
}

// eventQueue is a heap, the earliest event first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push is called by heap.Push alone, with a scheduledEvent.
func (q *eventQueue) Push(x any) {
	event, ok := x.(scheduledEvent)
	if !ok {
		panic(fmt.Sprintf("push of a %T", x))
	}
	*q = append(*q, event)
}

// Pop is called by heap.Pop alone.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// popEarliest takes the earliest event out. The queue is not empty.
func (q *eventQueue) popEarliest() scheduledEvent {
	earliest := (*q)[0]
	heap.Pop(q)
	return earliest
}

// runMany plays the simulation several times, since the figures of one run vary by some hundredths. It returns the
// worst overload of an endpoint that started, and the mean share of the requests after the change that were served.
func (f fleetSimulation) runMany(t *testing.T) (worstOverload, servedShare float64) {
	t.Helper()
	const runs = 8
	for i := range uint64(runs) {
		run := f
		run.run(t, uint64(f.agentCount)+i)
		for _, server := range run.servers[:f.startCount] {
			worstOverload = max(worstOverload, run.overload(server))
		}
		servedShare += float64(run.responses) / float64(run.requests) / runs
	}
	return worstOverload, servedShare
}

// run plays the simulation once.
func (f *fleetSimulation) run(t *testing.T, seed uint64) {
	t.Helper()
	f.rng = rand.New(rand.NewPCG(seed, 2))
	f.settings.Agents = f.agentCount
	f.now = time.Hour
	change, end := f.now+f.changeAt, f.now+f.duration
	f.addEndpoints()
	f.scheduleRequests(f.addAgents(t), change, end)
	changed := false
	for len(f.queue) > 0 {
		next := f.queue.popEarliest()
		f.now = max(f.now, next.at)
		if !changed && f.now >= change {
			changed = true
			f.applyChange(t, change)
		}
		f.deliver(next, change)
	}
}

// deliver notifies an agent of an event, and counts it if it is a response after the change.
func (f *fleetSimulation) deliver(next scheduledEvent, change time.Duration) {
	switch event := next.event.(type) {
	case balancer.EndpointList:
		if event.Kind == balancer.ListComplete {
			next.event = f.currentList()
		}
	case balancer.Outcome:
		if event.Result == balancer.Served && f.now >= change { // some of them arrived before
			f.responses++
		}
	}
	f.step(next.agent, next.event)
}

func (f *fleetSimulation) addEndpoints() {
	for i := range f.endpointCount {
		entry := balancer.Endpoint{ID: fmt.Sprint("b", i), Zone: 0}
		f.list = append(f.list, entry)
		f.servers = append(f.servers, &simulatedEndpoint{Endpoint: entry})
	}
}

// addAgents adds the agents and returns the share of the requests that each gets, not normalized.
func (f *fleetSimulation) addAgents(t *testing.T) []float64 {
	t.Helper()
	weights := make([]float64, f.agentCount)
	for i := range weights {
		agent := &simulatedAgent{}
		f.agents = append(f.agents, agent)
		f.startAgent(t, agent, i)
		f.schedule(f.now, agent, balancer.EndpointList{Kind: balancer.ListCached, Endpoints: f.list})
		weights[i] = math.Exp(0.8 * f.rng.NormFloat64()) // some get several times the mean
	}
	return weights
}

func (f *fleetSimulation) startAgent(t *testing.T, agent *simulatedAgent, index int) {
	t.Helper()
	f.settings.AgentIndex = index
	b, err := balancer.New(f.settings, f.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	agent.balancer, agent.attempts = b, map[string]int{}
}

func (f *fleetSimulation) schedule(at time.Duration, agent *simulatedAgent, event balancer.Event) {
	heap.Push(&f.queue, scheduledEvent{at, agent, event})
}

func (f *fleetSimulation) scheduleRequests(weights []float64, change, end time.Duration) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	rate := f.load * 2 * float64(f.endpointCount) / f.meanWork.Seconds()
	for at := f.now; at < end; at += time.Duration(f.rng.ExpFloat64() / rate * 1e9) {
		u, i := f.rng.Float64()*sum, 0
		for u -= weights[i]; u > 0; u -= weights[i] {
			i++
		}
		request := balancer.Request{ID: fmt.Sprint("q", at), Class: idempotent, Timeout: 2000 * ms}
		f.schedule(at, f.agents[i], request)
		if at >= change {
			f.requests++
		}
	}
}

// applyChange starts and removes endpoints, and notifies the agents.
func (f *fleetSimulation) applyChange(t *testing.T, at time.Duration) {
	t.Helper()
	affected := f.startCount + f.removeCount
	for i, server := range f.servers[:affected] {
		if f.list[i].StartedAt = at; i >= f.startCount {
			f.list[i].StartedAt, f.list[i].State = 0, balancer.Removed
		}
		server.Endpoint, server.coreFreeAt = f.list[i], [2]time.Duration{}
	}
	for i, agent := range f.agents {
		if f.restartAgents {
			f.startAgent(t, agent, i)
		}
		// Each agent is notified within a tick or two of the others.
		delay := time.Duration(f.rng.Int64N(int64(10 * ms)))
		f.schedule(at+delay, agent, balancer.EndpointList{Kind: balancer.ListComplete})
	}
}

func (f *fleetSimulation) currentList() balancer.EndpointList {
	list := balancer.EndpointList{Kind: balancer.ListComplete}
	for _, entry := range f.list {
		if entry.State != balancer.Removed {
			list.Endpoints = append(list.Endpoints, entry)
		}
	}
	return list
}

// step notifies an agent's balancer of an event and carries out its actions.
func (f *fleetSimulation) step(agent *simulatedAgent, event balancer.Event) {
	for _, action := range agent.balancer.Step(f.now, []balancer.Event{event}) {
		switch action := action.(type) {
		case balancer.SetTimer:
			f.schedule(f.now+action.After, agent, balancer.TimerFired{Token: action.Token})
		case balancer.Send:
			outcome := balancer.Outcome{Request: action.Request, Attempt: agent.attempts[action.Request],
				Endpoint: action.Endpoint, Result: balancer.Served, Latency: f.serve(action.Endpoint)}
			agent.attempts[action.Request]++
			if left := 1900 * ms; outcome.Latency > left {
				outcome.Result, outcome.Latency = balancer.TimedOut, left
			}
			f.schedule(f.now+outcome.Latency, agent, outcome)
		}
	}
}

// serve adds a request to an endpoint's queue and returns its latency.
func (f *fleetSimulation) serve(id string) time.Duration {
	index := slices.IndexFunc(f.list, func(entry balancer.Endpoint) bool { return entry.ID == id })
	server := f.servers[index]
	core := 0
	if server.coreFreeAt[1] < server.coreFreeAt[0] {
		core = 1
	}
	work := float64(f.meanWork) * f.rng.ExpFloat64()
	if server.StartedAt > 0 {
		server.arrivals = append(server.arrivals, f.now)
		work /= warmUpFraction(f.settings, f.now-server.StartedAt)
	}
	server.coreFreeAt[core] = max(f.now, server.coreFreeAt[core]) + time.Duration(work)
	return server.coreFreeAt[core] - f.now
}

// warmUpFraction is the least share of its capacity that an endpoint has at an age.
func warmUpFraction(s balancer.Settings, age time.Duration) float64 {
	return min(1, s.SlowStartMinCapacity+(1-s.SlowStartMinCapacity)*float64(age)/float64(s.SlowStartDuration))
}

// overload is the most requests that an endpoint got within any overload window of its warm-up, over what the settings
// allow, with a margin for chance.
func (f *fleetSimulation) overload(e *simulatedEndpoint) (worst float64) {
	s := f.settings
	first := 0
	for i, at := range e.arrivals {
		for at-e.arrivals[first] > s.SlowStartOverloadWindow {
			first++
		}
		fraction := warmUpFraction(s, e.arrivals[first]-e.StartedAt)
		n := s.SlowStartOverloadMultiple * fraction * 2 * s.SlowStartOverloadWindow.Seconds() / f.meanWork.Seconds()
		worst = max(worst, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}
