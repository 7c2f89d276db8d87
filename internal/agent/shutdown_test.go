package agent

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/testutil"
)

const shutdownMessage = "shutting down" // log message at the start of a shutdown

// stopWithRequestInFlight runs an agent and starts its shutdown while a request is in flight. The channel receives the
// status of the response.
func stopWithRequestInFlight(t *testing.T, server *testutil.Server, method, path, timeoutMs string) (stoppableAgent,
	chan int) {
	t.Helper()
	a := startStoppable(t, newConfig(t, server), func(a *Agent) {
		a.acceptDuration = 3 * time.Second // enough for new connections on a busy machine
	})
	first := make(chan int, 1)
	go func() { first <- requestStatus(t, a.Agent, method, path, id, timeoutMs) }()
	testutil.Receive(t, server.Received)
	a.stop()
	testutil.WaitFor(t, "the shutdown", func() bool { return a.logged.Contains(shutdownMessage) })
	return a, first
}

// waitForCleanExit waits until Run returns and checks that it returns no error.
func (a stoppableAgent) waitForCleanExit(t *testing.T) {
	t.Helper()
	if err := testutil.Receive(t, a.runResult); err != nil {
		t.Error(err)
	}
}

// waitForLastResponse reads a response and checks that its status is 200 and that it closes the connection.
func waitForLastResponse(t *testing.T, in io.Reader, what string) {
	t.Helper()
	response := testutil.ReadResponse(t, bufio.NewReader(in))
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("%s: got status %d, close %v, want 200, true", what, response.StatusCode, response.Close)
	}
}

// During a shutdown, the agent must answer open requests. It must serve new connections for acceptDuration and close
// each with its response.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/look/slow" {
			<-gate
		}
		return testutil.Echo(conn, r, body)
	})
	a, first := stopWithRequestInFlight(t, server, "GET", "/look/slow", "9000")
	response, _ := testutil.Do(t, a.Addr(), "GET", "/look", "", "X-Call-Id", otherID, "X-Budget-Ms", "9000")
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("during the shutdown: got status %d, close %v, want 200, true", response.StatusCode, response.Close)
	}
	close(gate)
	if status := testutil.Receive(t, first); status != http.StatusOK {
		t.Errorf("request in flight: got status %d, want 200", status)
	}
	a.waitForCleanExit(t)
	if conn, err := net.Dial("tcp", a.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("the agent is still listening after its shutdown")
	}
}

// Requests whose deadline is after the end of the shutdown must be failed before the process may be killed.
func TestShutdownFailsLongRequests(t *testing.T) {
	t.Parallel()
	a, first := stopWithRequestInFlight(t, testutil.NewServer(t, testutil.Hang), "POST", "/settle", "600000")
	if status := testutil.Receive(t, first); status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", status)
	}
	a.waitForCleanExit(t)
}

// A shutdown must close all persistent connections, since the kill would lose requests that clients send on open ones:
// idle connections while new ones are still accepted, and connections in use with their next response.
func TestShutdownClosesPersistentConnections(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Call-Id") == id {
			<-gate
		}
		return testutil.Echo(conn, r, body)
	})
	a := startStoppable(t, newConfig(t, server), func(a *Agent) { a.acceptDuration = 3 * time.Second })
	kept := bufio.NewReader(testutil.Dial(t, a.Addr(), testutil.RawGet(otherID)))
	if response := testutil.ReadResponse(t, kept); response.StatusCode != http.StatusOK || response.Close {
		t.Fatalf("before the shutdown: got status %d, close %v, want 200, false", response.StatusCode, response.Close)
	}
	busy := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
	unused := testutil.Dial(t, a.Addr(), "")
	for range 2 {
		testutil.Receive(t, server.Received)
	}
	testutil.WaitFor(t, "the connections to be accepted", func() bool {
		open, idle := a.frontend.ConnectionCounts()
		return open == 3 && idle == 2
	})
	a.stop()
	if _, err := kept.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got error %v, want EOF", err)
	}
	testutil.WaitFor(t, "the shutdown", func() bool { return a.logged.Contains(shutdownMessage) })
	close(gate)
	waitForLastResponse(t, busy, "request in flight at the start of the shutdown")
	testutil.Write(t, unused, testutil.RawGet(thirdID)) // on a connection opened before the shutdown
	waitForLastResponse(t, unused, "first request of a connection")
	a.waitForCleanExit(t)
}

// A request that waits for its backoff when the shutdown starts must still be served.
func TestShutdownDuringBackoff(t *testing.T) {
	t.Parallel()
	failed := make(chan struct{})
	first := true
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		if first {
			first = false
			testutil.Respond(conn, 500, "", "")
			return true
		}
		return testutil.Echo(conn, r, body)
	})
	var stopped func() bool
	wait := []balancer.Action{balancer.SetTimer{After: time.Millisecond, Token: 1}}
	send := []balancer.Action{balancer.Send{Request: id, Endpoint: "s0"}}
	module := func(_ time.Duration, event balancer.Event) []balancer.Action {
		switch event := event.(type) {
		case balancer.Request:
			return send
		case balancer.Outcome:
			if event.Result == balancer.ServerError {
				close(failed)
				return wait
			}
		case balancer.TimerFired:
			if !stopped() {
				return wait
			}
			return send
		}
		return nil
	}
	a := startStoppable(t, newConfig(t, server), func(a *Agent) { a.loop.module = scriptedModule(module) })
	stopped = func() bool { return a.logged.Contains(shutdownMessage) }
	client := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
	testutil.Receive(t, failed)
	a.stop()
	waitForLastResponse(t, client, "request in backoff at the start of the shutdown")
	a.waitForCleanExit(t)
}

// The process may be killed 0.7 s after the longest class deadline, of which at most 3 s count. The last responses must
// be written before, for short deadlines too.
func TestShutdownEndsBeforeKill(t *testing.T) {
	for _, test := range []struct{ deadline, kill time.Duration }{
		{300 * time.Millisecond, time.Second},
		{1200 * time.Millisecond, 1900 * time.Millisecond},
		{8 * time.Second, 3700 * time.Millisecond},
	} {
		classes := []balancer.Class{{Deadline: 100 * time.Millisecond}, {Deadline: test.deadline}}
		timeout := shutdownTimeout(balancer.Settings{Classes: classes})
		if end := timeout + finalWriteTimeout; end >= test.kill {
			t.Errorf("class deadline %v: the shutdown ends after %v, want less than %v", test.deadline, end, test.kill)
		}
		if timeout < min(test.deadline, 3*time.Second) {
			t.Errorf("class deadline %v: got a shutdown timeout of %v, want at least the deadline or 3s", test.deadline,
				timeout)
		}
	}
}

// A request that is incomplete at the shutdown deadline, or arrives after it, must be rejected before its connection is
// closed.
func TestShutdownRejectsIncompleteRequests(t *testing.T) {
	t.Parallel()
	config := newConfig(t, testutil.NewServer(t, testutil.Echo))
	for i := range config.Settings.Classes {
		config.Settings.Classes[i].Deadline = 500 * time.Millisecond
	}
	a := startStoppable(t, config, func(*Agent) {})
	clients := map[string]net.Conn{}
	for name, text := range map[string]string{
		"single byte":     "P",
		"incomplete head": "POST /settle HTTP/1.1\r\nHo",
		"incomplete body": testutil.RawPost(id, "Content-Length: 10\r\n") + "half",
	} {
		clients[name] = testutil.Dial(t, a.Addr(), text)
	}
	testutil.WaitFor(t, "the connections", func() bool {
		open, idle := a.frontend.ConnectionCounts()
		return open == 3 && idle == 0
	})
	a.stop()
	for name, client := range clients {
		in := bufio.NewReader(client)
		response := testutil.ReadResponse(t, in)
		if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
			t.Errorf("%s: got status %d, close %v, want 503, true", name, response.StatusCode, response.Close)
		}
	}
	a.waitForCleanExit(t)
}

// failingCloseListener is a listener whose Close returns an error although it closes the listener.
type failingCloseListener struct{ net.Listener }

func (l failingCloseListener) Close() error {
	_ = l.Listener.Close()
	return syscall.EIO
}

// An error of the listener's Close must not end a shutdown while requests are in flight.
func TestShutdownWithFailingClose(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	server := testutil.NewServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		<-gate
		return testutil.Echo(conn, r, body)
	})
	config := newConfig(t, server)
	a := startStoppable(t, config, func(a *Agent) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = a.frontend.Close() // has served no connections
		a.frontend = frontend.NewServer(failingCloseListener{listener}, config, a.loop.clock, a.loop, a.budget,
			a.log)
		a.acceptDuration = 10 * time.Millisecond
	})
	client := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
	testutil.Receive(t, server.Received)
	a.stop()
	testutil.WaitFor(t, "the listener to be closed", func() bool {
		conn, err := net.Dial("tcp", a.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	close(gate)
	waitForLastResponse(t, client, "request in flight when Close fails")
	a.waitForCleanExit(t)
}
