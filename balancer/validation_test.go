package balancer_test

import (
	"math"
	"strings"
	"testing"

	"ashshunt/balancer"
)

// The error for an invalid setting contains the path of its field and its value.
func TestNewRejectsSettings(t *testing.T) {
	tests := []struct {
		name string
		edit func(*balancer.Settings)
		want string
	}{
		{"no classes", func(s *balancer.Settings) { s.Classes = nil },
			"Classes: invalid value [] (at least one class is required)"},
		{"no agents", func(s *balancer.Settings) { s.Agents = 0 }, "Agents: invalid value 0"},
		{"agent index outside the count", func(s *balancer.Settings) { s.AgentIndex = 1 },
			"AgentIndex: invalid value 1"},
		{"agent index below zero", func(s *balancer.Settings) { s.AgentIndex = -1 },
			"AgentIndex: invalid value -1"},
		{"attempt limit below zero", func(s *balancer.Settings) { s.MaxAttempts = -2 },
			"MaxAttempts: invalid value -2"},
		{"drain grace below zero", func(s *balancer.Settings) { s.DrainGrace = -ms },
			"DrainGrace: invalid value -1ms"},
		{"slow start capacity above one", func(s *balancer.Settings) { s.SlowStartMinCapacity = 1.5 },
			"SlowStartMinCapacity: invalid value 1.5"},
		{"unknown idempotency", func(s *balancer.Settings) { s.Classes[2].Idempotency = 9 },
			"Classes[2].Idempotency: invalid value 9"},
		{"unknown scope", func(s *balancer.Settings) { s.Classes[1].DedupScope = 7 },
			"Classes[1].DedupScope: invalid value 7"},
		{"no objective", func(s *balancer.Settings) { s.Classes[0].Objective = 0 },
			"Classes[0].Objective: invalid value 0s"},
		{"key quiet period below zero", func(s *balancer.Settings) { s.KeyQuietPeriod = -ms },
			"KeyQuietPeriod: invalid value -1ms"},
		{"limit of open requests below zero", func(s *balancer.Settings) { s.MaxOpen = -1 },
			"MaxOpen: invalid value -1"},
		{"price not a number", func(s *balancer.Settings) { s.WastePrice = math.NaN() },
			"WastePrice: invalid value NaN"},
		{"price below zero", func(s *balancer.Settings) { s.GossipPrice = -1 },
			"GossipPrice: invalid value -1"},
		{"tenant quota below zero", func(s *balancer.Settings) { s.Tenants = []balancer.Tenant{{Quota: -1}} },
			"Tenants[0].Quota: invalid value -1"},
		{"unknown load report source", func(s *balancer.Settings) { s.LoadReports = 9 },
			"LoadReports: invalid value 9"},
		{"unknown weights", func(s *balancer.Settings) { s.Weights = 9 }, "Weights: invalid value 9"},
		{"objective stretch below zero", func(s *balancer.Settings) { s.Classes[0].ObjectiveStretch = -1 },
			"Classes[0].ObjectiveStretch: invalid value -1"},
		{"deduplication window below zero", func(s *balancer.Settings) { s.Classes[3].DedupWindow = -ms },
			"Classes[3].DedupWindow: invalid value -1ms"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			tt.edit(&s)
			if _, err := balancer.New(s, 1); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one with %q", err, tt.want)
			}
		})
	}
}
