package balancer

import "time"

// Action is an instruction to the agent. The agent carries out actions at once, in the order in which Step
// returns them.
//
// Balancer returns Send, Cancel, Reject, Fail, SetTimer and Subscribe. The other actions are part of the wire
// protocol, for other policies with the same interface. Agents and the simulator's wire support all of them.
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
	Request, Endpoint string        // IDs
	Timeout           time.Duration // timeout of the attempt; 0: until the client stops waiting
	NotAfter          time.Duration // latest time at which the attempt may start; 0: no bound
	Reuse             ReuseTerms    // terms on which the attempt may reuse a connection
	// SameProcess means that the attempt is safe only at the process that the endpoint list names. It is Withheld if
	// another one may have come up at the address: a connection to the endpoint was lost within MaxNoticeDelay.
	SameProcess bool
}

// Cancel cancels an attempt. The agent still passes its Outcome.
type Cancel struct {
	Request string // ID of the request
	Attempt int    // number of the attempt, as in Outcome
}

// Reject is the final answer to a request that had no effect. The client may retry it.
type Reject struct {
	Request    string        // ID of the request
	RetryAfter time.Duration // time after which the client should retry; 0: not stated
}

// Fail is the final answer to a request that failed and may have had an effect.
type Fail struct{ Request string }

// SetTimer requests a TimerFired with the same token after a wait. Timers are never cancelled.
type SetTimer struct {
	After time.Duration // wait from now
	Token int64         // identifies the timer
}

// Subscribe requests the delivery of all further changes of the endpoint list.
type Subscribe struct{}

// HealthCheck requests a health check of an endpoint, independent of any request.
type HealthCheck struct {
	Endpoint string
	Reuse    ReuseTerms // as in Send
}

// Gossip sends up to 256 bytes to all other agents, or to one. Messages may be delayed or lost.
type Gossip struct {
	Data []byte
	One  bool // send only to the agent with the number To
	To   int  // number of the receiving agent, if One is set
}

// Unsubscribe stops the delivery of changes of the endpoint list.
type Unsubscribe struct{}

// PollEndpoints requests the complete endpoint list once.
type PollEndpoints struct{}

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Endpoint string }

// LogMessage writes a line to the operators' log.
type LogMessage struct{ Text string }
