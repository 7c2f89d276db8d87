package simwire

import (
	"maps"

	"ashshunt/balancer"
)

// notReported marks a value that a load report does not hold.
const notReported = -1

// loadReportAliases gives the simulator's name for each value that real endpoints report by another one.
var loadReportAliases = map[string]string{
	"inflight":   "outstanding",
	"queue":      "backlog",
	"util":       "utilization",
	"latency_ms": "recent_ms",
	"qps":        "throughput",
	"eps":        "errors_per_s",
}

// LoadReport translates a load report whose values have the simulator's names or those that real endpoints use.
func LoadReport(values map[string]float64) balancer.LoadReport {
	named := maps.Clone(values)
	for alias, name := range loadReportAliases {
		if v, ok := values[alias]; ok {
			named[name] = v
		}
	}
	return loadReport(named)
}

// loadReport translates a load report whose values have the simulator's names.
func loadReport(values map[string]float64) balancer.LoadReport {
	value := func(name string) float64 {
		if v, ok := values[name]; ok {
			return v
		}
		return notReported
	}
	report := balancer.LoadReport{
		Valid:        values != nil,
		InFlight:     value("outstanding"),
		Queue:        value("backlog"),
		Utilization:  value("utilization"),
		Throughput:   value("throughput"),
		Service:      notReported,
		ErrorsPerSec: value("errors_per_s"),
	}
	if v, ok := values["recent_ms"]; ok {
		report.Service = duration(v)
	}
	return report
}
