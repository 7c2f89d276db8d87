package config

import (
	"errors"
	"strings"

	"ashshunt/balancer"
)

// wireKeys maps the names of fields to paths within the settings object, for errors of balancer.New. It contains the
// fields of balancer.Settings, balancer.Class and balancer.Tenant that have another name in the object. The paths of
// class and tenant fields are relative. SubscribeSpread and RefusedSubscribeSpread are absent, because the agent itself
// sets them.
var wireKeys = map[string]string{
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
	"GoalOverall":               "Goal.Whole",
	"GoalWorstWindow":           "Goal.WorstWindow",
	"GoalWorstClass":            "Goal.WorstClass",
	"GoalWorstTenant":           "Goal.WorstTenant",
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

// WithWireKey returns an error of balancer.New with the path of the setting in the settings object, since the author of
// a configuration does not know the fields of balancer.Settings. It returns errors other than a *balancer.SettingError
// unchanged.
func WithWireKey(err error) error {
	setting, ok := errors.AsType[*balancer.SettingError](err)
	if !ok {
		return err
	}
	return &balancer.SettingError{Field: wirePath(setting.Field), Value: setting.Value}
}

// wirePath translates a path within balancer.Settings, such as "Classes[0].Objective", into a path within the settings
// object.
func wirePath(path string) string {
	elements := strings.Split(path, ".")
	for i, element := range elements {
		name, index, indexed := strings.Cut(element, "[")
		if key, ok := wireKeys[name]; ok {
			name = key
		}
		if indexed {
			name += "[" + index
		}
		elements[i] = name
	}
	return strings.Join(elements, ".")
}
