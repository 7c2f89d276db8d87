// Package simwire translates between the simulator's JSON lines and the balancer's events and actions. The simulator
// sends batches of events; the reply to each batch lists the actions of the instances that had an event in it. An
// instance is the balancer of one simulated agent.
//
// The names on the wire are mapped to the terms of the code here alone: messages.go lists those of messages and their
// fields, and internal/config has those of the settings object.
package simwire

import (
	"time"

	"ashshunt/balancer"
)

// OpenInstance has what an instance starts with. Nothing of an earlier instance with its number is kept.
type OpenInstance struct {
	Seed     uint64
	Settings balancer.Settings
}

// InstanceEvent is one event of a batch, with the instance that it belongs to. Exactly one of Open, Retire and Event is
// set.
type InstanceEvent struct {
	Line   int            // line number in the stream, from 1
	Agent  int            // number of the instance
	Open   *OpenInstance  // the instance starts
	Retire bool           // the instance is killed
	Event  balancer.Event // for the instance's balancer
}

// Batch holds what happened at one instant.
type Batch struct {
	Now    time.Duration // on the simulator's clock
	Events []InstanceEvent
}
