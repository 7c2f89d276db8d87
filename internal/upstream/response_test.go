package upstream

import (
	"net/textproto"
	"testing"

	"ashshunt/internal/protocol"
)

// A malformed load report counts as no report.
func TestMalformedLoadReports(t *testing.T) {
	for _, text := range []string{"", "inflight=7", "TEXT inflight=NaN", "TEXT inflight=1, queue=+Inf", "TEXT util=-1",
		"TEXT inflight=1e999", "TEXT inflight", "TEXT \x01"} {
		response := Response{Header: textproto.MIMEHeader{protocol.HeaderLoadReport: {text}}}
		if report := response.LoadReport(); report.Valid {
			t.Errorf("load report %q: got valid report %+v, want an invalid one", text, report)
		}
	}
}
