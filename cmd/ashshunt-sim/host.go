package main

import (
	"fmt"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/config"
	"ashshunt/internal/simwire"
)

// decisionModule is an instance of the decision module: a *balancer.Balancer, except in tests.
type decisionModule interface {
	Step(now time.Duration, events []balancer.Event) []balancer.Action
}

// host owns the instances of the simulated agents.
type host struct {
	instances map[int]decisionModule // by the agent's number
	out       *simwire.Writer
}

func newHost(out *simwire.Writer) *host {
	return &host{instances: map[int]decisionModule{}, out: out}
}

// notOpenError reports an event for an agent that has no instance.
type notOpenError struct{ agent int }

func (e *notOpenError) Error() string { return fmt.Sprintf("instance %d is not open", e.agent) }

// handleBatch gives each instance its events of the batch and writes the actions of all of them.
func (h *host) handleBatch(batch *simwire.Batch) error {
	queue := newEventQueue()
	for _, event := range batch.Events {
		queue.addAgent(event.Agent)
		if err := h.handleEvent(batch.Now, event, queue); err != nil {
			return err
		}
	}
	for _, agent := range queue.agents {
		if err := h.step(agent, batch.Now, queue); err != nil {
			return err
		}
	}
	return h.out.FinishReply()
}

// handleEvent opens or retires an instance, or queues the event for it.
func (h *host) handleEvent(now time.Duration, event simwire.InstanceEvent, queue *eventQueue) error {
	switch {
	case event.Open != nil:
		// Events of the same batch for the instance that this one replaces are a step of their own.
		if err := h.step(event.Agent, now, queue); err != nil {
			return err
		}
		return h.open(event)
	case h.instances[event.Agent] == nil:
		return &simwire.LineError{Line: event.Line, Err: &notOpenError{agent: event.Agent}}
	case event.Retire:
		queue.take(event.Agent) // the instance was killed before it could act on these
		delete(h.instances, event.Agent)
	default:
		queue.add(event.Agent, event.Event)
	}
	return nil
}

// open starts an instance in place of the one that the agent may have had.
func (h *host) open(event simwire.InstanceEvent) error {
	instance, err := balancer.New(event.Open.Settings, event.Open.Seed)
	if err != nil {
		return &simwire.LineError{Line: event.Line, Message: simwire.KindOpenInstance, Err: config.WithWireKey(err)}
	}
	h.instances[event.Agent] = instance
	return nil
}

// step gives an instance the events that are queued for it, if any, and writes its actions.
func (h *host) step(agent int, now time.Duration, queue *eventQueue) error {
	events := queue.take(agent)
	if len(events) == 0 {
		return nil
	}
	actions, err := stepWithRecover(h.instances[agent], now, events)
	if err != nil {
		return h.out.WriteBroken(agent, err.Error())
	}
	return h.out.WriteActions(agent, actions)
}

// stepWithRecover steps an instance. A panic of the decision module becomes an error.
func stepWithRecover(instance decisionModule, now time.Duration, events []balancer.Event) (actions []balancer.Action,
	err error) {
	defer func() {
		if value := recover(); value != nil {
			err = fmt.Errorf("panic: %v", value)
		}
	}()
	return instance.Step(now, events), nil
}

// eventQueue holds the events of one batch until the instances take them.
type eventQueue struct {
	agents []int // those named in the batch, in the order of their first event
	events map[int][]balancer.Event
}

func newEventQueue() *eventQueue {
	return &eventQueue{events: map[int][]balancer.Event{}}
}

// addAgent notes that the batch names an agent.
func (q *eventQueue) addAgent(agent int) {
	if _, known := q.events[agent]; !known {
		q.agents = append(q.agents, agent)
		q.events[agent] = nil
	}
}

// add queues an event for a registered agent.
func (q *eventQueue) add(agent int, event balancer.Event) {
	q.events[agent] = append(q.events[agent], event)
}

// take removes and returns the events that are queued for a registered agent.
func (q *eventQueue) take(agent int) []balancer.Event {
	events := q.events[agent]
	q.events[agent] = nil
	return events
}
