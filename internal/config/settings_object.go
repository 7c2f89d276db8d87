package config

// settingsObject is the settings object in the form and with the names in which agents are given it.
type settingsObject struct {
	Balancers      int
	Me             int
	Zone           int
	CountedBy      string
	Profiles       []profile
	Tenants        []tenant
	OverShareWorth float64
	Dcs            []string
	Kinds          []string
	Tier           int
	Tiers          []string
	Weights        string
	Clients        struct{ MarksRetry bool }
	FamilyInfo     struct{ WarmKeys, PassesDeadline bool }
	Report         report
	MembershipMode string
	TickMs         float64
	PolicyLimits   policyLimits
	Contract       contract
	Goal           struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }
	Prices         prices
}

// profile describes one class of requests.
type profile struct {
	Name       string
	AimMs      float64
	DeadlineMs float64
	Worth      float64
	LateValue  float64
	Semantics  string
	Group      string
	WindowMs   float64
	KeepOrder  bool
	AimStretch float64
	Stream     bool
}

// tenant is one of those who share the service.
type tenant struct {
	Name      string
	Portion   float64
	QuotaPerS float64
}

// report describes the endpoints' load reports.
type report struct {
	Source string
	Fields []string
}

// policyLimits bounds what an agent may do.
type policyLimits struct {
	TryLimit         int
	SecondCopies     bool
	MayProbe         bool
	Cancel           bool
	RetryAfter       bool
	Peers            bool
	MaxRetryAfterMs  float64
	ConnectTimeoutMs float64
	IdleCloseMs      float64
	MaxOpen          int
	StreamsPerConn   int
	CPUUsPerS        float64 `json:"CpuUsPerS"`
	CPUUsPerRequest  float64 `json:"CpuUsPerRequest"`
}

// contract holds the times and bounds that agents and endpoints have agreed on.
type contract struct {
	DrainGraceMs    float64
	GraceToAnswerMs float64
	AskWithinMs     float64
	ColdFrom        float64
	RampTimeMs      float64
	FallMultiple    float64
	FallMs          float64
	BusyIsNoProof   bool
	KeyRestMs       float64
}

// prices are what each thing costs, as a share of the result.
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
