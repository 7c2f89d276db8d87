package balancer

import "time"

// Event is something that occurred up to the time of a Step.
type Event interface{ event() }

func (EndpointList) event()      {}
func (Request) event()           {}
func (Outcome) event()           {}
func (StreamStarted) event()     {}
func (Abandoned) event()         {}
func (HealthCheckResult) event() {}
func (TimerFired) event()        {}
func (GossipMessage) event()     {}
func (UnrequestedBytes) event()  {}
func (ConnectionLost) event()    {}

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	Serving  EndpointState = iota // accepts new requests
	Draining                      // finishes its requests and accepts no new ones
	Removed                       // no longer exists
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        string // unique name
	State     EndpointState
	Zone      int           // number of its zone
	Cell      int           // number of its cell
	Kind      int           // number of its machine kind
	Weight    float64       // relative size; see Settings.Weights; 0 or less: 1
	StartedAt time.Duration // start of its process, on the agent's clock; 0: long ago
}

// ListKind is the kind of an EndpointList.
type ListKind uint8

// The kinds of lists.
const (
	ListDelta    ListKind = iota // changed entries only
	ListComplete                 // all entries; endpoints that are not listed no longer exist
	ListCached                   // all entries from the cache; may be out of date
	ListFailed                   // the poll failed or the subscription broke; the previous list remains valid
	ListRefused                  // the poll was refused; the previous list remains valid
)

// isFailure reports whether a list of this kind has no entries, so that the previous list remains valid.
func (k ListKind) isFailure() bool { return k == ListFailed || k == ListRefused }

// EndpointList contains entries of the endpoint list, or reports a failure to get them.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// Request is a client's request. It must get exactly one final answer.
type Request struct {
	ID          string        // unique among open requests
	Class       int           // position in Settings.Classes
	Timeout     time.Duration // time until the client stops waiting, without Delay
	Delay       time.Duration // part of Timeout that has passed because the agent was delayed
	Work        time.Duration // expected service time; 0: unknown
	ClientRetry bool          // the client marked the request as a retry
	Key         string        // key for ordering and cache affinity; "": unknown
	Tenant      int           // position in Settings.Tenants; not used by Balancer
	Write       bool          // the request changes data; not used by Balancer
}

// Outcome reports the end of one attempt. The agent passes exactly one Outcome for each Send.
type Outcome struct {
	Request    string        // ID of the request
	Attempt    int           // number of the attempt: the Sends of a request count from 0
	Endpoint   string        // ID of the endpoint; not used by Balancer
	Result     Result        // how the attempt ended
	Latency    time.Duration // time since the attempt was sent
	Done       bool          // the request has its final answer, by this attempt or before
	LoadReport LoadReport    // not used by Balancer
	// TooEarly means that bytes came within the late window of the connection and were dropped (ReuseTerms).
	TooEarly bool
}

// Result is the result of an attempt or a health check.
type Result uint8

// The results of an attempt.
const (
	Served        Result = iota // the client received the response
	ServerError                 // the endpoint returned an error; may have run
	Rejected                    // the endpoint shed it; never ran, unless Settings.RejectedMayHaveRun is set
	TimedOut                    // no response in time; may have run or may still run
	ConnectFailed               // the connection could not be established; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // the attempt was cancelled; may have run
	NotSent                     // the attempt was never sent; never ran
	LocalFailure                // no connection, possibly because of a fault of this machine; never ran
	Withheld                    // the endpoint's process may have been replaced (Send.SameProcess); never ran
)

// resultNames are the names of the results, as they appear in logs.
var resultNames = [...]string{
	Served:        "served",
	ServerError:   "server error",
	Rejected:      "rejected",
	TimedOut:      "timed out",
	ConnectFailed: "connect failed",
	Reset:         "reset",
	Cancelled:     "cancelled",
	NotSent:       "not sent",
	LocalFailure:  "local failure",
	Withheld:      "withheld",
}

// String implements fmt.Stringer.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown result"
}

// NeverRan reports whether an attempt with this result had no effect. It assumes that
// Settings.RejectedMayHaveRun is false; see [Settings.MayHaveRun].
func (r Result) NeverRan() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, LocalFailure, Withheld:
		return true
	case Served, ServerError, TimedOut, Reset, Cancelled:
	}
	return false
}

// MayStillRun reports whether the attempt may still be running after this result.
func (r Result) MayStillRun() bool { return r == TimedOut || r == Reset || r == Cancelled }

// LoadReport is the load that an endpoint reports. It is delayed and noisy. A negative value means that the
// value was not reported.
type LoadReport struct {
	Valid        bool          // the endpoint sent a report; false: the other fields have no meaning
	InFlight     float64       // number of requests in flight
	Queue        float64       // number of queued requests
	Utilization  float64       // share of the CPU in use
	Throughput   float64       // requests served per second
	Service      time.Duration // recent service time without queueing
	ErrorsPerSec float64       // errors returned per second
}

// StreamStarted reports that the first part of a streamed response has reached the client.
type StreamStarted struct {
	Request string // ID of the request
	Attempt int    // number of the attempt, as in Outcome
}

// Abandoned reports that a request needs no answer: its client has disconnected, or the agent itself has
// answered it, at its deadline or during a shutdown.
type Abandoned struct{ Request string }

// HealthCheckResult is the result of a HealthCheck.
type HealthCheckResult struct {
	Endpoint   string
	Result     Result
	Latency    time.Duration
	LoadReport LoadReport
}

// TimerFired reports that the timer of the SetTimer with the same token has fired.
type TimerFired struct{ Token int64 }

// UnrequestedBytes reports that an endpoint has sent bytes that belong to no request. The connection is closed.
type UnrequestedBytes struct {
	Endpoint string
	After    time.Duration // time from the last response on the connection to the bytes, at least half of it
}

// ConnectionLost reports that an endpoint has closed or reset a connection without a request in flight. Its process may
// have ended.
type ConnectionLost struct{ Endpoint string }

// GossipMessage is a message from another agent.
type GossipMessage struct {
	From int // number of the sending agent
	Data []byte
}
