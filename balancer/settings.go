package balancer

import "time"

// Idempotency says what repeating a request does.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated in any case
	IdempotentWithKey                    // endpoints of one scope drop a repeat within a window
	NotIdempotent                        // may be repeated only when no attempt can have run
)

// DedupScope says which endpoints drop repeats of a request that is IdempotentWithKey.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupEverywhere DedupScope = iota // every endpoint
	DedupInZone                       // the endpoints of the zone of the first attempt that may have run
	DedupInCell                       // the endpoints of its cell
)

// Class describes one class of requests.
type Class struct {
	Objective    time.Duration // a response within it earns the full priority weight; over 0
	Deadline     time.Duration // the time that a client waits, over all its tries; over 0
	Priority     float64       // weight of a request, or of a unit of work if Settings.PriorityByWork
	LatePriority float64       // share of that weight that a response between objective and deadline earns
	Idempotency  Idempotency
	DedupScope   DedupScope    // for IdempotentWithKey
	DedupWindow  time.Duration // for IdempotentWithKey: how long after the first attempt that may have run
	// Ordered requests with the same key run one at a time, in the order of their arrival. All ordered
	// classes share one key space.
	Ordered          bool
	ObjectiveStretch float64 // the objective grows by this multiple of the request's work; 0: it does not
	Streamed         bool    // the response is streamed: StreamStarted comes
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Share float64 // fraction of the service allotted to it
	Quota float64 // requests per second, over all agents, that are within its share
}

// Weights says what Endpoint.Weight means.
type Weights uint8

// The meanings of weights.
const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // the registered size
	WeightsRough                  // about the size
	WeightsLive                   // the size over 1 + requests in flight per core, some time ago
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

// Settings are fixed for the life of a Balancer. The zero value of a field that may be absent means what its
// comment says; the zero value of a price, a goal or a span switches off what rests on it.
//
// Settings carries every setting that agents are given, so that all of them are checked when they are read.
// Balancer does not act on the last two groups, nor on Class.ObjectiveStretch and Class.Streamed.
type Settings struct {
	// Who the agents are.

	Agents     int // agents that share these endpoints, this one included; at least 1
	AgentIndex int // this agent's number, from 0
	Zone       int // this agent's zone

	// The requests and how they are valued.

	Classes         []Class // at least one; the first sets the time scale of what concerns all
	PriorityByWork  bool    // priorities count per unit of work, not per request
	GoalOverall     float64 // weight of the priority served in all, in the operator's goal
	GoalWorstWindow float64 // weight of the priority served in the worst window of time
	GoalWorstClass  float64 // weight of the priority served of the worst class
	CrossZonePrice  float64 // cost of a request that crosses zones, as a share of the operator's goal

	// What an agent may do.

	MaxAttempts    int           // attempts that one request may get; 0: 1
	AllowHedging   bool          // two attempts of one request may be in flight together
	AllowCancel    bool          // Cancel actions are allowed
	SendRetryAfter bool          // clients are shown Reject.RetryAfter
	MaxRetryAfter  time.Duration // the longest Retry-After that a client heeds
	MaxOpen        int           // requests that an agent may hold open; 0: no limit
	Tick           time.Duration // shortest time between two steps, and resolution of timeouts; 0: none

	// How endpoints and their connections behave.

	ConnectTimeout     time.Duration // a connection that is not made in this time fails
	IdleClose          time.Duration // a connection unused for this long closes; 0: never
	CacheAffinity      bool          // an endpoint that lately served a key serves it again with less work
	RejectedMayHaveRun bool          // an attempt that ended as Rejected may have run
	KeyQuietPeriod     time.Duration // Ordered: a key rests for this long after a time-out, reset or cancel

	// The endpoint list.

	Subscribe              bool          // the list must be subscribed to; false: it is delivered anyway
	PollWithin             time.Duration // Subscribe: subscribe at the latest after this time while not subscribed
	SubscribeSpread        time.Duration // Subscribe: subscribe within this time of a start or failure; 0: PollWithin
	RefusedSubscribeSpread time.Duration // Subscribe: subscribe within this time of a refusal; 0: PollWithin

	// Slow start: an endpoint starts with SlowStartMinCapacity of its capacity and has all of it after
	// SlowStartDuration. One that is sent more than SlowStartOverloadMultiple of its current capacity within
	// SlowStartOverloadWindow is overloaded and fails.

	SlowStartMinCapacity      float64 // share of the full capacity; 0: 1
	SlowStartDuration         time.Duration
	SlowStartOverloadMultiple float64
	SlowStartOverloadWindow   time.Duration

	// Checked and passed on, but not acted on by Balancer.

	Zones             int              // number of zones; 0: unknown
	Kinds             int              // number of machine kinds; 0: unknown
	Tier              int              // the tier of endpoints that this agent sends to, from 0
	Tiers             int              // number of tiers; 0: unknown
	Tenants           []Tenant         // none: requests belong to no tenant
	Weights           Weights          // what Endpoint.Weight means
	LoadReports       LoadReportSource // what load reports come with
	LoadReportFields  LoadReportFields // the values that load reports hold
	MarksRetry        bool             // clients mark their retries, as Request.ClientRetry
	PassesDeadline    bool             // endpoints pass on the time left to the next tier
	AllowHealthChecks bool             // HealthCheck actions are allowed
	AllowGossip       bool             // Gossip actions are allowed
	StreamsPerConn    int              // attempts that one connection carries at once; 0: unknown
	CPUPerSecond      time.Duration    // CPU that an agent has in each second; 0: no limit
	CPUPerRequest     time.Duration    // mean CPU for a request with its outcomes; 0: no limit
	DrainGrace        time.Duration    // how long sends to a draining endpoint are still tolerated
	ResponseGrace     time.Duration    // how long after its deadline a final answer still counts
	GoalWorstTenant   float64          // weight of the priority served of the worst tenant within its share
	OverQuotaPriority float64          // weight of a request beyond its tenant's share, against one within

	// Further prices, as a share of the operator's goal, that Balancer does not weigh.

	WastePrice       float64 // work of endpoints that served no response, as much as was requested
	LateFailPrice    float64 // all priority left unserved only after its objective
	HealthCheckPrice float64 // a health check for each request
	GossipPrice      float64 // a message of 256 bytes for each request, for each receiver
	HandshakePrice   float64 // a new connection for each request
	ConnectionPrice  float64 // 100 open connections for each endpoint
	PollPrice        float64 // 100 list lines for each request
	MigrationPrice   float64 // a migration for each request
	OriginPrice      float64 // a fetch from the origin for each request
	FleetPrice       float64 // as many endpoints running as at the start
}

// MayHaveRun reports whether an attempt with a result may have had an effect.
func (s *Settings) MayHaveRun(result Result) bool {
	return !result.NeverRan() || result == Rejected && s.RejectedMayHaveRun
}
