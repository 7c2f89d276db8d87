package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
	"ashshunt/internal/upstream"
)

// disconnectMethod is a way for a client to disconnect.
type disconnectMethod struct {
	name      string
	trailing  string // data that the client sends after its request before it disconnects
	closeConn func(conn *net.TCPConn) error
}

// disconnectMethods are the methods that tests cover. net/http does not detect the end of a connection if further data
// follows the request.
var disconnectMethods = []disconnectMethod{
	{"close", "", (*net.TCPConn).Close},
	{"reset", "", reset},
	{"half-close", "", (*net.TCPConn).CloseWrite},
	{"close after a further byte", "G", (*net.TCPConn).Close},
	{"close after further requests", testutil.RawGet(otherID) + testutil.RawGet(thirdID) + "GET /lo",
		(*net.TCPConn).Close},
	{"reset after further requests", testutil.RawGet(otherID) + testutil.RawGet(thirdID), reset},
	{"close after a flood", strings.Repeat("x", 1<<18), (*net.TCPConn).Close},
}

// reset closes a connection with a TCP reset.
func reset(conn *net.TCPConn) error {
	if err := conn.SetLinger(0); err != nil {
		return err
	}
	return conn.Close()
}

// disconnect disconnects a client.
func (d disconnectMethod) disconnect(t *testing.T, conn net.Conn) {
	t.Helper()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(conn, d.trailing) // may block: the agent need not read all of a flood
	}()
	select {
	case <-sent:
	case <-time.After(50 * time.Millisecond):
	}
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("got a connection of type %T, want *net.TCPConn", conn)
	}
	if err := d.closeConn(tcpConn); err != nil {
		t.Log("disconnect:", err) // the agent may have closed the connection
	}
}

// waitForNotSent waits for an outcome, which must be NotSent, and checks that the server has received nothing.
func waitForNotSent(t *testing.T, outcomes <-chan balancer.Outcome, server *testutil.Server) {
	t.Helper()
	if outcome := testutil.Receive(t, outcomes); outcome.Result != balancer.NotSent {
		t.Errorf("got result %d for an attempt after the client's disconnect, want NotSent", outcome.Result)
	}
	expectNothingReceived(t, server)
}

// requestRecorder records events of the decision module.
type requestRecorder struct {
	abandoned chan struct{}         // a value for each Abandoned event of the request with ID id
	outcomes  chan balancer.Outcome // outcomes of all requests
}

func newRequestRecorder() requestRecorder {
	return requestRecorder{abandoned: make(chan struct{}, 10), outcomes: make(chan balancer.Outcome, 10)}
}

func (r requestRecorder) record(event balancer.Event) {
	switch event := event.(type) {
	case balancer.Abandoned:
		if event.Request == id {
			r.abandoned <- struct{}{}
		}
	case balancer.Outcome:
		r.outcomes <- event
	}
}

// sendToS0 is a scripted decision module that records events and sends the request with ID id to endpoint s0.
func (r requestRecorder) sendToS0(_ time.Duration, event balancer.Event) []balancer.Action {
	r.record(event)
	if request, ok := event.(balancer.Request); ok && request.ID == id {
		return []balancer.Action{balancer.Send{Request: id, Endpoint: "s0"}}
	}
	return nil
}

func expectNothingReceived(t *testing.T, server *testutil.Server) {
	t.Helper()
	if len(server.Received) != 0 {
		t.Error("a request was forwarded after its client disconnected")
	}
}

// sendAfterDisconnectAgent is an agent with a scripted module that sends the request with ID id only when it gets the
// request's Abandoned event. The event loop must not execute that attempt.
type sendAfterDisconnectAgent struct {
	*Agent
	server    *testutil.Server
	logged    *testutil.Log
	submitted chan balancer.Request
	abandoned chan balancer.Abandoned
	outcomes  chan balancer.Outcome
}

func startSendAfterDisconnect(t *testing.T) *sendAfterDisconnectAgent {
	t.Helper()
	s := &sendAfterDisconnectAgent{
		server:    testutil.NewServer(t, testutil.Echo),
		submitted: make(chan balancer.Request, 1),
		abandoned: make(chan balancer.Abandoned, 1),
		outcomes:  make(chan balancer.Outcome, 10),
	}
	s.Agent, s.logged = startScripted(t, newConfig(t, s.server), s.step)
	return s
}

// step is the scripted decision module.
func (s *sendAfterDisconnectAgent) step(_ time.Duration, event balancer.Event) []balancer.Action {
	switch event := event.(type) {
	case balancer.Request:
		if event.ID == id {
			s.submitted <- event
		}
	case balancer.Abandoned:
		if event.Request == id {
			s.abandoned <- event
			return []balancer.Action{balancer.Send{Request: id, Endpoint: "s0"}, balancer.LogMessage{Text: "sent late"}}
		}
	case balancer.Outcome:
		s.outcomes <- event
	}
	return nil
}

// submit connects a client, sends its request and waits until the module gets the request.
func (s *sendAfterDisconnectAgent) submit(t *testing.T) net.Conn {
	t.Helper()
	client := testutil.Dial(t, s.Addr(), testutil.RawGet(id))
	testutil.Receive(t, s.submitted)
	return client
}

// waitForLateSend waits until the module has sent the request after its client disconnected.
func (s *sendAfterDisconnectAgent) waitForLateSend(t *testing.T) {
	t.Helper()
	testutil.WaitFor(t, "the late send", func() bool { return s.logged.Contains("sent late") })
}

// The module must get an Abandoned event for a disconnect, and no attempt may be sent after it.
func TestDisconnect(t *testing.T) {
	t.Parallel()
	s := startSendAfterDisconnect(t)
	client := s.submit(t)
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	if event := testutil.Receive(t, s.abandoned); event.Request != id {
		t.Errorf("got Abandoned for request %q, want the client's request", event.Request)
	}
	s.waitForLateSend(t)
	expectNothingReceived(t, s.server)
}

// If a client disconnects while its request waits for a backoff or a timer, the module must get an Abandoned event, no
// attempt may be sent, and a client that has only half-closed its connection must not get a 200.
func TestDisconnectDuringBackoff(t *testing.T) {
	for _, method := range disconnectMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			s := startSendAfterDisconnect(t)
			client := s.submit(t)
			method.disconnect(t, client)
			s.waitForLateSend(t)
			select {
			case outcome := <-s.outcomes:
				if outcome.Result != balancer.NotSent {
					t.Errorf("got result %d for an attempt after the client's disconnect, want NotSent", outcome.Result)
				}
			default: // no attempt was started
			}
			expectNothingReceived(t, s.server)
			if text, _ := io.ReadAll(client); strings.Contains(string(text), " 200 ") {
				t.Errorf("the client got %q after its disconnect, want no response with status 200", text)
			}
		})
	}
}

// No attempt may be sent if the client disconnects while the event loop is busy and has not handled the disconnect.
func TestDisconnectWhileLoopIsBusy(t *testing.T) {
	for _, method := range disconnectMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			busy, gate, recorder := make(chan struct{}), make(chan struct{}), newRequestRecorder()
			module := func(now time.Duration, event balancer.Event) []balancer.Action {
				if request, ok := event.(balancer.Request); ok && request.ID == id {
					close(busy)
					<-gate
				}
				return recorder.sendToS0(now, event)
			}
			a, _ := startScripted(t, newConfig(t, server), module)
			client := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
			testutil.Receive(t, busy)
			method.disconnect(t, client)
			// The test may read the request table, since the event loop is blocked.
			forwarded := a.loop.requests.find(id).upstream
			testutil.WaitFor(t, "the disconnect", func() bool { return forwarded.Validate() != nil })
			close(gate)
			waitForNotSent(t, recorder.outcomes, server)
		})
	}
}

// No attempt may be sent on a connection that is established after the client has disconnected.
func TestDisconnectDuringDial(t *testing.T) {
	for _, method := range disconnectMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			dialing, gate := make(chan struct{}, 10), make(chan struct{})
			recorder := newRequestRecorder()
			c := newConfig(t, server)
			a, _ := startAgentWith(t, c, func(a *Agent) {
				options := a.loop.upstreamOptions(c)
				options.DialControl = func(_, _ string, _ syscall.RawConn) error {
					dialing <- struct{}{}
					<-gate
					return nil
				}
				a.loop.upstream = upstream.New(options)
				a.loop.module = scriptedModule(recorder.sendToS0)
			})
			client := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
			testutil.Receive(t, dialing)
			method.disconnect(t, client)
			testutil.Receive(t, recorder.abandoned)
			close(gate)
			if outcome := testutil.Receive(t, recorder.outcomes); outcome.Result != balancer.NotSent || !outcome.Done {
				t.Errorf("got outcome %+v, want NotSent and done", outcome)
			}
			expectNothingReceived(t, server)
		})
	}
}

// The request of a client that disconnects before its connection is accepted must not be forwarded.
func TestDisconnectBeforeAccept(t *testing.T) {
	for _, method := range disconnectMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{})
			server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				<-gate
				return testutil.Echo(conn, r, body)
			})
			c := newConfig(t, server)
			c.MaxDescriptors = 2 // one for clients
			a := startAgent(t, c)
			first := testutil.Dial(t, a.Addr(), testutil.RawGet(testutil.NthID(1)))
			testutil.Receive(t, server.Received)
			second := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
			method.disconnect(t, second) // takes effect in the accept queue: the agent has no descriptor for the client
			close(gate)
			if status := testutil.ReadStatus(t, first); status != http.StatusOK {
				t.Errorf("first request: got status %d, want 200", status)
			}
			_ = first.Close() // the agent may have closed the connection
			if status := requestStatus(t, a, "GET", "/look", testutil.NthID(3), "7000"); status != http.StatusOK {
				t.Errorf("third request: got status %d, want 200", status)
			}
			for len(server.Received) > 0 {
				if r := <-server.Received; r.Header.Get("X-Call-Id") == id {
					t.Error("a request was forwarded though its client disconnected before the agent accepted it")
				}
			}
		})
	}
}

// A request with an oversized, incomplete body must not be forwarded after its client disconnects.
func TestDisconnectDuringOversizedBody(t *testing.T) {
	for _, method := range disconnectMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			expectIncompleteNotForwarded(t, 3000000, method)
		})
	}
}

// A request with an incomplete body within the size limit must not be forwarded after its client disconnects.
func TestDisconnectDuringBody(t *testing.T) {
	const bodyLength = 60000 // more than any trailing data except the flood, which would complete the body
	for _, method := range disconnectMethods {
		if len(method.trailing) >= bodyLength {
			continue
		}
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			expectIncompleteNotForwarded(t, bodyLength, method)
		})
	}
}

// expectIncompleteNotForwarded sends the head and a part of the body of a request, disconnects, and checks that the
// endpoint gets only the request of the next client.
func expectIncompleteNotForwarded(t *testing.T, bodyLength int, method disconnectMethod) {
	t.Helper()
	server := testutil.NewServer(t, testutil.Echo)
	a := startAgent(t, newConfig(t, server))
	head := testutil.RawPost(id, fmt.Sprintf("Content-Length: %d\r\n", bodyLength))
	method.disconnect(t, testutil.Dial(t, a.Addr(), head+"half"))
	if status := requestStatus(t, a, "GET", "/look", testutil.NthID(1), "7000"); status != http.StatusOK {
		t.Errorf("next request: got status %d, want 200", status)
	}
	if r := testutil.Receive(t, server.Received); r.Header.Get("X-Call-Id") == id {
		t.Error("an incomplete request was forwarded")
	}
}

// An attempt that is in flight when its client disconnects must not be retried, and its request must be removed.
func TestDisconnectWithAttemptInFlight(t *testing.T) {
	for _, method := range disconnectMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{})
			server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
				<-gate
				testutil.Respond(conn, 500, "", "")
				return true
			})
			recorder := newRequestRecorder()
			a, _ := startAgentWith(t, newConfig(t, server), func(a *Agent) {
				a.loop.module = recordingModule{a.loop.module, recorder.record}
			})
			client := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
			testutil.Receive(t, server.Received)
			method.disconnect(t, client)
			testutil.Receive(t, recorder.abandoned)
			close(gate)
			outcome := testutil.Receive(t, recorder.outcomes)
			if outcome.Result != balancer.ServerError || !outcome.Done {
				t.Errorf("got outcome %+v, want ServerError and done", outcome)
			}
			// The ID must be free again: a request with the ID of an open request gets 400.
			if status := requestStatus(t, a, "POST", "/settle", id, "7000"); status != http.StatusBadGateway {
				t.Errorf("next request with the same ID: got status %d, want 502", status)
			}
			if n := len(server.Received); n != 1 {
				t.Errorf("got %d further attempts, want only that of the next request", n)
			}
		})
	}
}

// recordingModule is a decision module that passes its events to record.
type recordingModule struct {
	decisionModule
	record func(balancer.Event)
}

func (m recordingModule) Step(now time.Duration, events []balancer.Event) []balancer.Action {
	for _, event := range events {
		m.record(event)
	}
	return m.decisionModule.Step(now, events)
}
