package loadreport

import (
	"testing"
	"time"

	"ashshunt/balancer"
)

func TestParse(t *testing.T) {
	const none = notReported
	tests := []struct {
		text string
		want balancer.LoadReport
	}{
		{"TEXT inflight=7, queue=2, util=0.61", balancer.LoadReport{
			Valid: true, InFlight: 7, Queue: 2, Utilization: 0.61, Throughput: none, Service: none, ErrorsPerSec: none,
		}},
		{" TEXT latency_ms=1.5, qps=30, eps=0", balancer.LoadReport{
			Valid: true, InFlight: none, Queue: none, Utilization: none, Throughput: 30,
			Service: 1500 * time.Microsecond, ErrorsPerSec: 0,
		}},
		{"TEXT outstanding=3, later=4", balancer.LoadReport{
			Valid: true, InFlight: 3, Queue: none, Utilization: none, Throughput: none,
			Service: none, ErrorsPerSec: none,
		}},
		{"", balancer.LoadReport{}},
		{"inflight=7", balancer.LoadReport{}},
		{"TEXT inflight", balancer.LoadReport{}},
		{"TEXT inflight=NaN", balancer.LoadReport{}},
		{"TEXT util=-1", balancer.LoadReport{}},
		{"TEXT inflight=1, queue=+Inf", balancer.LoadReport{}},
	}
	for _, tt := range tests {
		if got := Parse(tt.text); got != tt.want {
			t.Errorf("Parse(%q): got %+v, want %+v", tt.text, got, tt.want)
		}
	}
}

func TestFromValuesNil(t *testing.T) {
	if got := FromValues(nil); got.Valid {
		t.Errorf("got valid report %+v, want an invalid one", got)
	}
}
