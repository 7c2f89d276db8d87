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

// notReported marks a value that a load report does not hold.
const notReported = -1

// textPrefix starts a report in the one format that endpoints use.
const textPrefix = "TEXT "

// aliases gives the simulator's name for each value that real endpoints report by another one.
var aliases = map[string]string{
	"inflight":   "outstanding",
	"queue":      "backlog",
	"util":       "utilization",
	"latency_ms": "recent_ms",
	"qps":        "throughput",
	"eps":        "errors_per_s",
}

// Parse reads a report as endpoints write it: "TEXT name=value, name=value". Text that can't be read in full is no
// report, since one wrong figure would spoil running means.
func Parse(text string) balancer.LoadReport {
	list, ok := strings.CutPrefix(strings.TrimSpace(text), textPrefix)
	if !ok {
		return balancer.LoadReport{}
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(list, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || !(value >= 0) || math.IsInf(value, 0) {
			return balancer.LoadReport{}
		}
		values[name] = value
	}
	for alias, name := range aliases {
		if value, ok := values[alias]; ok {
			values[name] = value
		}
	}
	return FromValues(values)
}

// FromValues converts a report whose values have the simulator's names. No values mean no report.
func FromValues(values map[string]float64) balancer.LoadReport {
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
	if ms, ok := values["recent_ms"]; ok {
		report.Service = clock.Milliseconds(ms)
	}
	return report
}
