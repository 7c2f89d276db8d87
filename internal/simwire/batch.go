// Package simwire translates between the simulator's JSON lines and the balancer's events and actions. The simulator
// sends batches of events. The reply to each batch contains the actions of the instances that had an event in it. An
// instance is the balancer of one simulated agent.
//
// This package maps the names on the wire to the terms of the code; messages.go contains the names of messages and
// their fields. The names of the settings object are mapped by internal/config.
package simwire

import (
	"time"

	"ashshunt/balancer"
)

// OpenInstance holds the initial parameters of an instance. It replaces any earlier instance with the same number,
// whose state is discarded.
type OpenInstance struct {
	Seed     uint64
	Settings balancer.Settings
}

// InstanceEvent is one event of a batch for one instance. Exactly one of Open, Retire and Event is set.
type InstanceEvent struct {
	Line   int            // line number in the stream, from 1
	Agent  int            // number of the instance
	Open   *OpenInstance  // starts the instance
	Retire bool           // kills the instance
	Event  balancer.Event // event for the instance's balancer
}

// Batch holds the events of one instant.
type Batch struct {
	Now    time.Duration // time on the simulator's clock
	Events []InstanceEvent
}
