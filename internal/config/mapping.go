package config

import (
	"strconv"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/loadreport"
)

// The functions below map the settings object, group by group: the field of balancer.Settings stands on the left, the
// key of the object on the right, and the function around a key is its unit. What has no unit is a number, a flag, a
// share or a multiple, as settings_object.go says. wire_keys.go has the way back, for errors.

// toSettings maps all groups.
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

// mapAgents maps who the agents are and what they are a part of.
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

// mapService maps how requests count, and how clients, endpoints and discovery behave.
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

// mapTo maps what an agent may do.
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

// mapTo maps what agents and endpoints have agreed on.
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

// mapTo maps what things cost, as a share of the operator's goal.
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

// mapWeights maps what the weights of endpoints mean.
func (o *settingsObject) mapWeights(s *balancer.Settings) (err error) {
	s.Weights, err = lookUp(weightTypes, "Weights", "meaning", o.Weights)
	return err
}

// mapTo maps what load reports come with, and what they hold.
func (r *report) mapTo(s *balancer.Settings) (err error) {
	if s.LoadReports, err = lookUp(reportSources, "Report.Source", "source", r.Source); err != nil {
		return err
	}
	for _, name := range r.Fields {
		s.LoadReportFields |= reportFields[name] // a field that a later version adds has no bit
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

// toClass maps one toClass of requests; path leads to it within the settings object.
func (p *profile) toClass(path string) (balancer.Class, error) {
	idempotency, err := lookUp(idempotencies, path+"Semantics", "kind", p.Semantics)
	if err != nil {
		return balancer.Class{}, err
	}
	scope, err := lookUp(dedupScopes, path+"Group", "group", p.Group)
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

// The units of the settings object.

// maxDuration bounds each time of the settings, so that multiples of it still fit into a time.Duration.
const maxDuration = 365 * 24 * time.Hour

const microsecondsPerMillisecond = 1000

func milliseconds(value float64) time.Duration {
	return min(clock.FromMilliseconds(value), maxDuration)
}

func microseconds(value float64) time.Duration {
	return milliseconds(value / microsecondsPerMillisecond)
}

// The words of the settings object. An empty word stands for a key that is absent. internal/simwire has the words of
// messages, whose errors have another form.

const (
	countedByWork       = "work"      // of CountedBy: priorities count per unit of work
	membershipSubscribe = "subscribe" // of MembershipMode: the endpoint list must be subscribed to
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

// lookUp returns the value that a word stands for. key is the path of the setting; what says in the error what the
// word names.
func lookUp[V any](values map[string]V, key, setting, word string) (V, error) {
	value, ok := values[word]
	if !ok {
		return value, &UnknownWordError{Key: key, Setting: setting, Word: word}
	}
	return value, nil
}
