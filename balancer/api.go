package balancer

import "time"

// Idempotency says what repeating a request does.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected at will
	IdempotentWithKey                    // endpoints of one scope drop a repeat within a window
	NotIdempotent                        // may be repeated only when no attempt can have run
)

// DedupScope says which endpoints drop repeats of a request that is IdempotentWithKey.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupEverywhere DedupScope = iota // every endpoint
	DedupInZone                       // the endpoints of one zone
	DedupInCell                       // the endpoints of one cell
)

// Class describes one class of requests.
type Class struct {
	Objective    time.Duration // a response within this time earns the full priority weight
	Deadline     time.Duration // the time a client waits, over all its tries
	Priority     float64       // weight of a request (or of a unit of work, see Settings.PriorityByWork)
	LatePriority float64       // share of that weight earned between objective and deadline
	Idempotency  Idempotency
	DedupScope   DedupScope    // for IdempotentWithKey
	DedupWindow  time.Duration // for IdempotentWithKey: how long a repeat is dropped after the first send
	// Ordered: requests with the same key run one at a time, in the order of their arrival. All such
	// classes share one key space.
	Ordered          bool
	ObjectiveStretch float64 // the objective grows by this multiple of the request's own work; 0: it does not
	Streamed         bool    // the response is streamed: StreamStarted comes
}

// Tenant is one of those who share the service.
type Tenant struct {
	Share float64 // the fraction of the service allotted to it
	Quota float64 // requests a second, over all agents, that are within its share
}

// Weights says what Endpoint.Weight means.
type Weights uint8

// The meanings of weights.
const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // the registered size
	WeightsRough                  // about the size
	WeightsLive                   // size over 1 + requests in flight per core, some time ago
)

// LoadReportSource says what load reports come with.
type LoadReportSource uint8

// The sources of load reports.
const (
	LoadReportsNone             LoadReportSource = iota
	LoadReportsWithResponses                     // with outcomes and health check results
	LoadReportsWithHealthChecks                  // with health check results alone
)

// LoadReportFields is the set of values that load reports hold.
type LoadReportFields uint8

// The values that load reports may hold.
const (
	FieldInFlight LoadReportFields = 1 << iota
	FieldQueue
	FieldUtilization
	FieldService
	FieldThroughput
	FieldErrors
)

// Settings are fixed for the life of a Balancer. The zero value of a field that
// may be absent means what its comment says; the zero value of a price, a goal or
// a span switches off what rests on it. The interface
// carries all that agents are configured with, whether or not the present module acts on it.
type Settings struct {
	Agents           int // agents that share these endpoints, this one included; at least 1
	AgentIndex       int // this agent's number, from 0
	Zone             int // this agent's zone
	Zones            int // number of zones; 0: unknown
	Kinds            int // number of machine kinds; 0: unknown
	Tier             int // the tier of endpoints that this agent sends to, from 0 ...
	Tiers            int // ... of so many; 0: unknown
	Classes          []Class
	Tenants          []Tenant      // none: requests belong to no tenant
	PriorityByWork   bool          // priorities count per unit of work, not per request
	Subscribe        bool          // the list must be subscribed to; else it comes unasked
	Tick             time.Duration // shortest gap between two steps; 0: none
	CacheAffinity    bool          // an endpoint that lately served a key serves it again with less work
	Weights          Weights
	LoadReports      LoadReportSource
	LoadReportFields LoadReportFields // what the reports hold
	// MarksRetry: clients mark their retries (Request.ClientRetry). PassesDeadline: an endpoint that
	// calls a further tier passes on the time that its own request has left.
	MarksRetry, PassesDeadline bool

	MaxAttempts       int           // attempts one request may get; 0: 1
	AllowHedging      bool          // two attempts of one request may be in flight together
	AllowHealthChecks bool          // HealthCheck actions are allowed
	AllowCancel       bool          // Cancel actions are allowed
	AllowGossip       bool          // Gossip actions are allowed
	SendRetryAfter    bool          // clients are shown Reject.RetryAfter
	MaxRetryAfter     time.Duration // the longest wait that a client heeds
	ConnectTimeout    time.Duration // a connection not made in this time fails
	IdleClose         time.Duration // a connection unused for this long closes; 0: never
	StreamsPerConn    int           // attempts that one connection carries at once; 0: unknown
	MaxOpen           int           // requests that an agent may hold open; 0: no limit
	CPUPerSecond      time.Duration // CPU that an agent has in each second; 0: no limit
	CPUPerRequest     time.Duration // mean CPU for a request with its outcomes; 0: no limit

	DrainGrace        time.Duration // how long sends to a draining endpoint are still tolerated
	ResponseGrace     time.Duration // how long after its deadline a final answer still counts
	PollWithin        time.Duration // Subscribe: poll at least this often while not subscribed
	PollSpread        time.Duration // Subscribe: poll so soon after a start or failure; 0: PollWithin
	RefusedPollSpread time.Duration // Subscribe: and so soon after a refusal; 0: PollWithin
	ColdCapacity      float64       // an endpoint starts at this share of its capacity or more; 0: 1
	SlowStart         time.Duration // and is warm no later than this after its start
	// one that warms up and is sent more than this multiple of its capacity ...
	ColdOverloadMultiple float64
	ColdOverloadWindow   time.Duration // ... over this span is overloaded and fails
	RejectedMayHaveRun   bool          // an attempt that ended as Rejected may have run
	KeyQuietPeriod       time.Duration // Ordered: a key is quiet so long after a time-out, reset or cancel

	// What the operator weighs: all, the worst window, the worst class, the worst tenant within its share.
	WeightOverall, WeightWorstWindow, WeightWorstClass, WeightWorstTenant float64
	// Weight of a request beyond its tenant's share, against one within.
	OverQuotaPriority float64

	// What things cost, as a share of the result.
	CrossZonePrice   float64 // each request crossing zones once
	WastePrice       float64 // work of endpoints that served no response, as much as was requested
	LateFailPrice    float64 // all priority left unserved only after its objective
	HealthCheckPrice float64 // a health check for each request
	GossipPrice      float64 // a full message (256 bytes) for each request, for each receiver
	HandshakePrice   float64 // a new connection for each request
	ConnectionPrice  float64 // 100 open connections for each endpoint
	PollPrice        float64 // 100 list lines for each request
	MigrationPrice   float64 // a migration for each request
	OriginPrice      float64 // a fetch from the origin for each request
	FleetPrice       float64 // as many endpoints running as at the start
}

// EndpointState is what the list says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Serving  EndpointState = iota
	Draining               // finishing its work
	Removed                // removed
)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID      string
	State   EndpointState
	Zone    int
	Cell    int
	Kind    int
	Weight  float64
	Started time.Duration // when its process last started; 0: long ago
}

// Event is something that happened at the time of a Step.
type Event interface{ event() }

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

type (
	// EndpointList carries the endpoints or the failure to get them.
	EndpointList struct {
		Kind      ListKind
		Endpoints []Endpoint
	}
	// Request is a client's request. The balancer owes it one final answer.
	Request struct {
		ID          string
		Class       int
		Timeout     time.Duration // until this client stops waiting
		Work        time.Duration // expected work; 0: unknown
		ClientRetry bool          // the client says that this is a retry
		Key         string        // what the request is about; "": unknown
		Tenant      int           // whose it is, by Settings.Tenants
		Write       bool          // it writes
	}
	// Outcome ends one attempt. The agent passes on exactly one for each Send.
	Outcome struct {
		Request    string
		Attempt    int // attempts of a request count from 0 in the order of their Send
		Endpoint   string
		Result     Result
		Latency    time.Duration // since it was sent
		Done       bool          // the request has its final answer, by this outcome or before
		LoadReport LoadReport
	}
	// StreamStarted says that the response of an attempt has begun to reach the client.
	StreamStarted struct {
		Request string
		Attempt int
	}
	// Abandoned says that the client left; nothing is owed any longer.
	Abandoned struct{ Request string }
	// HealthCheckResult answers a HealthCheck.
	HealthCheckResult struct {
		Endpoint   string
		Result     Result
		Latency    time.Duration
		LoadReport LoadReport
	}
	// TimerFired says that a SetTimer has come due.
	TimerFired struct{ Token int64 }
	// GossipMessage carries bytes from another agent.
	GossipMessage struct {
		From int
		Data []byte
	}
)

// LoadReport is what an endpoint reported of itself, late and with noise.
type LoadReport struct {
	Valid        bool
	InFlight     float64       // requests in flight; negative: not reported
	Queue        float64       // requests waiting; negative: not reported
	Utilization  float64       // share of CPU in use; negative: not reported
	Throughput   float64       // requests served a second; negative: not reported
	Service      time.Duration // recent service time without waiting; negative: not reported
	ErrorsPerSec float64       // negative: not reported
}

// Result says how an attempt or a health check ended.
type Result uint8

// The results of an attempt.
const (
	Served        Result = iota // the client got the response
	ServerError                 // the endpoint returned an error; may have run
	Rejected                    // rejected before it ran, if Settings.RejectedMayHaveRun is off
	TimedOut                    // no response in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // withdrawn; may have run
	NotSent                     // never sent
	LocalFailure                // no connection, by a cause that may be this machine's own; never ran
)

// NeverRan reports whether the result proves that the attempt had no effect, where Rejected is
// proof; see Settings.RejectedMayHaveRun.
func (r Result) NeverRan() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == LocalFailure
}

// Action is something the agent must do now, in the order given. Agents carry
// out every kind, whether or not the present module sends it.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Timeout 0 means until the client stops waiting.
	Send struct {
		Request, Endpoint string
		Timeout           time.Duration
		NotAfter          time.Duration // the attempt must not begin after this time; 0: no such bound
	}
	// Cancel withdraws an attempt; its Outcome still comes.
	Cancel struct {
		Request string
		Attempt int
	}
	// Reject is a final answer: not done, a retry does no harm.
	Reject struct {
		Request    string
		RetryAfter time.Duration // 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Request string }
	// SetTimer asks for a TimerFired after a while. Timers are never revoked.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// HealthCheck examines an endpoint outside any request.
	HealthCheck struct{ Endpoint string }
	// Gossip sends at most 256 bytes to all other agents, or to one. They may come late or not at all.
	Gossip struct {
		Data []byte
		One  bool // only to the agent numbered To
		To   int
	}
	// Subscribe asks that list changes be delivered from now on.
	Subscribe struct{}
	// Unsubscribe asks that list changes be delivered no longer.
	Unsubscribe struct{}
	// PollEndpoints asks for the whole list once.
	PollEndpoints struct{}
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle struct{ Endpoint string }
	// LogMessage is a line for the operators' log.
	LogMessage struct{ Text string }
)

func (EndpointList) event()      {}
func (Request) event()           {}
func (Outcome) event()           {}
func (StreamStarted) event()     {}
func (Abandoned) event()         {}
func (HealthCheckResult) event() {}
func (TimerFired) event()        {}
func (GossipMessage) event()     {}

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
