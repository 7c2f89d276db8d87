package upstream

import (
	"net/textproto"
	"testing"

	"ashshunt/internal/protocol"
)

// A load report that can't be read counts as none.
func TestMalformedLoadReports(t *testing.T) {
	for _, text := range []string{"", "inflight=7", "TEXT inflight=NaN", "TEXT inflight=1, queue=+Inf", "TEXT util=-1",
		"TEXT inflight=1e999", "TEXT inflight", "TEXT \x01"} {
		response := Response{Header: textproto.MIMEHeader{protocol.HeaderLoadReport: {text}}}
		if report := response.LoadReport(); report.Valid {
			t.Errorf("%q was read as %+v", text, report)
		}
	}
}
