package config

import (
	"strconv"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/loadreport"
)

// The functions below map the settings object to balancer.Settings. The conversion function around a key converts its
// unit; keys without a conversion are counts, flags, fractions or multiples, as documented in settings_object.go. The
// reverse mapping, for errors, is in wire_keys.go.

// toSettings maps the whole settings object.
func (o *settingsObject) toSettings() (balancer.Settings, error) {
	var s balancer.Settings
	o.mapAgents(&s)
	o.mapService(&s)
	o.mapTenants(&s)
	o.PolicyLimits.mapTo(&s)
	o.Contract.mapTo(&s)
	o.mapGoal(&s)
	o.Prices.mapTo(&s)
	if err := o.mapWeights(&s); err != nil {
		return s, err
	}
	if err := o.Report.mapTo(&s); err != nil {
		return s, err
	}
	err := o.mapClasses(&s)
	return s, err
}

// mapAgents maps the identity of the agent and the size of its environment.
func (o *settingsObject) mapAgents(s *balancer.Settings) {
	s.Agents = o.Balancers
	s.AgentIndex = o.Me
	s.Zone = o.Zone
	s.Zones = len(o.Dcs)
	s.Kinds = len(o.Kinds)
	s.Tier = o.Tier
	s.Tiers = len(o.Tiers)
	s.Tick = milliseconds(o.TickMs)
}

// mapService maps how requests are weighted, and how clients, endpoints and discovery behave.
func (o *settingsObject) mapService(s *balancer.Settings) {
	s.PriorityByWork = o.CountedBy == countedByWork
	s.Subscribe = o.MembershipMode == membershipSubscribe
	s.MarksRetry = o.Clients.MarksRetry
	s.CacheAffinity = o.FamilyInfo.WarmKeys
	s.PassesDeadline = o.FamilyInfo.PassesDeadline
}

func (o *settingsObject) mapTenants(s *balancer.Settings) {
	s.OverQuotaPriority = o.OverShareWorth
	for _, tenant := range o.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{
			Share: tenant.Portion,
			Quota: tenant.QuotaPerS,
		})
	}
}

// mapTo maps what an agent is allowed to do.
func (l *policyLimits) mapTo(s *balancer.Settings) {
	s.MaxAttempts = l.TryLimit
	s.AllowHedging = l.SecondCopies
	s.AllowHealthChecks = l.MayProbe
	s.AllowCancel = l.Cancel
	s.AllowGossip = l.Peers
	s.SendRetryAfter = l.RetryAfter
	s.MaxRetryAfter = milliseconds(l.MaxRetryAfterMs)
	s.ConnectTimeout = milliseconds(l.ConnectTimeoutMs)
	s.IdleClose = milliseconds(l.IdleCloseMs)
	s.MaxOpen = l.MaxOpen
	s.StreamsPerConn = l.StreamsPerConn
	s.CPUPerSecond = microseconds(l.CPUUsPerS)
	s.CPUPerRequest = microseconds(l.CPUUsPerRequest)
}

// mapTo maps the times and bounds that agents and endpoints have agreed on.
func (c *contract) mapTo(s *balancer.Settings) {
	s.DrainGrace = milliseconds(c.DrainGraceMs)
	s.ResponseGrace = milliseconds(c.GraceToAnswerMs)
	s.PollWithin = milliseconds(c.AskWithinMs)
	s.SlowStartMinCapacity = c.ColdFrom
	s.SlowStartDuration = milliseconds(c.RampTimeMs)
	s.SlowStartOverloadMultiple = c.FallMultiple
	s.SlowStartOverloadWindow = milliseconds(c.FallMs)
	s.RejectedMayHaveRun = c.BusyIsNoProof
	s.KeyQuietPeriod = milliseconds(c.KeyRestMs)
}

// mapGoal maps the weights of the operator's goal.
func (o *settingsObject) mapGoal(s *balancer.Settings) {
	s.GoalOverall = o.Goal.Whole
	s.GoalWorstWindow = o.Goal.WorstWindow
	s.GoalWorstClass = o.Goal.WorstClass
	s.GoalWorstTenant = o.Goal.WorstTenant
}

// mapTo maps the price of each cost, as a fraction of the operator's goal.
func (p *prices) mapTo(s *balancer.Settings) {
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

// mapWeights maps the type of the endpoints' weights.
func (o *settingsObject) mapWeights(s *balancer.Settings) (err error) {
	s.Weights, err = lookUp(weightTypes, "Weights", "weight type", o.Weights)
	return err
}

// mapTo maps the source and the fields of load reports.
func (r *report) mapTo(s *balancer.Settings) (err error) {
	if s.LoadReports, err = lookUp(reportSources, "Report.Source", "load report source", r.Source); err != nil {
		return err
	}
	for _, name := range r.Fields {
		s.LoadReportFields |= reportFields[name] // unknown fields, which a later version may add, map to 0
	}
	return nil
}

func (o *settingsObject) mapClasses(s *balancer.Settings) error {
	for i := range o.Profiles {
		class, err := o.Profiles[i].toClass("Profiles[" + strconv.Itoa(i) + "].")
		if err != nil {
			return err
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}

// toClass maps one class of requests. path is the prefix of its keys within the settings object, for errors.
func (p *profile) toClass(path string) (balancer.Class, error) {
	idempotency, err := lookUp(idempotencies, path+"Semantics", "idempotency", p.Semantics)
	if err != nil {
		return balancer.Class{}, err
	}
	scope, err := lookUp(dedupScopes, path+"Group", "deduplication scope", p.Group)
	if err != nil {
		return balancer.Class{}, err
	}
	return balancer.Class{
		Objective:        milliseconds(p.AimMs),
		Deadline:         milliseconds(p.DeadlineMs),
		Priority:         p.Worth,
		LatePriority:     p.LateValue,
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      milliseconds(p.WindowMs),
		Ordered:          p.KeepOrder,
		ObjectiveStretch: p.AimStretch,
		Streamed:         p.Stream,
	}, nil
}

// Conversions of the units of the settings object.

// maxDuration bounds each duration in the settings, so that multiples of it fit into a time.Duration.
const maxDuration = 365 * 24 * time.Hour

const microsecondsPerMillisecond = 1000

func milliseconds(value float64) time.Duration {
	return min(clock.FromMilliseconds(value), maxDuration)
}

func microseconds(value float64) time.Duration {
	return milliseconds(value / microsecondsPerMillisecond)
}

// The words that settings may hold. An empty word is the value of an absent key. The words of messages are in
// internal/simwire, whose errors have a different form.

const (
	countedByWork       = "work"      // CountedBy: priorities count per unit of work
	membershipSubscribe = "subscribe" // MembershipMode: the endpoint list requires a subscription
)

var weightTypes = map[string]balancer.Weights{
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
	loadreport.InFlight:        balancer.FieldInFlight,
	loadreport.Queue:           balancer.FieldQueue,
	loadreport.Utilization:     balancer.FieldUtilization,
	loadreport.ServiceTimeMs:   balancer.FieldService,
	loadreport.Throughput:      balancer.FieldThroughput,
	loadreport.ErrorsPerSecond: balancer.FieldErrors,
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

// lookUp returns the value that a word stands for. key is the path of the setting, and setting says in the error what
// the word selects.
func lookUp[V any](values map[string]V, key, setting, word string) (V, error) {
	value, ok := values[word]
	if !ok {
		return value, &UnknownWordError{Key: key, Setting: setting, Word: word}
	}
	return value, nil
}
