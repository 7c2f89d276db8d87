package balancer

import "time"

// Action is something that the agent must do now, in the order given.
//
// Agents and the simulator's wire carry out every kind. Balancer itself returns Send, Cancel, Reject, Fail,
// SetTimer and Subscribe; the other kinds are part of the wire's form and are there for other policies behind
// the same interface.
type Action interface{ action() }

func (Send) action()          {}
func (Cancel) action()        {}
func (Reject) action()        {}
func (Fail) action()          {}
func (SetTimer) action()      {}
func (HealthCheck) action()   {}
func (Gossip) action()        {}
func (Subscribe) action()     {}
func (Unsubscribe) action()   {}
func (PollEndpoints) action() {}
func (CloseIdle) action()     {}
func (LogMessage) action()    {}

// Send starts the next attempt of a request.
type Send struct {
	Request, Endpoint string
	Timeout           time.Duration // of the attempt; 0: until the client stops waiting
	NotAfter          time.Duration // the attempt must not begin after this time; 0: no such bound
}

// Cancel withdraws an attempt. Its Outcome still comes.
type Cancel struct {
	Request string
	Attempt int
}

// Reject is a final answer: the request had no effect, and the client may retry it.
type Reject struct {
	Request    string
	RetryAfter time.Duration // advice to the client; 0: none
}

// Fail is a final answer that promises nothing about the request's effect.
type Fail struct{ Request string }

// SetTimer asks for a TimerFired with the same token. Timers are never revoked.
type SetTimer struct {
	After time.Duration
	Token int64
}

// Subscribe asks that changes of the endpoint list be delivered from now on.
type Subscribe struct{}

// HealthCheck examines an endpoint outside any request.
type HealthCheck struct{ Endpoint string }

// Gossip sends at most 256 bytes to all other agents, or to one. Delivery is late or does not happen.
type Gossip struct {
	Data []byte
	One  bool // only to the agent numbered To
	To   int
}

// Unsubscribe asks that changes of the endpoint list be delivered no longer.
type Unsubscribe struct{}

// PollEndpoints asks for the complete endpoint list once.
type PollEndpoints struct{}

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Endpoint string }

// LogMessage is a line for the operators' log.
type LogMessage struct{ Text string }
