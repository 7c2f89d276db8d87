package config

import (
	"encoding/json"
	"strconv"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
)

// maxDuration bounds each time of the settings, so that multiples of it still fit into a time.Duration.
const maxDuration = 365 * 24 * time.Hour

// duration converts a time of the settings.
func duration(milliseconds float64) time.Duration {
	return min(clock.Milliseconds(milliseconds), maxDuration)
}

// Names are the words of the settings object for what the decision module knows by position.
type Names struct {
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string
}

// ParseSettings converts the settings object, which a configuration file and the simulator's first message hold in
// the same form. Keys that it does not know are ignored, since later versions of the object may add some.
func ParseSettings(raw []byte) (balancer.Settings, Names, error) {
	var object settingsObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return balancer.Settings{}, Names{}, err
	}
	settings, err := object.settings()
	return settings, object.names(), err
}

func (o *settingsObject) names() Names {
	names := Names{Zones: o.Dcs, Kinds: o.Kinds}
	for _, p := range o.Profiles {
		names.Classes = append(names.Classes, p.Name)
	}
	for _, t := range o.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	return names
}

func (o *settingsObject) settings() (balancer.Settings, error) {
	s := balancer.Settings{
		Agents:            o.Balancers,
		AgentIndex:        o.Me,
		Zone:              o.Zone,
		Zones:             len(o.Dcs),
		Kinds:             len(o.Kinds),
		Tier:              o.Tier,
		Tiers:             len(o.Tiers),
		PriorityByWork:    o.CountedBy == "work",
		Subscribe:         o.MembershipMode == "subscribe",
		Tick:              duration(o.TickMs),
		MarksRetry:        o.Clients.MarksRetry,
		CacheAffinity:     o.FamilyInfo.WarmKeys,
		PassesDeadline:    o.FamilyInfo.PassesDeadline,
		OverQuotaPriority: o.OverShareWorth,
		WeightOverall:     o.Goal.Whole,
		WeightWorstWindow: o.Goal.WorstWindow,
		WeightWorstClass:  o.Goal.WorstClass,
		WeightWorstTenant: o.Goal.WorstTenant,
	}
	o.PolicyLimits.apply(&s)
	o.Contract.apply(&s)
	o.Prices.apply(&s)
	var err error
	if s.Weights, err = lookUp(weightMeanings, "Weights", "meaning", o.Weights); err != nil {
		return s, err
	}
	if s.LoadReports, err = lookUp(reportSources, "Report.Source", "source", o.Report.Source); err != nil {
		return s, err
	}
	for _, name := range o.Report.Fields {
		s.LoadReportFields |= reportFields[name] // a field that a later version adds has no bit
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Share: t.Portion, Quota: t.QuotaPerS})
	}
	for i, p := range o.Profiles {
		class, err := p.class("Profiles[" + strconv.Itoa(i) + "].")
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// class converts a profile; path leads to it within the settings object.
func (p *profile) class(path string) (balancer.Class, error) {
	idempotency, err := lookUp(idempotencies, path+"Semantics", "kind", p.Semantics)
	if err != nil {
		return balancer.Class{}, err
	}
	scope, err := lookUp(dedupScopes, path+"Group", "group", p.Group)
	if err != nil {
		return balancer.Class{}, err
	}
	return balancer.Class{
		Objective:        duration(p.AimMs),
		Deadline:         duration(p.DeadlineMs),
		Priority:         p.Worth,
		LatePriority:     p.LateValue,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      duration(p.WindowMs),
		Ordered:          p.KeepOrder,
		ObjectiveStretch: p.AimStretch,
		Streamed:         p.Stream,
	}, nil
}

func (l *policyLimits) apply(s *balancer.Settings) {
	s.MaxAttempts = l.TryLimit
	s.AllowHedging = l.SecondCopies
	s.AllowHealthChecks = l.MayProbe
	s.AllowCancel = l.Cancel
	s.AllowGossip = l.Peers
	s.SendRetryAfter = l.RetryAfter
	s.MaxRetryAfter = duration(l.MaxRetryAfterMs)
	s.ConnectTimeout = duration(l.ConnectTimeoutMs)
	s.IdleClose = duration(l.IdleCloseMs)
	s.MaxOpen = l.MaxOpen
	s.StreamsPerConn = l.StreamsPerConn
	s.CPUPerSecond = duration(l.CPUUsPerS / 1000)
	s.CPUPerRequest = duration(l.CPUUsPerRequest / 1000)
}

func (c *contract) apply(s *balancer.Settings) {
	s.DrainGrace = duration(c.DrainGraceMs)
	s.ResponseGrace = duration(c.GraceToAnswerMs)
	s.PollWithin = duration(c.AskWithinMs)
	s.SlowStartMinCapacity = c.ColdFrom
	s.SlowStartDuration = duration(c.RampTimeMs)
	s.SlowStartOverloadMultiple = c.FallMultiple
	s.SlowStartOverloadWindow = duration(c.FallMs)
	s.RejectedMayHaveRun = c.BusyIsNoProof
	s.KeyQuietPeriod = duration(c.KeyRestMs)
}

func (p *prices) apply(s *balancer.Settings) {
	s.CrossZonePrice = p.CrossZone
	s.WastePrice = p.Waste
	s.LateFailPrice = p.LateFail
	s.HealthCheckPrice = p.Probe
	s.GossipPrice = p.Peer
	s.HandshakePrice = p.Handshake
	s.ConnectionPrice = p.Connection
	s.PollPrice = p.MembershipMode
	s.MigrationPrice = p.Moves
	s.OriginPrice = p.Origin
	s.FleetPrice = p.Fleet
}

var weightMeanings = map[string]balancer.Weights{
	"":        balancer.WeightsNone,
	"off":     balancer.WeightsNone,
	"nominal": balancer.WeightsNominal,
	"rough":   balancer.WeightsRough,
	"live":    balancer.WeightsLive,
}

var reportSources = map[string]balancer.LoadReportSource{
	"":         balancer.LoadReportsNone,
	"off":      balancer.LoadReportsNone,
	"inline":   balancer.LoadReportsWithResponses,
	"on_probe": balancer.LoadReportsWithHealthChecks,
}

var reportFields = map[string]balancer.LoadReportFields{
	"outstanding":  balancer.FieldInFlight,
	"backlog":      balancer.FieldQueue,
	"utilization":  balancer.FieldUtilization,
	"recent_ms":    balancer.FieldService,
	"throughput":   balancer.FieldThroughput,
	"errors_per_s": balancer.FieldErrors,
}

var idempotencies = map[string]balancer.Idempotency{
	"repeatable": balancer.Idempotent,
	"by_key":     balancer.IdempotentWithKey,
	"once":       balancer.NotIdempotent,
}

var dedupScopes = map[string]balancer.DedupScope{
	"":     balancer.DedupEverywhere,
	"all":  balancer.DedupEverywhere,
	"zone": balancer.DedupInZone,
	"cell": balancer.DedupInCell,
}

// lookUp finds the value of a setting by its word. what says in the error what the word names.
func lookUp[V any](values map[string]V, key, what, word string) (V, error) {
	value, ok := values[word]
	if !ok {
		return value, &UnknownWordError{Key: key, What: what, Word: word}
	}
	return value, nil
}
