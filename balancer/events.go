package balancer

import "time"

// Event is something that happened at the time of a Step.
type Event interface{ event() }

func (EndpointList) event()      {}
func (Request) event()           {}
func (Outcome) event()           {}
func (StreamStarted) event()     {}
func (Abandoned) event()         {}
func (HealthCheckResult) event() {}
func (TimerFired) event()        {}
func (GossipMessage) event()     {}

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Serving  EndpointState = iota // takes new requests
	Draining                      // finishes its requests and takes no new ones
	Removed                       // is gone
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        string
	State     EndpointState
	Zone      int           // number of its zone
	Cell      int           // number of its cell
	Kind      int           // number of its machine kind
	Weight    float64       // size, as Settings.Weights says; 0 or less: as an endpoint of weight 1
	StartedAt time.Duration // start of its process, on the agent's clock; 0: before anything that matters
}

// ListKind says how an EndpointList is to be read.
type ListKind uint8

// The kinds of lists.
const (
	ListDelta    ListKind = iota // changed entries only
	ListComplete                 // all entries; an endpoint that is missing is gone
	ListCached                   // all entries as last stored; may be stale
	ListFailed                   // the poll failed or the subscription broke; the old list holds
	ListRefused                  // the poll was refused; the old list holds
)

// isFailure reports whether a list of this kind carries no endpoints: the one before holds.
func (k ListKind) isFailure() bool { return k == ListFailed || k == ListRefused }

// EndpointList carries endpoints, or the failure to get them.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// Request is a client's request. The balancer owes it exactly one final answer.
type Request struct {
	ID          string
	Class       int           // position in Settings.Classes
	Timeout     time.Duration // until this client stops waiting
	Work        time.Duration // expected service time; 0: unknown
	ClientRetry bool          // the client says that this is a retry
	Key         string        // what the request is about, for order and cache affinity; "": unknown
	Tenant      int           // position in Settings.Tenants; Balancer does not use it
	Write       bool          // the request changes data; Balancer does not use it
}

// Outcome ends one attempt. The agent passes on exactly one for each Send.
type Outcome struct {
	Request    string
	Attempt    int    // attempts of a request count from 0 in the order of their Send
	Endpoint   string // Balancer knows it by the attempt
	Result     Result
	Latency    time.Duration // since the attempt was sent
	Done       bool          // the request has its final answer, by this outcome or before
	LoadReport LoadReport    // Balancer does not use it
}

// Result says how an attempt or a health check ended.
type Result uint8

// The results of an attempt.
const (
	Served        Result = iota // the client got the response
	ServerError                 // the endpoint returned an error; may have run
	Rejected                    // the endpoint shed it; never ran, unless Settings.RejectedMayHaveRun
	TimedOut                    // no response in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // withdrawn; may have run
	NotSent                     // never sent
	LocalFailure                // no connection, by a cause that may be this machine's own; never ran
)

// NeverRan reports whether the result proves that the attempt had no effect, if Settings.RejectedMayHaveRun is off.
// See Settings.MayHaveRun.
func (r Result) NeverRan() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == LocalFailure
}

// MayStillRun reports whether the attempt may be running on after its result.
func (r Result) MayStillRun() bool { return r == TimedOut || r == Reset || r == Cancelled }

// LoadReport is what an endpoint reported of itself, late and with noise. Negative values were not reported.
type LoadReport struct {
	Valid        bool          // the endpoint sent a report
	InFlight     float64       // requests in flight
	Queue        float64       // requests waiting
	Utilization  float64       // share of the CPU in use
	Throughput   float64       // requests served per second
	Service      time.Duration // recent service time without waiting
	ErrorsPerSec float64
}

// StreamStarted says that the response of an attempt has begun to reach the client.
type StreamStarted struct {
	Request string
	Attempt int
}

// Abandoned says that the client disconnected; no answer is owed any longer.
type Abandoned struct{ Request string }

// HealthCheckResult answers a HealthCheck.
type HealthCheckResult struct {
	Endpoint   string
	Result     Result
	Latency    time.Duration
	LoadReport LoadReport
}

// TimerFired says that a SetTimer has come due.
type TimerFired struct{ Token int64 }

// GossipMessage carries bytes from another agent.
type GossipMessage struct {
	From int // number of the sending agent
	Data []byte
}
