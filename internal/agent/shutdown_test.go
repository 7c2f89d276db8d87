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

const shutdownMessage = "shutting down" // in the log

// stopWithRequestInFlight runs an agent and asks it to shut down while a request is in flight. The request's status comes out of
// the channel.
func stopWithRequestInFlight(t *testing.T, server *testutil.Server, method, path, timeoutMs string) (stoppableAgent, chan int) {
	t.Helper()
	a := startStoppable(t, newConfig(t, server), func(a *Agent) {
		a.acceptDuration = 3 * time.Second // a slow machine still connects meanwhile
	})
	first := make(chan int, 1)
	go func() { first <- requestStatus(t, a.Agent, method, path, id, timeoutMs) }()
	testutil.Receive(t, server.Received)
	a.stop()
	testutil.WaitFor(t, "the shutdown", func() bool { return a.logged.Contains(shutdownMessage) })
	return a, first
}

// waitForCleanExit waits for the end of Run, which must be without an error.
func (a stoppableAgent) waitForCleanExit(t *testing.T) {
	t.Helper()
	if err := testutil.Receive(t, a.runResult); err != nil {
		t.Error(err)
	}
}

// waitForLastResponse reads a response that has to be 200 and the last one on its connection.
func waitForLastResponse(t *testing.T, in io.Reader, what string) {
	t.Helper()
	response := testutil.ReadResponse(t, bufio.NewReader(in))
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("%s: status %d, close %v", what, response.StatusCode, response.Close)
	}
}

// While an agent shuts down, open requests are answered, and new connections are served for a while and closed with
// the response.
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
		t.Errorf("during the shutdown: status %d, close %v", response.StatusCode, response.Close)
	}
	close(gate)
	if status := testutil.Receive(t, first); status != http.StatusOK {
		t.Errorf("request in flight: status %d", status)
	}
	a.waitForCleanExit(t)
	if conn, err := net.Dial("tcp", a.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("still listening")
	}
}

// Requests that would outlast the shutdown are failed before the process may be killed.
func TestShutdownFailsLongRequests(t *testing.T) {
	t.Parallel()
	a, first := stopWithRequestInFlight(t, testutil.NewServer(t, testutil.Hang), "POST", "/settle", "600000")
	if status := testutil.Receive(t, first); status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", status)
	}
	a.waitForCleanExit(t)
}

// Clients must not go on sending on connections that a shutdown leaves open, up to the kill: idle ones are closed while
// new ones are still accepted, and one in use with its response, whenever its request came.
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
		t.Fatalf("before the shutdown: status %d, close %v", response.StatusCode, response.Close)
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
		t.Errorf("a kept connection: %v, want its end", err)
	}
	testutil.WaitFor(t, "the shutdown", func() bool { return a.logged.Contains(shutdownMessage) })
	close(gate)
	waitForLastResponse(t, busy, "in flight as the shutdown began")
	testutil.Write(t, unused, testutil.RawGet(thirdID)) // connected before the shutdown, and still on its way
	waitForLastResponse(t, unused, "on a connection that had had no request")
	a.waitForCleanExit(t)
}

// A request that waits for its backoff as the shutdown begins is not lost.
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
	waitForLastResponse(t, client, "during backoff as the shutdown began")
	a.waitForCleanExit(t)
}

// The process may be killed after the longest deadline, 3 s at the most, and 0.7 s more: the last responses are out by
// then also where deadlines are short.
func TestShutdownEndsBeforeKill(t *testing.T) {
	for _, test := range []struct{ deadline, kill time.Duration }{
		{300 * time.Millisecond, time.Second},
		{1200 * time.Millisecond, 1900 * time.Millisecond},
		{8 * time.Second, 3700 * time.Millisecond},
	} {
		classes := []balancer.Class{{Deadline: 100 * time.Millisecond}, {Deadline: test.deadline}}
		timeout := shutdownTimeout(balancer.Settings{Classes: classes})
		if end := timeout + finalWriteTimeout; end >= test.kill {
			t.Errorf("deadline %v: ends after %v, may be killed after %v", test.deadline, end, test.kill)
		}
		if timeout < min(test.deadline, 3*time.Second) {
			t.Errorf("deadline %v: what came just before the shutdown gets %v", test.deadline, timeout)
		}
	}
}

// A request that is still incomplete as the time of a shutdown is over, or that comes after that, is rejected before
// its connection is closed.
func TestShutdownRejectsIncompleteRequests(t *testing.T) {
	t.Parallel()
	config := newConfig(t, testutil.NewServer(t, testutil.Echo))
	for i := range config.Settings.Classes {
		config.Settings.Classes[i].Deadline = 500 * time.Millisecond
	}
	a := startStoppable(t, config, func(*Agent) {})
	clients := map[string]net.Conn{}
	for name, text := range map[string]string{
		"a byte":      "P",
		"half a head": "POST /settle HTTP/1.1\r\nHo",
		"half a body": testutil.RawPost(id, "Content-Length: 10\r\n") + "half",
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
			t.Errorf("%s: status %d, close %v", name, response.StatusCode, response.Close)
		}
	}
	a.waitForCleanExit(t)
}

// failingCloseListener is a listener whose close reports an error, though it takes effect.
type failingCloseListener struct{ net.Listener }

func (l failingCloseListener) Close() error {
	_ = l.Listener.Close()
	return syscall.EIO
}

// A close that fails must not end a shutdown under the requests in flight.
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
		_ = a.frontend.Close() // it has served nothing
		a.frontend = frontend.NewServer(failingCloseListener{listener}, config, a.loop.clock, a.loop, a.log)
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
	waitForLastResponse(t, client, "in flight as a close failed")
	a.waitForCleanExit(t)
}
