package upstream

import (
	"ashshunt/balancer"
	"ashshunt/internal/loadreport"
	"ashshunt/internal/protocol"
)

// LoadReport reads the load report that the response carries, if any.
func (r Response) LoadReport() balancer.LoadReport {
	return loadreport.Parse(r.Header.Get(protocol.HeaderLoadReport))
}
