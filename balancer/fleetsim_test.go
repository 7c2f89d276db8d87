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

// fleetSimulation simulates many balancers and a fleet of endpoints with two cores each. The endpoints warm
// up as slowly as the settings allow. The endpoint list changes once during a run.
type fleetSimulation struct {
	agentCount, endpointCount int
	restartCount              int           // endpoints that restart at the change
	removeCount               int           // other endpoints that are removed at the change
	restartAgents             bool          // all agents restart at the change and lose their state
	load                      float64       // share of the endpoints' capacity before the change
	meanWork                  time.Duration // mean time that a request takes on one core
	changeAfter, duration     time.Duration
	settings                  balancer.Settings

	rng       *rand.Rand
	now       time.Duration
	queue     eventQueue
	list      []balancer.Endpoint
	endpoints []*simulatedEndpoint
	agents    []*simulatedAgent
	requests  int // requests that arrived after the change
	responses int // responses after the change
}

// simulatedEndpoint serves requests in the order of their arrival.
type simulatedEndpoint struct {
	balancer.Endpoint
	coreFreeAt [2]time.Duration // times at which the cores finish their queued requests
	arrivals   []time.Duration  // arrival times of requests since its restart
}

// simulatedAgent is a balancer with the state that the agent keeps for it.
type simulatedAgent struct {
	balancer *balancer.Balancer
	attempts map[string]int // number of attempts by request
}

// scheduledEvent is an event that is delivered to an agent's balancer at a time.
type scheduledEvent struct {
	at    time.Duration
	agent *simulatedAgent
	event balancer.Event
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface. x must be a scheduledEvent.
func (q *eventQueue) Push(x any) {
	event, ok := x.(scheduledEvent)
	if !ok {
		panic(fmt.Sprintf("eventQueue.Push: got a %T, want a scheduledEvent", x))
	}
	*q = append(*q, event)
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// popEarliest removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) popEarliest() scheduledEvent {
	earliest := (*q)[0]
	heap.Pop(q)
	return earliest
}

// runMany runs the simulation several times, since the results of single runs differ by some hundredths. It
// returns the maximum overload of an endpoint that restarted, and the mean share of the requests after the
// change that were served.
func (f fleetSimulation) runMany(t *testing.T) (maxOverload, servedShare float64) {
	t.Helper()
	const runs = 8
	for i := range uint64(runs) {
		run := f
		run.run(t, uint64(f.agentCount)+i)
		for _, endpoint := range run.endpoints[:f.restartCount] {
			maxOverload = max(maxOverload, run.overload(endpoint))
		}
		servedShare += float64(run.responses) / float64(run.requests) / runs
	}
	return maxOverload, servedShare
}

// run runs the simulation once.
func (f *fleetSimulation) run(t *testing.T, seed uint64) {
	t.Helper()
	f.rng = rand.New(rand.NewPCG(seed, 2))
	f.settings.Agents = f.agentCount
	f.now = time.Hour
	change, end := f.now+f.changeAfter, f.now+f.duration
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

// deliver delivers an event to its agent. A complete list has the entries of the time of delivery. deliver
// counts the responses after the change, those to earlier requests included.
func (f *fleetSimulation) deliver(next scheduledEvent, change time.Duration) {
	switch event := next.event.(type) {
	case balancer.EndpointList:
		if event.Kind == balancer.ListComplete {
			next.event = f.currentList()
		}
	case balancer.Outcome:
		if event.Result == balancer.Served && f.now >= change {
			f.responses++
		}
	}
	f.step(next.agent, next.event)
}

func (f *fleetSimulation) addEndpoints() {
	for i := range f.endpointCount {
		entry := balancer.Endpoint{ID: fmt.Sprint("b", i), Zone: 0}
		f.list = append(f.list, entry)
		f.endpoints = append(f.endpoints, &simulatedEndpoint{Endpoint: entry})
	}
}

// addAgents adds the agents and returns their weights: the relative numbers of requests that they get.
func (f *fleetSimulation) addAgents(t *testing.T) []float64 {
	t.Helper()
	weights := make([]float64, f.agentCount)
	for i := range weights {
		agent := &simulatedAgent{}
		f.agents = append(f.agents, agent)
		f.startAgent(t, agent, i)
		f.schedule(f.now, agent, balancer.EndpointList{Kind: balancer.ListCached, Endpoints: f.list})
		weights[i] = math.Exp(0.8 * f.rng.NormFloat64()) // some agents get several times the mean
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

// scheduleRequests schedules requests as a Poisson process. The agent of each request is drawn by weight.
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

// applyChange restarts and removes endpoints, restarts the agents if restartAgents is set, and schedules the
// new endpoint list for each agent.
func (f *fleetSimulation) applyChange(t *testing.T, at time.Duration) {
	t.Helper()
	affected := f.restartCount + f.removeCount
	for i, endpoint := range f.endpoints[:affected] {
		if f.list[i].StartedAt = at; i >= f.restartCount {
			f.list[i].StartedAt, f.list[i].State = 0, balancer.Removed
		}
		endpoint.Endpoint, endpoint.coreFreeAt = f.list[i], [2]time.Duration{}
	}
	for i, agent := range f.agents {
		if f.restartAgents {
			f.startAgent(t, agent, i)
		}
		// Agents get the list within two ticks of each other.
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

// step delivers an event to an agent's balancer and carries out the actions that it returns.
func (f *fleetSimulation) step(agent *simulatedAgent, event balancer.Event) {
	for _, action := range agent.balancer.Step(f.now, []balancer.Event{event}) {
		switch action := action.(type) {
		case balancer.SetTimer:
			f.schedule(f.now+action.After, agent, balancer.TimerFired{Token: action.Token})
		case balancer.Send:
			outcome := balancer.Outcome{Request: action.Request, Attempt: agent.attempts[action.Request],
				Endpoint: action.Endpoint, Result: balancer.Served, Latency: f.serve(action.Endpoint)}
			agent.attempts[action.Request]++
			if timeout := 1900 * ms; outcome.Latency > timeout {
				outcome.Result, outcome.Latency = balancer.TimedOut, timeout
			}
			f.schedule(f.now+outcome.Latency, agent, outcome)
		}
	}
}

// serve adds a request to the queue of the endpoint's core that is free first, and returns its latency.
func (f *fleetSimulation) serve(id string) time.Duration {
	index := slices.IndexFunc(f.list, func(entry balancer.Endpoint) bool { return entry.ID == id })
	endpoint := f.endpoints[index]
	core := 0
	if endpoint.coreFreeAt[1] < endpoint.coreFreeAt[0] {
		core = 1
	}
	work := float64(f.meanWork) * f.rng.ExpFloat64()
	if endpoint.StartedAt > 0 {
		endpoint.arrivals = append(endpoint.arrivals, f.now)
		work /= warmUpFraction(f.settings, f.now-endpoint.StartedAt)
	}
	endpoint.coreFreeAt[core] = max(f.now, endpoint.coreFreeAt[core]) + time.Duration(work)
	return endpoint.coreFreeAt[core] - f.now
}

// warmUpFraction returns the minimum share of its capacity that an endpoint of the given age has.
func warmUpFraction(s balancer.Settings, age time.Duration) float64 {
	return min(1, s.SlowStartMinCapacity+(1-s.SlowStartMinCapacity)*float64(age)/float64(s.SlowStartDuration))
}

// overload returns the maximum ratio, over all overload windows since the restart of an endpoint, of the
// requests that it got to those that the settings allow. The allowed number, n, is increased by a margin for
// random variation.
func (f *fleetSimulation) overload(e *simulatedEndpoint) (maxOverload float64) {
	s := f.settings
	first := 0
	for i, at := range e.arrivals {
		for at-e.arrivals[first] > s.SlowStartOverloadWindow {
			first++
		}
		fraction := warmUpFraction(s, e.arrivals[first]-e.StartedAt)
		n := s.SlowStartOverloadMultiple * fraction * 2 * s.SlowStartOverloadWindow.Seconds() / f.meanWork.Seconds()
		maxOverload = max(maxOverload, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return maxOverload
}
