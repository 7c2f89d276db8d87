// Package loadreport parses the load reports of endpoints, from responses and from messages of the simulator, and
// converts them to the type of the decision module.
package loadreport

import (
	"math"
	"strconv"
	"strings"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
)

// notReported is the value of a field that a load report does not have. As a service time it is a negative duration.
const notReported = -1

// textPrefix is the prefix of reports in the text format, the only format that endpoints use.
const textPrefix = "TEXT "

// Names of the values of a report in the simulator's messages and in the settings.
const (
	InFlight        = "outstanding"
	Queue           = "backlog"
	Utilization     = "utilization"
	ServiceTimeMs   = "recent_ms"
	Throughput      = "throughput"
	ErrorsPerSecond = "errors_per_s"
)

// canonicalNames maps the value names of endpoints to those of the simulator. A text report may use either.
var canonicalNames = map[string]string{
	"inflight":   InFlight,
	"queue":      Queue,
	"util":       Utilization,
	"latency_ms": ServiceTimeMs,
	"qps":        Throughput,
	"eps":        ErrorsPerSecond,
}

// Parse parses a report in the text format, "TEXT name=value, name=value". If any part of it is invalid, Parse returns
// an invalid report, since a single wrong value would distort moving averages.
func Parse(text string) balancer.LoadReport {
	list, ok := strings.CutPrefix(strings.TrimSpace(text), textPrefix)
	if !ok {
		return balancer.LoadReport{}
	}
	values := map[string]float64{}
	for assignment := range strings.SplitSeq(list, ",") {
		name, value, ok := parseValue(strings.TrimSpace(assignment))
		if !ok {
			return balancer.LoadReport{}
		}
		values[name] = value
	}
	for endpointName, name := range canonicalNames {
		if value, ok := values[endpointName]; ok {
			values[name] = value
		}
	}
	return FromValues(values)
}

// parseValue parses "name=value". ok reports whether the value is a finite, non-negative number.
func parseValue(assignment string) (name string, value float64, ok bool) {
	name, number, _ := strings.Cut(assignment, "=")
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return "", 0, false
	}
	return name, value, true
}

// FromValues returns the report with the given values, whose keys are the constants InFlight to ErrorsPerSecond. For a
// nil map, the report is invalid.
func FromValues(values map[string]float64) balancer.LoadReport {
	value := func(name string) float64 {
		if v, ok := values[name]; ok {
			return v
		}
		return notReported
	}
	report := balancer.LoadReport{
		Valid:        values != nil,
		InFlight:     value(InFlight),
		Queue:        value(Queue),
		Utilization:  value(Utilization),
		Throughput:   value(Throughput),
		Service:      notReported,
		ErrorsPerSec: value(ErrorsPerSecond),
	}
	if ms, ok := values[ServiceTimeMs]; ok {
		report.Service = clock.FromMilliseconds(ms)
	}
	return report
}
