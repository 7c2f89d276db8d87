package simwire

import (
	"bytes"
	"testing"
	"time"

	"ashshunt/balancer"
)

func TestEncodeActions(t *testing.T) {
	tests := []struct {
		action balancer.Action
		want   string
	}{
		{balancer.Send{Request: "d0", Endpoint: "b", Timeout: 80500 * time.Microsecond},
			`{"msg":"Try","Agent":4,"Job":"d0","Backend":"b","PatienceMs":80.5}`},
		{balancer.Send{Request: "d0", Endpoint: "b"}, `{"msg":"Try","Agent":4,"Job":"d0","Backend":"b"}`},
		{balancer.Cancel{Request: "d0", Attempt: 2}, `{"msg":"Cancel","Agent":4,"Job":"d0","SendNo":2}`},
		{balancer.Reject{Request: "d0", RetryAfter: 5 * ms}, `{"msg":"SayNo","Agent":4,"Job":"d0","WaitMs":5}`},
		{balancer.Reject{Request: "d0"}, `{"msg":"SayNo","Agent":4,"Job":"d0"}`},
		{balancer.Fail{Request: `q"\`}, `{"msg":"DropRequest","Agent":4,"Job":"q\"\\"}`},
		{balancer.SetTimer{After: ms / 4, Token: 9}, `{"msg":"SetTimer","Agent":4,"SpanMs":0.25,"Cookie":9}`},
		{balancer.HealthCheck{Endpoint: "b"}, `{"msg":"Test","Agent":4,"Backend":"b"}`},
		{balancer.Gossip{Data: []byte("hi 7")}, `{"msg":"WritePeer","Agent":4,"Whom":null,"Msg":"68692037"}`},
		{balancer.Gossip{Data: []byte("hi 7"), One: true, To: 2},
			`{"msg":"WritePeer","Agent":4,"Whom":2,"Msg":"68692037"}`},
		{balancer.Unsubscribe{}, `{"msg":"KeepInformed","Agent":4,"Enable":false}`},
		{balancer.PollEndpoints{}, `{"msg":"ListAll","Agent":4}`},
		{balancer.CloseIdle{Endpoint: "b"}, `{"msg":"CloseIdle","Agent":4,"Backend":"b"}`},
		{balancer.LogMessage{Text: "two known"}, `{"msg":"Trace","Agent":4,"Msg":"two known"}`},
		{balancer.Subscribe{}, `{"msg":"KeepInformed","Agent":4,"Enable":true}`},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		w := NewWriter(&out)
		if err := w.WriteActions(4, []balancer.Action{tt.action}); err != nil {
			t.Fatal(err)
		}
		if err := w.FinishReply(); err != nil {
			t.Fatal(err)
		}
		if want := tt.want + "\n{\"msg\":\"Eor\"}\n"; out.String() != want {
			t.Errorf("%#v:\n got %swant %s", tt.action, out.String(), want)
		}
	}
}
