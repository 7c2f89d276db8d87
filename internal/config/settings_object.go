package config

// settingsObject is the settings object with its names on the wire. The suffix of a name is its unit: Ms milliseconds,
// Us microseconds, PerS per second. Errors of encoding/json contain the names of the types in this file.
// mapping.go maps each field to the field of balancer.Settings that documents it.
type settingsObject struct {
	Balancers      int    // number of agents
	Me             int    // number of this agent, from 0
	Zone           int    // number of this agent's zone
	CountedBy      string // "work": priorities count per unit of work; otherwise per request
	Profiles       []profile
	Tenants        []tenant
	OverShareWorth float64  // priority of a request beyond its tenant's share; 1: same as within the share
	Dcs            []string // names of the zones
	Kinds          []string // names of the machine kinds
	Tier           int      // number of the tier that this agent sends to
	Tiers          []string // names of the tiers
	Weights        string   // type of the endpoints' weights
	Clients        struct{ MarksRetry bool }
	FamilyInfo     struct{ WarmKeys, PassesDeadline bool }
	Report         report
	MembershipMode string // "subscribe": the endpoint list requires a subscription
	TickMs         float64
	PolicyLimits   policyLimits
	Contract       contract
	// Goal holds the weights of the parts of the operator's goal.
	Goal   struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }
	Prices prices
}

// profile is one class of requests.
type profile struct {
	Name       string
	AimMs      float64 // latency objective
	DeadlineMs float64
	Worth      float64 // priority weight
	LateValue  float64 // priority of a response between objective and deadline, as a fraction of Worth
	Semantics  string  // idempotency
	Group      string  // deduplication scope
	WindowMs   float64 // deduplication window
	KeepOrder  bool
	AimStretch float64 // the objective grows by this multiple of the request's work
	Stream     bool
}

// tenant is one of the parties that share the service.
type tenant struct {
	Name      string
	Portion   float64 // fraction of the service
	QuotaPerS float64
}

// report describes the load reports of the endpoints.
type report struct {
	Source string
	Fields []string
}

// policyLimits defines what an agent is allowed to do.
type policyLimits struct {
	TryLimit         int // maximum number of attempts
	SecondCopies     bool
	MayProbe         bool
	Cancel           bool
	RetryAfter       bool
	Peers            bool
	MaxRetryAfterMs  float64
	ConnectTimeoutMs float64
	IdleCloseMs      float64
	MaxOpen          int // maximum number of open requests
	StreamsPerConn   int
	CPUUsPerS        float64 `json:"CpuUsPerS"`
	CPUUsPerRequest  float64 `json:"CpuUsPerRequest"`
}

// contract holds the times and bounds that agents and endpoints have agreed on.
type contract struct {
	DrainGraceMs    float64
	GraceToAnswerMs float64
	AskWithinMs     float64
	ColdFrom        float64 // initial fraction of the full capacity
	RampTimeMs      float64
	FallMultiple    float64 // multiple of the current capacity
	FallMs          float64
	BusyIsNoProof   bool
	KeyRestMs       float64
}

// prices holds the price of each cost, as a fraction of the operator's goal.
type prices struct {
	CrossZone      float64
	Waste          float64
	LateFail       float64
	Probe          float64
	Peer           float64
	Handshake      float64
	Connection     float64
	MembershipMode float64
	Moves          float64
	Origin         float64
	Fleet          float64
}
