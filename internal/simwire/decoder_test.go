package simwire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/loadreport"
)

const ms = time.Millisecond

// batchOf returns the text of a batch with the given messages.
func batchOf(lines ...string) string {
	return "{\"msg\":\"Frame\",\"ClockMs\":1500.25}\n" + strings.Join(lines, "\n") + "\n{\"msg\":\"End\"}\n"
}

// Each kind of message is decoded into its event, and unknown fields are ignored.
func TestDecodeEvents(t *testing.T) {
	const list = `{"msg":"DefineList","Sheet":3,"Items":[` +
		`{"Backend":"10.0.0.1:80","Availability":"on","Rating":1.5,"Block":2,"LaunchedMs":900,"Sku":1,"Dc":1},` +
		`{"Backend":"10.0.0.2:80","Availability":"fading"},{"Backend":"10.0.0.3:80","Availability":"off"}]}`
	entries := []balancer.Endpoint{
		{ID: "10.0.0.1:80", Weight: 1.5, Cell: 2, StartedAt: 900 * ms, Kind: 1, Zone: 1},
		{ID: "10.0.0.2:80", State: balancer.Draining}, {ID: "10.0.0.3:80", State: balancer.Removed}}
	tests := []struct {
		line string
		want balancer.Event
	}{
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":240.5,"WorkHintMs":12,"StateBits":7,` +
			`"Project":2,"Item":"91f0"}`,
			balancer.Request{ID: "d0", Class: 1, Timeout: 240500 * time.Microsecond, Work: 12 * ms, ClientRetry: true,
				Write: true, Tenant: 2, Key: "91f0"}},
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":240,"WorkHintMs":12,"Later":{"x":1}}`,
			balancer.Request{ID: "d0", Timeout: 240 * ms}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"pass","WaitTimeMs":18.5,"Backend":"b","SendNo":2,` +
			`"Ended":true,"Usage":{"backlog":4,"recent_ms":7,"errors_per_s":0.5,"outstanding":6,"utilization":0.75,` +
			`"throughput":90,"later":1}}`,
			balancer.Outcome{Request: "d0", Attempt: 2, Endpoint: "b", Latency: 18500 * time.Microsecond, Done: true,
				LoadReport: balancer.LoadReport{Valid: true, InFlight: 6, Queue: 4, Utilization: 0.75, Throughput: 90,
					Service: 7 * ms, ErrorsPerSec: 0.5}}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"stale_send","WaitTimeMs":0,"Backend":"b","SendNo":0}`,
			balancer.Outcome{Request: "d0", Endpoint: "b", Result: balancer.NotSent,
				LoadReport: loadreport.FromValues(nil)}},
		{`{"msg":"Expired","Agent":3,"Job":"d0"}`, balancer.Abandoned{Request: "d0"}},
		{`{"msg":"Reminder","Agent":3,"Cookie":9223372036854775807}`, balancer.TimerFired{Token: 1<<63 - 1}},
		{`{"msg":"Streaming","Agent":3,"Job":"d0","WaitTimeMs":1,"SendNo":1,"Backend":"b"}`,
			balancer.StreamStarted{Request: "d0", Attempt: 1}},
		{`{"msg":"Peer","Agent":3,"From":2,"Msg":"68692037"}`,
			balancer.GossipMessage{From: 2, Data: []byte("hi 7")}},
		{`{"msg":"ProbeDone","Agent":3,"Backend":"b","Outcome":"no_route","WaitTimeMs":2}`,
			balancer.HealthCheckResult{Endpoint: "b", Result: balancer.ConnectFailed, Latency: 2 * ms,
				LoadReport: loadreport.FromValues(nil)}},
		{`{"msg":"View","Agent":3,"How":"error","Index":4,"Sheet":0}`,
			balancer.EndpointList{Kind: balancer.ListFailed}},
		{list + "\n" + `{"msg":"View","Agent":3,"How":"diff","Index":4,"Sheet":3}`,
			balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: entries}},
	}
	for _, tt := range tests {
		b, err := NewReader(strings.NewReader(batchOf(tt.line))).Next()
		if err != nil {
			t.Errorf("%s: got error %v", tt.line, err)
			continue
		}
		if b.Now != 1500250*time.Microsecond || len(b.Events) != 1 || b.Events[0].Agent != 3 {
			t.Errorf("%s: got batch %+v, want one event at 1500.25 ms for instance 3", tt.line, b)
			continue
		}
		if got := b.Events[0].Event; !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s:\n got %#v\nwant %#v", tt.line, got, tt.want)
		}
	}
}
