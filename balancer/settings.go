package balancer

import "time"

// Idempotency is the effect of repeating a request.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // a repeat never has a further effect
	IdempotentWithKey                    // endpoints in DedupScope drop a repeat within DedupWindow
	NotIdempotent                        // may be repeated only if no attempt may have run
)

// DedupScope is the set of endpoints that drop repeats of an IdempotentWithKey request.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupEverywhere DedupScope = iota // all endpoints
	DedupInZone                       // endpoints in the zone of the first attempt that may have run
	DedupInCell                       // endpoints in the cell of the first attempt that may have run
)

// Class contains the settings of one class of requests.
type Class struct {
	Objective    time.Duration // latency within which a response has the full priority; must be positive
	Deadline     time.Duration // total time that a client waits, over all its tries; must be positive
	Priority     float64       // weight of a request, or of a unit of work if Settings.PriorityByWork is set
	LatePriority float64       // share of Priority that a response between objective and deadline has
	Idempotency  Idempotency   // effect of repeating a request
	// DedupScope and DedupWindow apply to IdempotentWithKey. Endpoints in DedupScope drop a repeat within
	// DedupWindow of the first attempt that may have run. A DedupWindow of 0 allows no repeats.
	DedupScope  DedupScope
	DedupWindow time.Duration
	// Ordered makes requests with the same key run one at a time, in the order of their arrival. All ordered
	// classes share one key space.
	Ordered          bool
	ObjectiveStretch float64 // extension of the objective, as a multiple of the request's work; 0: none
	Streamed         bool    // responses are streamed, and reported as StreamStarted
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Share float64 // share of the service that is allotted to the tenant
	Quota float64 // requests per second, over all agents, that are within the share
}

// Weights is the meaning of Endpoint.Weight.
type Weights uint8

// The meanings of weights.
const (
	WeightsNone    Weights = iota // every weight is 1
	WeightsNominal                // registered size
	WeightsRough                  // approximate size
	WeightsLive                   // size / (1 + requests in flight per core), out of date by some time
)

// LoadReportSource is the kind of message that carries load reports.
type LoadReportSource uint8

// The sources of load reports.
const (
	LoadReportsNone             LoadReportSource = iota // there are no load reports
	LoadReportsWithResponses                            // outcomes and health check results
	LoadReportsWithHealthChecks                         // health check results only
)

// LoadReportFields is the set of values that load reports contain.
type LoadReportFields uint8

// The flags of LoadReportFields, one for each value of LoadReport.
const (
	FieldInFlight LoadReportFields = 1 << iota
	FieldQueue
	FieldUtilization
	FieldService
	FieldThroughput
	FieldErrors
)

// Settings contains the settings of one agent. They are fixed for the life of a Balancer. The comment of an
// optional field says what its zero value means. A zero price, goal or duration turns off what depends on it.
//
// Settings includes the settings that Balancer does not use, so that all settings are validated together.
// Unused are the last two groups, Class.ObjectiveStretch and Class.Streamed.
type Settings struct {
	// Agents.

	Agents     int // number of agents that share the endpoints, including this one; at least 1
	AgentIndex int // number of this agent, from 0
	Zone       int // number of this agent's zone

	// Requests and their value.

	Classes         []Class // at least one; the first one is the time scale for state that all share
	PriorityByWork  bool    // Class.Priority is per unit of work; false: per request
	GoalOverall     float64 // weight, in the operator's goal, of the priority served overall
	GoalWorstWindow float64 // weight of the priority served in the worst time window
	GoalWorstClass  float64 // weight of the priority served in the worst class
	CrossZonePrice  float64 // cost of a request that crosses zones, as a share of the operator's goal

	// Limits and permissions of an agent.

	MaxAttempts    int           // maximum number of attempts per request; 0: 1
	AllowHedging   bool          // a request may have two attempts in flight at once
	AllowCancel    bool          // Balancer may return Cancel actions
	SendRetryAfter bool          // the agent passes Reject.RetryAfter to clients
	MaxRetryAfter  time.Duration // maximum Retry-After that clients honor; 0: none is sent
	MaxOpen        int           // maximum number of open requests per agent; 0: no limit
	Tick           time.Duration // minimum time between two steps, and resolution of timeouts; 0: none

	// Endpoints and connections.

	ConnectTimeout     time.Duration // time after which a connection that is not established fails
	IdleClose          time.Duration // time after which an unused connection closes; 0: never
	CacheAffinity      bool          // an endpoint that recently served a key serves it again with less work
	RejectedMayHaveRun bool          // an attempt with the result Rejected may have run
	KeyQuietPeriod     time.Duration // ordered keys: time without attempts after TimedOut, Reset or Cancelled

	// Endpoint list. The durations apply only if Subscribe is set.

	Subscribe              bool          // the list must be subscribed to; false: it is always delivered
	PollWithin             time.Duration // maximum time without a subscription
	SubscribeSpread        time.Duration // maximum delay of Subscribe after a start or failure; 0: PollWithin
	RefusedSubscribeSpread time.Duration // maximum delay of Subscribe after a refusal; 0: PollWithin

	// Slow start. An endpoint starts with SlowStartMinCapacity of its capacity, and has its full capacity
	// after SlowStartDuration. It is overloaded and fails if it gets more than SlowStartOverloadMultiple
	// times its current capacity within SlowStartOverloadWindow.

	SlowStartMinCapacity      float64       // share of the full capacity; 0: 1
	SlowStartDuration         time.Duration // 0: no slow start
	SlowStartOverloadMultiple float64       // multiple of the current capacity; below 1: 1
	SlowStartOverloadWindow   time.Duration // 0: endpoints cannot be overloaded

	// Validated, but not used by Balancer.

	Zones             int              // number of zones; 0: unknown
	Kinds             int              // number of machine kinds; 0: unknown
	Tier              int              // number of the tier that this agent sends to, from 0
	Tiers             int              // number of tiers; 0: unknown
	Tenants           []Tenant         // tenants that share the service; empty: requests belong to no tenant
	Weights           Weights          // meaning of Endpoint.Weight
	LoadReports       LoadReportSource // kind of message that carries load reports
	LoadReportFields  LoadReportFields // values that load reports contain
	MarksRetry        bool             // clients mark their retries; see Request.ClientRetry
	PassesDeadline    bool             // endpoints pass the remaining time to the next tier
	AllowHealthChecks bool             // the policy may return HealthCheck actions
	AllowGossip       bool             // the policy may return Gossip actions
	StreamsPerConn    int              // maximum number of concurrent attempts per connection; 0: unknown
	CPUPerSecond      time.Duration    // CPU time that an agent may use per second; 0: no limit
	CPUPerRequest     time.Duration    // mean CPU time per request, including its outcomes; 0: no limit
	DrainGrace        time.Duration    // time for which attempts at a draining endpoint are still tolerated
	ResponseGrace     time.Duration    // time after the deadline up to which a final answer still counts
	GoalWorstTenant   float64          // weight of the priority served for the worst tenant within its share
	OverQuotaPriority float64          // weight of a request beyond its tenant's share, relative to others

	// Further prices, not used by Balancer. Each is the cost of the stated amount, as a share of the
	// operator's goal.

	WastePrice       float64 // as much wasted work (without a response) as was requested
	LateFailPrice    float64 // failure of all requests, each after its objective
	HealthCheckPrice float64 // one health check per request
	GossipPrice      float64 // one message of 256 bytes per request and receiver
	HandshakePrice   float64 // one new connection per request
	ConnectionPrice  float64 // 100 open connections per endpoint
	PollPrice        float64 // 100 lines of the endpoint list per request
	MigrationPrice   float64 // one migration per request
	OriginPrice      float64 // one fetch from the origin per request
	FleetPrice       float64 // running as many endpoints as at the start
}

// MayHaveRun reports whether an attempt with the given result may have had an effect.
func (s *Settings) MayHaveRun(result Result) bool {
	return !result.NeverRan() || result == Rejected && s.RejectedMayHaveRun
}
