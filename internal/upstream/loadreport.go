package upstream

import (
	"ashshunt/balancer"
	"ashshunt/internal/simwire"
	"math"
	"strconv"
	"strings"
)

const loadHeader = "X-Load-Report"

// LoadReport reads the load report of a response as endpoints write it: TEXT name=value, name=value.
func (r Response) LoadReport() balancer.LoadReport {
	text, ok := strings.CutPrefix(strings.TrimSpace(r.Header.Get(loadHeader)), "TEXT ")
	if !ok {
		return balancer.LoadReport{}
	}
	usage := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return balancer.LoadReport{} // what can't be read is no report; one such figure would spoil running means
		}
		usage[name] = v
	}
	return simwire.LoadReport(usage)
}
