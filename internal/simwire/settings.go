package simwire

import (
	"encoding/json"
	"fmt"

	"ashshunt/balancer"
)

// facts mirrors the settings object of the wire, in the wire's own names.
type facts struct {
	Balancers int
	Me        int
	Zone      int
	CountedBy string
	Profiles  []struct {
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
	Tenants []struct {
		Name      string
		Portion   float64
		QuotaPerS float64
	}
	OverShareWorth float64
	Dcs, Kinds     []string
	Tier           int
	Tiers          []string
	Weights        string
	Clients        struct{ MarksRetry bool }
	FamilyInfo     struct{ WarmKeys, PassesDeadline bool }
	Report         struct {
		Source string
		Fields []string
	}
	MembershipMode string
	TickMs         float64
	PolicyLimits   struct {
		TryLimit                                          int
		SecondCopies, MayProbe, Cancel, RetryAfter, Peers bool
		MaxRetryAfterMs, ConnectTimeoutMs, IdleCloseMs    float64
		MaxOpen, StreamsPerConn                           int
		CPUMicrosPerSecond                                float64 `json:"CpuUsPerS"`
		CPUMicrosPerRequest                               float64 `json:"CpuUsPerRequest"`
	}
	Contract struct {
		DrainGraceMs, GraceToAnswerMs, AskWithinMs float64
		ColdFrom, RampTimeMs, FallMultiple, FallMs float64
		BusyIsNoProof                              bool
		KeyRestMs                                  float64
	}
	Goal   struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }
	Prices struct {
		CrossZone, Waste, LateFail, Probe, Peer              float64
		Handshake, Connection, MembershipMode, Moves, Origin float64
		Fleet                                                float64
	}
}

var weights = map[string]balancer.Weights{
	"": balancer.WeightsNone, "off": balancer.WeightsNone, "nominal": balancer.WeightsNominal,
	"rough": balancer.WeightsRough, "live": balancer.WeightsLive,
}

var sources = map[string]balancer.LoadReportSource{
	"": balancer.LoadReportsNone, "off": balancer.LoadReportsNone,
	"inline": balancer.LoadReportsWithResponses, "on_probe": balancer.LoadReportsWithHealthChecks,
}

var fields = map[string]balancer.LoadReportFields{
	"outstanding": balancer.FieldInFlight, "backlog": balancer.FieldQueue,
	"utilization": balancer.FieldUtilization, "recent_ms": balancer.FieldService,
	"throughput": balancer.FieldThroughput, "errors_per_s": balancer.FieldErrors,
}

// settingsKey is the key of the settings object in the message that opens an instance.
const settingsKey = "Facts"

// UnknownValueError reports a setting whose value is none of those that the settings object may hold.
type UnknownValueError struct {
	Key   string // the path within the settings object, such as "Profiles[0].Semantics"
	Sort  string // what the value should name, such as "kind"
	Value string
}

func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("%s: unknown %s %q", e.Key, e.Sort, e.Value)
}

// Names are the settings' words for what the module knows by position.
type Names struct{ Classes, Tenants, Zones, Kinds []string }

// parseSettings translates the settings object of the bench.
func parseSettings(raw []byte) (balancer.Settings, error) {
	s, _, err := ParseSettings(raw)
	return s, err
}

// ParseSettings translates the settings object, which the bench's first message and a real agent's
// configuration hold in the same form. Unknown keys are ignored.
func ParseSettings(raw []byte) (balancer.Settings, Names, error) {
	var f facts
	if err := json.Unmarshal(raw, &f); err != nil {
		return balancer.Settings{}, Names{}, fmt.Errorf("%s: %w", settingsKey, err)
	}
	names := Names{Zones: f.Dcs, Kinds: f.Kinds}
	for _, p := range f.Profiles {
		names.Classes = append(names.Classes, p.Name)
	}
	for _, t := range f.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	s, err := f.settings()
	return s, names, err
}

func (f *facts) settings() (balancer.Settings, error) {
	s := balancer.Settings{
		Agents:               f.Balancers,
		AgentIndex:           f.Me,
		Zone:                 f.Zone,
		PriorityByWork:       f.CountedBy == "work",
		Subscribe:            f.MembershipMode == "subscribe",
		Tick:                 duration(f.TickMs),
		MaxAttempts:          f.PolicyLimits.TryLimit,
		AllowHedging:         f.PolicyLimits.SecondCopies,
		AllowHealthChecks:    f.PolicyLimits.MayProbe,
		AllowCancel:          f.PolicyLimits.Cancel,
		SendRetryAfter:       f.PolicyLimits.RetryAfter,
		AllowGossip:          f.PolicyLimits.Peers,
		MaxRetryAfter:        duration(f.PolicyLimits.MaxRetryAfterMs),
		ConnectTimeout:       duration(f.PolicyLimits.ConnectTimeoutMs),
		IdleClose:            duration(f.PolicyLimits.IdleCloseMs),
		DrainGrace:           duration(f.Contract.DrainGraceMs),
		ResponseGrace:        duration(f.Contract.GraceToAnswerMs),
		PollWithin:           duration(f.Contract.AskWithinMs),
		ColdCapacity:         f.Contract.ColdFrom,
		SlowStart:            duration(f.Contract.RampTimeMs),
		ColdOverloadMultiple: f.Contract.FallMultiple,
		ColdOverloadWindow:   duration(f.Contract.FallMs),
		WeightOverall:        f.Goal.Whole,
		WeightWorstWindow:    f.Goal.WorstWindow,
		WeightWorstClass:     f.Goal.WorstClass,
		WeightWorstTenant:    f.Goal.WorstTenant,
		OverQuotaPriority:    f.OverShareWorth,

		Zones: len(f.Dcs), Kinds: len(f.Kinds), Tier: f.Tier, Tiers: len(f.Tiers),
		MarksRetry:         f.Clients.MarksRetry,
		CacheAffinity:      f.FamilyInfo.WarmKeys,
		PassesDeadline:     f.FamilyInfo.PassesDeadline,
		MaxOpen:            f.PolicyLimits.MaxOpen,
		StreamsPerConn:     f.PolicyLimits.StreamsPerConn,
		CPUPerSecond:       duration(f.PolicyLimits.CPUMicrosPerSecond / 1000),
		CPUPerRequest:      duration(f.PolicyLimits.CPUMicrosPerRequest / 1000),
		RejectedMayHaveRun: f.Contract.BusyIsNoProof,
		KeyQuietPeriod:     duration(f.Contract.KeyRestMs),

		CrossZonePrice:   f.Prices.CrossZone,
		WastePrice:       f.Prices.Waste,
		LateFailPrice:    f.Prices.LateFail,
		HealthCheckPrice: f.Prices.Probe,
		GossipPrice:      f.Prices.Peer,
		HandshakePrice:   f.Prices.Handshake,
		ConnectionPrice:  f.Prices.Connection,
		PollPrice:        f.Prices.MembershipMode,
		MigrationPrice:   f.Prices.Moves,
		OriginPrice:      f.Prices.Origin,
		FleetPrice:       f.Prices.Fleet,
	}
	var ok bool
	if s.Weights, ok = weights[f.Weights]; !ok {
		return s, &UnknownValueError{"Weights", "meaning", f.Weights}
	}
	if s.LoadReports, ok = sources[f.Report.Source]; !ok {
		return s, &UnknownValueError{"Report.Source", "source", f.Report.Source}
	}
	for _, name := range f.Report.Fields {
		s.LoadReportFields |= fields[name] // values that a later wire adds carry no bit
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Share: t.Portion, Quota: t.QuotaPerS})
	}
	classes, err := f.classes()
	s.Classes = classes
	return s, err
}

// idempotencies and dedupScopes translate the words of a class.
var (
	idempotencies = map[string]balancer.Idempotency{
		"repeatable": balancer.Idempotent, "by_key": balancer.IdempotentWithKey, "once": balancer.NotIdempotent,
	}
	dedupScopes = map[string]balancer.DedupScope{
		"": balancer.DedupEverywhere, "all": balancer.DedupEverywhere,
		"zone": balancer.DedupInZone, "cell": balancer.DedupInCell,
	}
)

// classes translates the classes up to the first one with an unknown word.
func (f *facts) classes() ([]balancer.Class, error) {
	var classes []balancer.Class
	for i, p := range f.Profiles {
		idempotency, ok := idempotencies[p.Semantics]
		if !ok {
			return classes, &UnknownValueError{fmt.Sprintf("Profiles[%d].Semantics", i), "kind", p.Semantics}
		}
		scope, ok := dedupScopes[p.Group]
		if !ok {
			return classes, &UnknownValueError{fmt.Sprintf("Profiles[%d].Group", i), "group", p.Group}
		}
		classes = append(classes, balancer.Class{
			Objective: duration(p.AimMs), Deadline: duration(p.DeadlineMs),
			Priority: p.Worth, LatePriority: p.LateValue,
			Idempotency: idempotency, DedupScope: scope, DedupWindow: duration(p.WindowMs),
			Ordered: p.KeepOrder, ObjectiveStretch: p.AimStretch, Streamed: p.Stream,
		})
	}
	return classes, nil
}
