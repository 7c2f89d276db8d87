package main

import (
	"fmt"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/config"
	"ashshunt/internal/simwire"
)

// decisionModule converts events to actions. It is a *balancer.Balancer, except in tests.
type decisionModule interface {
	Step(now time.Duration, events []balancer.Event) []balancer.Action
}

// host runs one instance of the decision module for each simulated agent.
type host struct {
	instances map[int]decisionModule // by agent number
	out       *simwire.Writer
}

func newHost(out *simwire.Writer) *host {
	return &host{instances: map[int]decisionModule{}, out: out}
}

// notOpenError is the error for an event of an agent that has no instance.
type notOpenError struct{ agent int }

func (e *notOpenError) Error() string { return fmt.Sprintf("instance %d is not open", e.agent) }

// handleBatch steps each instance with its events of the batch and writes the reply with all their actions.
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

// handleEvent opens or retires an instance, or queues the event for its instance.
func (h *host) handleEvent(now time.Duration, event simwire.InstanceEvent, queue *eventQueue) error {
	switch {
	case event.Open != nil:
		// Events of the same batch for the replaced instance are handled in a separate step before it.
		if err := h.step(event.Agent, now, queue); err != nil {
			return err
		}
		return h.open(event)
	case h.instances[event.Agent] == nil:
		return &simwire.LineError{Line: event.Line, Err: &notOpenError{agent: event.Agent}}
	case event.Retire:
		queue.take(event.Agent) // discards the events that the retired instance has not handled
		delete(h.instances, event.Agent)
	default:
		queue.add(event.Agent, event.Event)
	}
	return nil
}

// open creates an instance. It replaces the agent's previous instance, if any.
func (h *host) open(event simwire.InstanceEvent) error {
	instance, err := balancer.New(event.Open.Settings, event.Open.Seed)
	if err != nil {
		return &simwire.LineError{Line: event.Line, Message: simwire.KindOpenInstance, Err: config.WithWireKey(err)}
	}
	h.instances[event.Agent] = instance
	return nil
}

// step steps an instance with its queued events and writes its actions. Without events it does nothing.
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

// stepWithRecover steps an instance and converts a panic of the decision module to an error.
func stepWithRecover(instance decisionModule, now time.Duration, events []balancer.Event) (actions []balancer.Action,
	err error) {
	defer func() {
		if value := recover(); value != nil {
			err = fmt.Errorf("panic: %v", value)
		}
	}()
	return instance.Step(now, events), nil
}

// eventQueue holds the events of a batch until the instances are stepped with them.
type eventQueue struct {
	agents []int // agents of the batch, in the order of their first event
	events map[int][]balancer.Event
}

func newEventQueue() *eventQueue {
	return &eventQueue{events: map[int][]balancer.Event{}}
}

// addAgent adds an agent of the batch, unless it has been added before.
func (q *eventQueue) addAgent(agent int) {
	if _, known := q.events[agent]; !known {
		q.agents = append(q.agents, agent)
		q.events[agent] = nil
	}
}

// add queues an event for an agent that addAgent has added.
func (q *eventQueue) add(agent int, event balancer.Event) {
	q.events[agent] = append(q.events[agent], event)
}

// take removes and returns the queued events of an agent that addAgent has added.
func (q *eventQueue) take(agent int) []balancer.Event {
	events := q.events[agent]
	q.events[agent] = nil
	return events
}
