package upstream

import (
	"ashshunt/balancer"
	"ashshunt/internal/loadreport"
)

const loadReportHeader = "X-Load-Report"

// LoadReport reads the load report that the response carries, if any.
func (r Response) LoadReport() balancer.LoadReport {
	return loadreport.Parse(r.Header.Get(loadReportHeader))
}
