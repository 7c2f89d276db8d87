package config

import (
	"errors"
	"fmt"
	"strings"

	"ashshunt/balancer"
)

// UnknownWordError reports a setting whose word is none that the agent knows.
type UnknownWordError struct {
	Key  string // the path within the settings object
	What string // what the word names
	Word string
}

func (e *UnknownWordError) Error() string {
	return fmt.Sprintf("%s: unknown %s %q", e.Key, e.What, e.Word)
}

// settingKeys gives the keys of the settings object for the fields of balancer.Settings that are named otherwise.
var settingKeys = map[string]string{
	"Agents":                    "Balancers",
	"AgentIndex":                "Me",
	"Zones":                     "Dcs",
	"Classes":                   "Profiles",
	"Share":                     "Portion",
	"Quota":                     "QuotaPerS",
	"LoadReports":               "Report.Source",
	"Tick":                      "TickMs",
	"MaxAttempts":               "PolicyLimits.TryLimit",
	"MaxOpen":                   "PolicyLimits.MaxOpen",
	"StreamsPerConn":            "PolicyLimits.StreamsPerConn",
	"MaxRetryAfter":             "PolicyLimits.MaxRetryAfterMs",
	"ConnectTimeout":            "PolicyLimits.ConnectTimeoutMs",
	"IdleClose":                 "PolicyLimits.IdleCloseMs",
	"CPUPerSecond":              "PolicyLimits.CpuUsPerS",
	"CPUPerRequest":             "PolicyLimits.CpuUsPerRequest",
	"DrainGrace":                "Contract.DrainGraceMs",
	"ResponseGrace":             "Contract.GraceToAnswerMs",
	"PollWithin":                "Contract.AskWithinMs",
	"SlowStartMinCapacity":      "Contract.ColdFrom",
	"SlowStartDuration":         "Contract.RampTimeMs",
	"SlowStartOverloadMultiple": "Contract.FallMultiple",
	"SlowStartOverloadWindow":   "Contract.FallMs",
	"KeyQuietPeriod":            "Contract.KeyRestMs",
	"WeightOverall":             "Goal.Whole",
	"WeightWorstWindow":         "Goal.WorstWindow",
	"WeightWorstClass":          "Goal.WorstClass",
	"WeightWorstTenant":         "Goal.WorstTenant",
	"OverQuotaPriority":         "OverShareWorth",
	"CrossZonePrice":            "Prices.CrossZone",
	"WastePrice":                "Prices.Waste",
	"LateFailPrice":             "Prices.LateFail",
	"HealthCheckPrice":          "Prices.Probe",
	"GossipPrice":               "Prices.Peer",
	"HandshakePrice":            "Prices.Handshake",
	"ConnectionPrice":           "Prices.Connection",
	"PollPrice":                 "Prices.MembershipMode",
	"MigrationPrice":            "Prices.Moves",
	"OriginPrice":               "Prices.Origin",
	"FleetPrice":                "Prices.Fleet",
	"Objective":                 "AimMs",
	"Deadline":                  "DeadlineMs",
	"Priority":                  "Worth",
	"LatePriority":              "LateValue",
	"ObjectiveStretch":          "AimStretch",
	"Idempotency":               "Semantics",
	"DedupScope":                "Group",
	"DedupWindow":               "WindowMs",
}

// SettingsError words an error of balancer.New by the keys of the settings object, which is what whoever wrote
// the object can look up. Other errors stay as they are.
func SettingsError(err error) error {
	var bad *balancer.SettingError
	if !errors.As(err, &bad) {
		return err
	}
	parts := strings.Split(bad.Field, ".")
	for i, part := range parts {
		name, index, indexed := strings.Cut(part, "[")
		if key, ok := settingKeys[name]; ok {
			name = key
		}
		if indexed {
			name += "[" + index
		}
		parts[i] = name
	}
	return &balancer.SettingError{Field: strings.Join(parts, "."), Value: bad.Value}
}
