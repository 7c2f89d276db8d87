package upstream

import (
	"math"
	"strconv"
	"strings"

	"ashshunt/balancer"
	"ashshunt/internal/simwire"
)

const loadReportHeader = "X-Load-Report"

// LoadReport reads the response's load report, as endpoints write it: TEXT name=value, name=value. One that can't be
// read, or has a figure that would spoil a running mean, counts as none.
func (r Response) LoadReport() balancer.LoadReport {
	text, ok := strings.CutPrefix(strings.TrimSpace(r.Header.Get(loadReportHeader)), "TEXT ")
	if !ok {
		return balancer.LoadReport{}
	}
	usage := map[string]float64{}
	for field := range strings.SplitSeq(text, ",") {
		name, figure, _ := strings.Cut(strings.TrimSpace(field), "=")
		value, err := strconv.ParseFloat(figure, 64)
		if err != nil || !(value >= 0) || math.IsInf(value, 0) { // NaN is not >= 0
			return balancer.LoadReport{}
		}
		usage[name] = value
	}
	return simwire.LoadReport(usage)
}
