// Package simwire translates between the simulator's JSON lines and the
// balancer's events and actions. The simulator sends batches of events; the
// reply to each batch lists the actions of the instances that had an event in it.
// The package decides nothing.
package simwire

import (
	"time"

	"ashshunt/balancer"
)

// Open starts an instance, which knows nothing of an earlier one with its number.
type Open struct {
	Seed     uint64
	Settings balancer.Settings
}

// Event is one event of a batch, with the instance it belongs to. Exactly one
// of Open, Retire and Event is set.
type Event struct {
	Line   int            // line number in the stream, from 1
	Agent  int            // number of the instance
	Open   *Open          // the instance starts
	Retire bool           // the instance is killed
	Event  balancer.Event // what the instance's balancer is to hear
}

// Batch holds what happened at one instant.
type Batch struct {
	Now    time.Duration // on the simulator's clock
	Events []Event
}
