// Package balancer decides, for one sidecar balancer, where each
// service-to-service request goes, when it is tried again, and when it is
// refused. It performs no I/O: the embedding agent owns the clock, the timers
// and the connections, passes on what happened as events, and carries out the
// actions it gets back, in order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's
// own monotonic clock, whose zero is of no matter; they must not run backwards.
// Its memory is bounded by the requests and attempts that are open, the timers
// that are pending and the backends that are listed or still have attempts out.
package balancer

import "time"

// Effect says what repeating a request does.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may be repeated and refused at will
	IdempotentWithKey                    // backends of one group drop a repeat within a window
	NotIdempotent                        // may be repeated only when no attempt can have run
)

// Group says which backends drop repeats of a keyed request.
type DedupScope uint8

const (
	DedupEverywhere DedupScope = iota // every backend
	DedupInZone                       // the backends of one zone
	DedupInCell                       // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Objective    time.Duration // an answer within this time earns the full worth
	Deadline     time.Duration // the time a client waits, over all its tries
	Priority     float64       // worth of a request (or of a unit of work, see Settings.ByWork)
	LatePriority float64       // share of the worth earned between aim and deadline
	Idempotency  Idempotency
	DedupScope   DedupScope    // for Keyed
	DedupWindow  time.Duration // for Keyed: how long a repeat is dropped after the first send
	// KeepOrder: requests with the same key run one at a time, in the order taken. All such
	// classes share one key space.
	Ordered          bool
	ObjectiveStretch float64 // the aim grows by this multiple of the request's own work; 0: it does not
	Streamed         bool    // the answer is streamed: StreamStarted comes
}

// Tenant is one of those who share the service.
type Tenant struct {
	Share float64 // the fraction of the service allotted to it
	Quota float64 // requests a second, over all agents, that are within its share
}

// Weights says what Backend.Weight means.
type Weights uint8

const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // the registered size
	WeightsRough                  // about the size
	WeightsLive                   // size over 1 + requests held per core, some time ago
)

// Reports says where load reports come with.
type LoadReportSource uint8

const (
	LoadReportsNone             LoadReportSource = iota
	LoadReportsWithResponses                     // with outcomes and probe results
	LoadReportsWithHealthChecks                  // with probe results alone
)

// Fields is the set of values that load reports hold.
type LoadReportFields uint8

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
// carries all that agents are told, whether or not the present module acts on it.
type Settings struct {
	Agents           int // agents that share these backends, this one included; at least 1
	AgentIndex       int // this agent's number, from 0
	Zone             int // this agent's zone
	Zones            int // number of zones; 0: not told
	Kinds            int // number of machine kinds; 0: not told
	Tier             int // the tier of backends that this agent sends to, from 0 ...
	Tiers            int // ... of so many; 0: not told
	Classes          []Class
	Tenants          []Tenant      // none: requests belong to no tenant
	PriorityByWork   bool          // worth counts per unit of work, not per request
	Subscribe        bool          // the list must be asked for; else it is told unasked
	Tick             time.Duration // shortest gap between two steps; 0: none
	CacheAffinity    bool          // a backend that lately served a key serves it again with less work
	Weights          Weights
	LoadReports      LoadReportSource
	LoadReportFields LoadReportFields // what the reports hold
	// MarksRetry: clients mark their repeats (Request.Repeat). PassesDeadline: a backend that calls
	// a further tier passes on the time its own request has left.
	MarksRetry, PassesDeadline bool

	MaxAttempts       int           // attempts one request may get; 0: 1
	AllowHedging      bool          // two attempts of one request may be out together
	AllowHealthChecks bool          // Probe actions are allowed
	AllowCancel       bool          // Cancel actions are allowed
	AllowGossip       bool          // TellPeers actions are allowed
	SendRetryAfter    bool          // clients are shown Refuse.RetryAfter
	MaxRetryAfter     time.Duration // the longest wait that a client heeds
	ConnectTimeout    time.Duration // a connection not made in this time fails
	IdleClose         time.Duration // a connection unused for this long closes; 0: never
	StreamsPerConn    int           // attempts that one connection carries at once; 0: not told
	MaxOpen           int           // requests that an agent may hold open; 0: no limit
	CPUPerSecond      time.Duration // CPU that an agent has in each second; 0: no limit
	CPUPerRequest     time.Duration // mean CPU for a request with its outcomes; 0: no limit

	DrainGrace           time.Duration // how long sends to a draining backend are still tolerated
	ResponseGrace        time.Duration // how long after its deadline a final answer still counts
	PollWithin           time.Duration // Subscribe: ask at least this often while not subscribed
	PollSpread           time.Duration // Subscribe: ask no later than this after a start or failure; 0: AskWithin
	RefusedPollSpread    time.Duration // Subscribe: and than this after a refusal; 0: AskWithin
	ColdCapacity         float64       // a backend starts at this share of its capacity or more; 0: 1
	SlowStart            time.Duration // and is warm no later than this after its start
	ColdOverloadMultiple float64       // a cold backend sent more than this multiple of its capacity ...
	ColdOverloadWindow   time.Duration // ... over this span falls over
	RejectedMayHaveRun   bool          // an attempt that ended as Full may have run
	KeyQuietPeriod       time.Duration // KeepOrder: a key rests so long after a time-out, reset or cancel

	// What the operator weighs: all, the worst span, the worst class, the worst tenant in its share.
	WeightOverall, WeightWorstWindow, WeightWorstClass, WeightWorstTenant float64
	OverQuotaPriority                                                     float64 // worth of a request beyond its tenant's share, against one within

	// What things cost, as a share of the result.
	CrossZonePrice   float64 // each request crossing zones once
	WastePrice       float64 // backend work that served no answer, as much as was asked for
	LateFailPrice    float64 // all worth left unserved only after its aim
	HealthCheckPrice float64 // a probe a request
	GossipPrice      float64 // a full message (256 bytes) a request, for each receiver
	HandshakePrice   float64 // a new connection a request
	ConnectionPrice  float64 // 100 open connections for each backend
	PollPrice        float64 // 100 list lines a request
	MigrationPrice   float64 // a move a request
	OriginPrice      float64 // a fetch from the origin a request
	FleetPrice       float64 // as many backends running as at the start
}

// BackendState is what the list says of a backend.
type EndpointState uint8

const (
	Serving  EndpointState = iota
	Draining               // finishing its work
	Removed                // removed
)

// Backend is one entry of the list.
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

// ListKind says how a List is to be read.
type ListKind uint8

const (
	ListDelta    ListKind = iota // changed entries only
	ListComplete                 // all entries; a backend that is missing is gone
	ListCached                   // all entries as last stored; may be stale
	ListFailed                   // asking failed or the subscription broke; the old list holds
	ListRefused                  // asking was answered with a refusal; the old list holds
)

type (
	// List carries the backends or the failure to get them.
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
		ClientRetry bool          // the client says that it tries again
		Key         string        // what the request is about; "": nothing told
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
	// StreamStarted says that the answer of an attempt has begun to reach the client.
	StreamStarted struct {
		Request string
		Attempt int
	}
	// Abandoned says that the client left; nothing is owed any longer.
	Abandoned struct{ Request string }
	// ProbeResult answers a Probe.
	HealthCheckResult struct {
		Endpoint   string
		Result     Result
		Latency    time.Duration
		LoadReport LoadReport
	}
	// TimerFired says that a SetTimer has come due.
	TimerFired struct{ Token int64 }
	// PeerMessage carries bytes from another agent.
	GossipMessage struct {
		From int
		Data []byte
	}
)

// Load is what a backend reported of itself, late and with noise.
type LoadReport struct {
	Valid        bool
	InFlight     float64       // requests held; negative: not reported
	Queue        float64       // requests waiting; negative: not reported
	Utilization  float64       // share of CPU in use; negative: not reported
	Throughput   float64       // requests served a second; negative: not reported
	Service      time.Duration // recent service time without waiting; negative: not reported
	ErrorsPerSec float64       // negative: not reported
}

// Result says how an attempt or a probe ended.
type Result uint8

const (
	Served        Result = iota // served
	ServerError                 // the backend returned an error; may have run
	Rejected                    // turned away unseen; never ran
	TimedOut                    // no answer in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // withdrawn; may have run
	NotSent                     // never sent
)

// NeverRan reports whether the result proves that the attempt had no effect, where Full is
// proof; see Settings.FullNoProof.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Action is something the agent must do now, in the order given. Agents carry
// out every kind, whether or not the present module sends it.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Timeout 0 means until the client stops waiting.
	Send struct {
		Request, Endpoint string
		Timeout           time.Duration
	}
	// Cancel withdraws an attempt; its Outcome still comes.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer: not done, a new try does no harm.
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
	// Probe examines a backend outside any request.
	HealthCheck struct{ Endpoint string }
	// TellPeers sends at most 256 bytes to all other agents, or to one. They may come late or not at all.
	Gossip struct {
		Data []byte
		One  bool // only to the agent numbered To
		To   int
	}
	// Subscribe asks that list changes be delivered from now on.
	Subscribe struct{}
	// Unsubscribe asks that list changes be delivered no longer.
	Unsubscribe struct{}
	// FetchList asks for the whole list once.
	PollEndpoints struct{}
	// CloseIdle closes the idle connections to a backend.
	CloseIdle struct{ Endpoint string }
	// Note is a line for the operators' log.
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
