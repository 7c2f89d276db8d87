// Package loadreport reads the load reports of endpoints, which come on real responses and in the simulator's messages,
// and maps the names of their values to the decision module's terms.
package loadreport

import (
	"math"
	"strconv"
	"strings"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
)

// notReported marks a value that a load report does not hold. As a service time it is a negative duration.
const notReported = -1

// textPrefix starts a report in the one format that endpoints use.
const textPrefix = "TEXT "

// The values of a report, by their names in the simulator's messages and in the settings.
const (
	InFlight        = "outstanding"
	Queue           = "backlog"
	Utilization     = "utilization"
	ServiceTimeMs   = "recent_ms"
	Throughput      = "throughput"
	ErrorsPerSecond = "errors_per_s"
)

// canonicalNames maps the names that real endpoints use to the simulator's. A report may use either.
var canonicalNames = map[string]string{
	"inflight":   InFlight,
	"queue":      Queue,
	"util":       Utilization,
	"latency_ms": ServiceTimeMs,
	"qps":        Throughput,
	"eps":        ErrorsPerSecond,
}

// Parse parses a report as endpoints write it: "TEXT name=value, name=value". Text that can't be parsed in full is no
// report, since one wrong figure would spoil running means.
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

// parseValue parses "name=value" and reports whether the value is a finite number that is not negative.
func parseValue(assignment string) (name string, value float64, ok bool) {
	name, number, _ := strings.Cut(assignment, "=")
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return "", 0, false
	}
	return name, value, true
}

// FromValues converts a report whose values have the simulator's names. A nil map means that there is no report.
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
