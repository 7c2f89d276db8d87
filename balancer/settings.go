package balancer

import (
	"fmt"
	"time"
)

// SettingError reports a setting whose value makes no sense.
type SettingError struct {
	Field string // the path within Settings, such as "Agents" or "Classes[0].Objective"
	Value any
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("settings: %s: %v makes no sense", e.Field, e.Value)
}

// withDefaults returns the settings with the values that absent ones stand for.
func (s Settings) withDefaults() Settings {
	s.MaxAttempts = max(1, s.MaxAttempts)
	if s.ColdCapacity == 0 {
		s.ColdCapacity = 1
	}
	return s
}

// check returns a *SettingError for the first setting that makes no sense.
func (s *Settings) check() error {
	bad := func(field string, v any) error { return &SettingError{Field: field, Value: v} }
	switch {
	case len(s.Classes) == 0:
		return bad("Classes", "none")
	case s.Agents < 1:
		return bad("Agents", s.Agents)
	case s.AgentIndex < 0 || s.AgentIndex >= s.Agents:
		return bad("AgentIndex", s.AgentIndex)
	case s.MaxAttempts < 0:
		return bad("MaxAttempts", s.MaxAttempts)
	case !(s.ColdCapacity >= 0 && s.ColdCapacity <= 1):
		return bad("ColdCapacity", s.ColdCapacity)
	case !(s.ColdOverloadMultiple >= 0):
		return bad("ColdOverloadMultiple", s.ColdOverloadMultiple)
	case s.Weights > WeightsLive:
		return bad("Weights", s.Weights)
	case s.LoadReports > LoadReportsWithHealthChecks:
		return bad("LoadReports", s.LoadReports)
	}
	for _, f := range []struct {
		name string
		n    int
	}{{"Zones", s.Zones}, {"Kinds", s.Kinds}, {"Tier", s.Tier}, {"Tiers", s.Tiers}, {"Zone", s.Zone},
		{"MaxOpen", s.MaxOpen}, {"StreamsPerConn", s.StreamsPerConn}} {
		if f.n < 0 {
			return bad(f.name, f.n)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"WeightOverall", s.WeightOverall}, {"WeightWorstWindow", s.WeightWorstWindow}, {"WeightWorstClass", s.WeightWorstClass},
		{"WeightWorstTenant", s.WeightWorstTenant}, {"OverQuotaPriority", s.OverQuotaPriority}, {"CrossZonePrice", s.CrossZonePrice},
		{"WastePrice", s.WastePrice}, {"LateFailPrice", s.LateFailPrice}, {"HealthCheckPrice", s.HealthCheckPrice},
		{"GossipPrice", s.GossipPrice}, {"HandshakePrice", s.HandshakePrice}, {"ConnectionPrice", s.ConnectionPrice},
		{"PollPrice", s.PollPrice}, {"MigrationPrice", s.MigrationPrice}, {"OriginPrice", s.OriginPrice},
		{"FleetPrice", s.FleetPrice}} {
		if !(f.v >= 0) {
			return bad(f.name, f.v)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Share >= 0) {
			return bad(fmt.Sprintf("Tenants[%d].Share", i), t.Share)
		}
		if !(t.Quota >= 0) {
			return bad(fmt.Sprintf("Tenants[%d].Quota", i), t.Quota)
		}
	}
	for _, f := range []struct {
		name string
		d    time.Duration
	}{{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout}, {"IdleClose", s.IdleClose},
		{"DrainGrace", s.DrainGrace}, {"ResponseGrace", s.ResponseGrace}, {"PollWithin", s.PollWithin}, {"PollSpread", s.PollSpread},
		{"RefusedPollSpread", s.RefusedPollSpread},
		{"SlowStart", s.SlowStart}, {"ColdOverloadWindow", s.ColdOverloadWindow}, {"KeyQuietPeriod", s.KeyQuietPeriod},
		{"CPUPerSecond", s.CPUPerSecond}, {"CPUPerRequest", s.CPUPerRequest}} {
		if f.d < 0 {
			return bad(f.name, f.d)
		}
	}
	for i, c := range s.Classes {
		at := func(field string) string { return fmt.Sprintf("Classes[%d].%s", i, field) }
		switch {
		case c.Objective <= 0:
			return bad(at("Objective"), c.Objective)
		case c.Deadline <= 0:
			return bad(at("Deadline"), c.Deadline)
		case !(c.Priority >= 0):
			return bad(at("Priority"), c.Priority)
		case !(c.LatePriority >= 0):
			return bad(at("LatePriority"), c.LatePriority)
		case !(c.ObjectiveStretch >= 0):
			return bad(at("ObjectiveStretch"), c.ObjectiveStretch)
		case c.Idempotency > NotIdempotent:
			return bad(at("Idempotency"), c.Idempotency)
		case c.DedupScope > DedupInCell:
			return bad(at("DedupScope"), c.DedupScope)
		case c.DedupWindow < 0:
			return bad(at("DedupWindow"), c.DedupWindow)
		}
	}
	return nil
}
