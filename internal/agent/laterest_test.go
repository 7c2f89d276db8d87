package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// cutRun is a run of a single request whose length is 0, and whose body is sent when the test calls sendRest.
type cutRun struct {
	server    *testutil.Server
	recorder  requestRecorder
	client    net.Conn
	submitted chan struct{} // closed when the decision module gets the request
	arrived   chan struct{} // closed when the body has arrived at the agent's machine
}

// startCutRun starts an agent with a scripted decision module, and sends the request. respond is the handler of
// endpoint s0.
func startCutRun(t *testing.T, respond func(*cutRun, net.Conn) bool,
	module func(*cutRun, balancer.Event) []balancer.Action) *cutRun {
	t.Helper()
	run := &cutRun{recorder: newRequestRecorder(), submitted: make(chan struct{}), arrived: make(chan struct{})}
	run.server = testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		return respond(run, conn)
	})
	a, _ := startScripted(t, newConfig(t, run.server), func(_ time.Duration, event balancer.Event) []balancer.Action {
		run.recorder.record(event)
		if _, ok := event.(balancer.Request); ok {
			close(run.submitted)
		}
		return module(run, event)
	})
	run.client = testutil.Dial(t, a.Addr(), postPart(0, 0)(id))
	testutil.Receive(t, run.submitted)
	return run
}

// sendRest sends the body, and returns the status of the only response.
func (r *cutRun) sendRest(t *testing.T) int {
	t.Helper()
	testutil.Write(t, r.client, followedBody)
	testutil.WaitFor(t, "the arrival of the body", func() bool { return !socket.HasUnacknowledged(r.client) })
	close(r.arrived)
	in := bufio.NewReader(r.client)
	status := testutil.ReadResponse(t, in).StatusCode
	if behind, _ := io.ReadAll(in); len(behind) > 0 { // an error means that the connection has ended
		t.Errorf("got %q behind the response, want the end of the connection", behind)
	}
	return status
}

// send is the action that sends the request to endpoint s0.
var send = []balancer.Action{balancer.Send{Request: id, Endpoint: "s0"}}

// No attempt must start once the bytes behind a request have shown that it may be cut, whatever it has waited for
// before: the decision module, or the outcome of an earlier attempt.
func TestNoAttemptAfterLateRest(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name     string
		module   func(*cutRun, balancer.Event) []balancer.Action
		outcomes []balancer.Result
	}{
		{"first attempt after a wait", sendLater, []balancer.Result{balancer.NotSent}},
		{"retry", retryRejected, []balancer.Result{balancer.Rejected, balancer.NotSent}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			run := startCutRun(t, rejectLater, tt.module)
			if len(tt.outcomes) > 1 {
				testutil.Receive(t, run.server.Received)
			}
			if status := run.sendRest(t); status != http.StatusBadRequest {
				t.Errorf("got status %d, want 400", status)
			}
			run.expectOutcomes(t, tt.outcomes)
			if n := len(run.server.Received); n > 0 {
				t.Errorf("got %d attempts after the body arrived, want none", n)
			}
		})
	}
}

// rejectLater is the handler of an endpoint that rejects the request when its body has arrived.
func rejectLater(r *cutRun, conn net.Conn) bool {
	<-r.arrived
	testutil.Respond(conn, http.StatusServiceUnavailable, "X-Rejected: 1\r\n", "")
	return true
}

// sendLater is a scripted decision module that sends the request when its body has arrived.
func sendLater(r *cutRun, event balancer.Event) []balancer.Action {
	if _, ok := event.(balancer.Request); ok {
		<-r.arrived
		return send
	}
	return rejectAfter(balancer.NotSent, event)
}

// retryRejected is a scripted decision module that sends the request, and again if an endpoint has rejected it.
func retryRejected(_ *cutRun, event balancer.Event) []balancer.Action {
	switch event := event.(type) {
	case balancer.Request:
		return send
	case balancer.Outcome:
		if event.Result == balancer.Rejected {
			return send
		}
	}
	return rejectAfter(balancer.NotSent, event)
}

// expectOutcomes verifies the outcomes of the attempts. The request may be abandoned before the last one is started,
// which is not sent then.
func (r *cutRun) expectOutcomes(t *testing.T, outcomes []balancer.Result) {
	t.Helper()
	for _, want := range outcomes {
		select {
		case outcome := <-r.recorder.outcomes:
			if outcome.Result != want {
				t.Errorf("got outcome %v, want %v", outcome.Result, want)
			}
		case <-r.recorder.abandoned:
			return
		case <-time.After(testutil.Timeout):
			t.Fatalf("got neither outcome %v nor an abandoned request", want)
		}
	}
}

// rejectAfter rejects the request after an attempt with the given result.
func rejectAfter(result balancer.Result, event balancer.Event) []balancer.Action {
	if outcome, ok := event.(balancer.Outcome); ok && outcome.Result == result && !outcome.Done {
		return []balancer.Action{balancer.Reject{Request: outcome.Request}}
	}
	return nil
}

// A rejection promises that a repeat is harmless. A cut request must get an error that says what is wrong with it.
func TestCutRequestIsNotRejectedAsValid(t *testing.T) {
	t.Parallel()
	run := startCutRun(t, nil, func(r *cutRun, event balancer.Event) []balancer.Action {
		if request, ok := event.(balancer.Request); ok {
			<-r.arrived
			return []balancer.Action{balancer.Reject{Request: request.ID}}
		}
		return nil
	})
	if status := run.sendRest(t); status != http.StatusBadRequest {
		t.Errorf("got status %d, want 400", status)
	}
}

// A cut request must get its error while its attempt is in flight, and must be abandoned.
func TestCutRequestIsAbandoned(t *testing.T) {
	t.Parallel()
	hang := func(_ *cutRun, conn net.Conn) bool { return testutil.Hang(conn, nil, nil) }
	run := startCutRun(t, hang, func(_ *cutRun, event balancer.Event) []balancer.Action {
		if _, ok := event.(balancer.Request); ok {
			return send
		}
		return nil
	})
	testutil.Receive(t, run.server.Received)
	if status := run.sendRest(t); status != http.StatusBadRequest {
		t.Errorf("got status %d, want 400", status)
	}
	testutil.Receive(t, run.recorder.abandoned)
}
