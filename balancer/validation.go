package balancer

import (
	"fmt"
	"time"
)

// SettingError is the error for a setting with an invalid value.
type SettingError struct {
	Field string // path of the field in Settings, such as "Agents" or "Classes[0].Objective"
	Value any    // the invalid value
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("settings: %s: invalid value %v", e.Field, e.Value)
}

// withDefaults returns the settings with defaults for absent values.
func (s Settings) withDefaults() Settings {
	s.MaxAttempts = max(1, s.MaxAttempts)
	if s.SlowStartMinCapacity == 0 {
		s.SlowStartMinCapacity = 1
	}
	return s
}

// validate returns a *SettingError for the first invalid setting.
func (s *Settings) validate() error {
	groups := []func() error{
		s.validateBounds, s.validateCounts, s.validatePrices, s.validateTenants, s.validateTimes,
	}
	for _, validate := range groups {
		if err := validate(); err != nil {
			return err
		}
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

// validateBounds validates single settings, most of which have another lower bound than 0 or an upper bound.
func (s *Settings) validateBounds() error {
	switch {
	case len(s.Classes) == 0:
		return &SettingError{"Classes", "[] (at least one class is required)"}
	case s.Agents < 1:
		return &SettingError{"Agents", s.Agents}
	case s.AgentIndex < 0 || s.AgentIndex >= s.Agents:
		return &SettingError{"AgentIndex", s.AgentIndex}
	case s.MaxAttempts < 0:
		return &SettingError{"MaxAttempts", s.MaxAttempts}
	case !isFraction(s.SlowStartMinCapacity):
		return &SettingError{"SlowStartMinCapacity", s.SlowStartMinCapacity}
	case !isNotNegative(s.SlowStartOverloadMultiple):
		return &SettingError{"SlowStartOverloadMultiple", s.SlowStartOverloadMultiple}
	case s.Weights > WeightsLive:
		return &SettingError{"Weights", s.Weights}
	case s.LoadReports > LoadReportsWithHealthChecks:
		return &SettingError{"LoadReports", s.LoadReports}
	}
	return nil
}

func (s *Settings) validateCounts() error {
	return validateNotNegative([]namedValue[int]{
		{"Zones", s.Zones}, {"Kinds", s.Kinds}, {"Tier", s.Tier}, {"Tiers", s.Tiers}, {"Zone", s.Zone},
		{"MaxOpen", s.MaxOpen}, {"StreamsPerConn", s.StreamsPerConn},
	})
}

func (s *Settings) validatePrices() error {
	return validateNotNegative([]namedValue[float64]{
		{"GoalOverall", s.GoalOverall}, {"GoalWorstWindow", s.GoalWorstWindow},
		{"GoalWorstClass", s.GoalWorstClass}, {"GoalWorstTenant", s.GoalWorstTenant},
		{"OverQuotaPriority", s.OverQuotaPriority}, {"CrossZonePrice", s.CrossZonePrice},
		{"WastePrice", s.WastePrice}, {"LateFailPrice", s.LateFailPrice},
		{"HealthCheckPrice", s.HealthCheckPrice}, {"GossipPrice", s.GossipPrice},
		{"HandshakePrice", s.HandshakePrice}, {"ConnectionPrice", s.ConnectionPrice},
		{"PollPrice", s.PollPrice}, {"MigrationPrice", s.MigrationPrice}, {"OriginPrice", s.OriginPrice},
		{"FleetPrice", s.FleetPrice},
	})
}

func (s *Settings) validateTenants() error {
	for i, tenant := range s.Tenants {
		if !isNotNegative(tenant.Share) {
			return &SettingError{fmt.Sprintf("Tenants[%d].Share", i), tenant.Share}
		}
		if !isNotNegative(tenant.Quota) {
			return &SettingError{fmt.Sprintf("Tenants[%d].Quota", i), tenant.Quota}
		}
	}
	return nil
}

func (s *Settings) validateTimes() error {
	return validateNotNegative([]namedValue[time.Duration]{
		{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout},
		{"IdleClose", s.IdleClose}, {"DrainGrace", s.DrainGrace}, {"ResponseGrace", s.ResponseGrace},
		{"PollWithin", s.PollWithin}, {"SubscribeSpread", s.SubscribeSpread},
		{"RefusedSubscribeSpread", s.RefusedSubscribeSpread},
		{"SlowStartDuration", s.SlowStartDuration}, {"SlowStartOverloadWindow", s.SlowStartOverloadWindow},
		{"KeyQuietPeriod", s.KeyQuietPeriod}, {"CPUPerSecond", s.CPUPerSecond},
		{"CPUPerRequest", s.CPUPerRequest},
	})
}

// validate returns a *SettingError for the first invalid setting of the class. path precedes the name of the
// field in the error, such as "Classes[0].".
func (c *Class) validate(path string) error {
	switch {
	case c.Objective <= 0:
		return &SettingError{path + "Objective", c.Objective}
	case c.Deadline <= 0:
		return &SettingError{path + "Deadline", c.Deadline}
	case !isNotNegative(c.Priority):
		return &SettingError{path + "Priority", c.Priority}
	case !isNotNegative(c.LatePriority):
		return &SettingError{path + "LatePriority", c.LatePriority}
	case !isNotNegative(c.ObjectiveStretch):
		return &SettingError{path + "ObjectiveStretch", c.ObjectiveStretch}
	case c.Idempotency > NotIdempotent:
		return &SettingError{path + "Idempotency", c.Idempotency}
	case c.DedupScope > DedupInCell:
		return &SettingError{path + "DedupScope", c.DedupScope}
	case c.DedupWindow < 0:
		return &SettingError{path + "DedupWindow", c.DedupWindow}
	}
	return nil
}

// namedValue is the value of a setting and the name of its field.
type namedValue[T int | float64 | time.Duration] struct {
	field string
	value T
}

// validateNotNegative returns a *SettingError for the first value that is negative or NaN.
func validateNotNegative[T int | float64 | time.Duration](values []namedValue[T]) error {
	for _, v := range values {
		if !isNotNegative(v.value) {
			return &SettingError{v.field, v.value}
		}
	}
	return nil
}

// isNotNegative reports whether v is at least 0. It is false for NaN.
func isNotNegative[T int | float64 | time.Duration](v T) bool { return v >= 0 }

// isFraction reports whether v is between 0 and 1. It is false for NaN.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }
