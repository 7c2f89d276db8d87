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

// disconnectMethod is a way in which a client disconnects.
type disconnectMethod struct {
	name      string
	trailing  string // sent behind the request first
	closeConn func(conn *net.TCPConn) error
}

// disconnectMethods are all such ways. net/http sees no end behind bytes that follow the request.
var disconnectMethods = []disconnectMethod{
	{"close", "", (*net.TCPConn).Close},
	{"reset", "", reset},
	{"end of sending", "", (*net.TCPConn).CloseWrite},
	{"close, a byte behind", "G", (*net.TCPConn).Close},
	{"close, requests behind", testutil.RawGet(otherID) + testutil.RawGet(thirdID) + "GET /lo", (*net.TCPConn).Close},
	{"reset, requests behind", testutil.RawGet(otherID) + testutil.RawGet(thirdID), reset},
	{"close, a flood behind", strings.Repeat("x", 1<<18), (*net.TCPConn).Close},
}

// reset closes a connection by a reset.
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
		_, _ = io.WriteString(conn, d.trailing) // a flood may never be taken as a whole
	}()
	select {
	case <-sent:
	case <-time.After(50 * time.Millisecond):
	}
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("a client on a %T", conn)
	}
	if err := d.closeConn(tcpConn); err != nil {
		t.Log("disconnect:", err) // the agent may have been first
	}
}

// waitForNotSent waits for an outcome that says that nothing went out.
func waitForNotSent(t *testing.T, outcomes <-chan balancer.Outcome, server *testutil.Server) {
	t.Helper()
	if outcome := testutil.Receive(t, outcomes); outcome.Result != balancer.NotSent {
		t.Errorf("result %d of an attempt after the client had disconnected", outcome.Result)
	}
	expectNothingReceived(t, server)
}

// requestRecorder records what the decision module learns of the request with the test's id.
type requestRecorder struct {
	abandoned chan struct{}
	outcomes  chan balancer.Outcome // of all requests
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

// sendToS0 is a script of the decision module that sends the test's request to s0 as it comes.
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
		t.Error("a request was forwarded after its client had disconnected")
	}
}

// sendAfterDisconnectAgent is an agent whose module learns of a disconnect and sends the request all the same, which the loop has to
// hold back.
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

// step is the script of the module.
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

// submit connects a client and waits until the module knows its request.
func (s *sendAfterDisconnectAgent) submit(t *testing.T) net.Conn {
	t.Helper()
	client := testutil.Dial(t, s.Addr(), testutil.RawGet(id))
	testutil.Receive(t, s.submitted)
	return client
}

// waitForLateSend waits until the module has sent the request of a client that had disconnected.
func (s *sendAfterDisconnectAgent) waitForLateSend(t *testing.T) {
	t.Helper()
	testutil.WaitFor(t, "the late send", func() bool { return s.logged.Contains("sent late") })
}

// The module learns of a disconnect, and nothing goes out after it.
func TestDisconnect(t *testing.T) {
	t.Parallel()
	s := startSendAfterDisconnect(t)
	client := s.submit(t)
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	if event := testutil.Receive(t, s.abandoned); event.Request != id {
		t.Errorf("abandoned: %q", event.Request)
	}
	s.waitForLateSend(t)
	expectNothingReceived(t, s.server)
}

// Where a request waits for a backoff or a timer, the module learns of the disconnect however it came, nothing goes out
// for the request, and no response is made up.
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
					t.Errorf("result %d of an attempt after the client had disconnected", outcome.Result)
				}
			default: // not even tried
			}
			expectNothingReceived(t, s.server)
			if text, _ := io.ReadAll(client); strings.Contains(string(text), " 200 ") {
				t.Errorf("the client that only ended its sending got %q", text)
			}
		})
	}
}

// A request does not go out from a busy loop that has yet to learn of the disconnect.
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
			// The loop is held, and nothing else is in its table.
			testutil.WaitFor(t, "the disconnect", a.loop.requests.find(id).upstream.ClientGone)
			close(gate)
			waitForNotSent(t, recorder.outcomes, server)
		})
	}
}

// A request does not go out on a connection that came up after its client had disconnected.
func TestDisconnectDuringDial(t *testing.T) {
	for _, method := range disconnectMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			dialling, gate := make(chan struct{}, 10), make(chan struct{})
			recorder := newRequestRecorder()
			c := newConfig(t, server)
			a, _ := startAgentWith(t, c, func(a *Agent) {
				options := upstreamOptions(c, a.loop.endpoints, a.log)
				options.DialControl = func(_, _ string, _ syscall.RawConn) error {
					dialling <- struct{}{}
					<-gate
					return nil
				}
				a.loop.upstream = upstream.New(options)
				a.loop.module = scriptedModule(recorder.sendToS0)
			})
			client := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
			testutil.Receive(t, dialling)
			method.disconnect(t, client)
			testutil.Receive(t, recorder.abandoned)
			close(gate)
			if outcome := testutil.Receive(t, recorder.outcomes); outcome.Result != balancer.NotSent || !outcome.Done {
				t.Errorf("outcome %+v", outcome)
			}
			expectNothingReceived(t, server)
		})
	}
}

// The request of a client that disconnected while its connection waited to be accepted is not forwarded.
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
			c.Descriptors = 2 // one for clients
			a := startAgent(t, c)
			first := testutil.Dial(t, a.Addr(), testutil.RawGet(testutil.NthID(1)))
			testutil.Receive(t, server.Received)
			second := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
			method.disconnect(t, second) // which its system passes on at once, to a connection that the agent has not accepted yet
			close(gate)
			if status := testutil.ReadStatus(t, first); status != http.StatusOK {
				t.Errorf("first request: status %d", status)
			}
			_ = first.Close() // the agent may have closed it already
			if status := requestStatus(t, a, "GET", "/look", testutil.NthID(3), "7000"); status != http.StatusOK {
				t.Errorf("third request: status %d", status)
			}
			for len(server.Received) > 0 {
				if r := <-server.Received; r.Header.Get("X-Call-Id") == id {
					t.Error("a request was forwarded whose client had disconnected before it was read")
				}
			}
		})
	}
}

// A request whose body is over the limit and stops is not forwarded, however its client disconnects.
func TestDisconnectDuringOversizedBody(t *testing.T) {
	for _, method := range disconnectMethods {
		t.Run(method.name, func(t *testing.T) {
			t.Parallel()
			expectIncompleteNotForwarded(t, 3000000, method)
		})
	}
}

// A request whose body is within the limit and stops is not forwarded either: its body is read, but never whole.
func TestDisconnectDuringBody(t *testing.T) {
	const bodyLength = 60000 // more than follows at the disconnect, but for the flood, which would complete the body
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

// expectIncompleteNotForwarded sends the head of a request with the beginning of its body, disconnects, and expects
// that just the next client's request is forwarded.
func expectIncompleteNotForwarded(t *testing.T, bodyLength int, method disconnectMethod) {
	t.Helper()
	server := testutil.NewServer(t, testutil.Echo)
	a := startAgent(t, newConfig(t, server))
	head := testutil.RawPost(id, fmt.Sprintf("Content-Length: %d\r\n", bodyLength))
	method.disconnect(t, testutil.Dial(t, a.Addr(), head+"half"))
	if status := requestStatus(t, a, "GET", "/look", testutil.NthID(1), "7000"); status != http.StatusOK {
		t.Errorf("next request: status %d", status)
	}
	if r := testutil.Receive(t, server.Received); r.Header.Get("X-Call-Id") == id {
		t.Error("an incomplete request was forwarded")
	}
}

// An attempt in flight as its client disconnects is neither retried nor kept.
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
				t.Errorf("outcome %+v", outcome)
			}
			if status := requestStatus(t, a, "POST", "/settle", id, "7000"); status != http.StatusBadGateway {
				t.Errorf("its id, free again, got %d", status) // 400 while it is open
			}
			if n := len(server.Received); n != 1 {
				t.Errorf("%d attempts more, want that of the next request alone", n)
			}
		})
	}
}

// recordingModule is a decision module whose events can be observed.
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
