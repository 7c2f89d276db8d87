package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

const rejection = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"

// A rejection that arrives before the request has reached the endpoint's machine proves nothing about the request.
func TestResponseBeforeRequestIsNoResponse(t *testing.T) {
	smallBuffers := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
		})
		return errors.Join(err, controlErr)
	}}
	listener, err := smallBuffers.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 1)) // the rest of the request does not fit into the receive buffer
		write(conn, rejection)
		<-t.Context().Done()
	}()
	client, request := newTestClient(t, listener.Addr().String()), newUnsafeRequest()
	request.Body = []byte(strings.Repeat("x", 64<<10))
	result, response := client.Attempt(context.Background(), request, "s0", newOptions(testutil.Timeout))
	if result != balancer.Reset || !errors.Is(response.Err, errUnrequestedBytes) {
		t.Errorf("got result %v, error %v, want a reset with errUnrequestedBytes", result, response.Err)
	}
	if open := client.OpenConnections(); open != 0 {
		t.Errorf("got %d open connections, want 0", open)
	}
}

// Bytes on a new connection, before its first request, are no response to that request.
func TestBytesBeforeFirstRequest(t *testing.T) {
	listener := testutil.Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			write(conn, rejection)
		}
	}()
	client, request := newTestClient(t, listener.Addr().String()), newUnsafeRequest()
	var dialed syscall.RawConn
	client.pool.dialer.Control = func(_, _ string, raw syscall.RawConn) error { dialed = raw; return nil }
	request.Validate = func() error { // called right before the request is sent
		testutil.WaitFor(t, "the rejection", func() bool { return hasUnread(dialed) })
		return nil
	}
	result, response := client.Attempt(context.Background(), request, "s0", newOptions(testutil.Timeout))
	if result != balancer.ConnectFailed || !errors.Is(response.Err, errUnrequestedBytes) {
		t.Errorf("got result %v, error %v, want a failed connect with errUnrequestedBytes", result, response.Err)
	}
	if totals := client.Totals(); totals.Exchanges != 0 || totals.UnrequestedBytes != 1 {
		t.Errorf("got totals %+v, want no request sent and unrequested bytes once", totals)
	}
}

// hasUnread reports whether a socket has bytes to read.
func hasUnread(raw syscall.RawConn) (readable bool) {
	_ = raw.Control(func(fd uintptr) {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = n > 0
	})
	return readable
}

// A response that comes within the late window after the last one on its connection proves nothing, whatever it says.
// It may be a second response to the earlier request.
func TestResponseWithinLateWindowIsNoResponse(t *testing.T) {
	for _, tt := range []struct {
		name    string
		respond handler
	}{
		{"served", testutil.Echo},
		{"rejected", respondRejected(http.StatusServiceUnavailable)},
		{"failed", respond(http.StatusInternalServerError, "")},
		{"malformed", respondRaw("noise")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			isFirst := true
			server := testutil.NewServer(t, func(conn net.Conn, request *http.Request, body []byte) bool {
				if isFirst {
					isFirst = false
					return testutil.Echo(conn, request, body)
				}
				return tt.respond(conn, request, body)
			})
			client := newTestClient(t, server.Addr())
			options := newOptions(testutil.Timeout)
			options.Reuse.LateWindow = time.Hour
			if result, _ := client.Attempt(t.Context(), newUnsafeRequest(), "s0", options); result != balancer.Served {
				t.Fatalf("new connection: got result %v, want served", result)
			}
			result, response := client.Attempt(t.Context(), newUnsafeRequest(), "s0", options)
			if result != balancer.Reset || !errors.Is(response.Err, errEarlyBytes) {
				t.Errorf("reused connection: got result %v, error %v, want a reset with errEarlyBytes",
					result, response.Err)
			}
			if open := client.OpenConnections(); open != 0 {
				t.Errorf("got %d open connections, want 0", open)
			}
		})
	}
}

// A connection must not be reused before its minimum idle time.
func TestMinIdle(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	client, options := newTestClient(t, server.Addr()), newOptions(testutil.Timeout)
	options.Reuse.MinIdle = time.Hour
	connections := map[string]bool{}
	for range 3 {
		if result, _ := client.Attempt(t.Context(), newUnsafeRequest(), "s0", options); result != balancer.Served {
			t.Fatalf("got result %v, want served", result)
		}
		connections[testutil.Receive(t, server.Received).RemoteAddr] = true
	}
	if len(connections) != 3 {
		t.Errorf("got %d connections for 3 requests, want a new one for each", len(connections))
	}
	client.mustServe(t)
	if connection := testutil.Receive(t, server.Received).RemoteAddr; !connections[connection] {
		t.Error("got a new connection without a minimum idle time, want an existing one")
	}
}

// The pool must find unrequested bytes on an idle connection without a further request, and report when they came.
func TestUnrequestedBytesAreReported(t *testing.T) {
	const pause = 30 * time.Millisecond
	server := testutil.NewServer(t, testutil.Echo)
	client := newTestClient(t, server.Addr())
	reports := make(chan balancer.UnrequestedBytes, 1)
	client.pool.onEvent = func(event balancer.Event) {
		if report, ok := event.(balancer.UnrequestedBytes); ok {
			reports <- report
		}
	}
	startedAt := time.Now()
	client.mustServe(t)
	request := testutil.Receive(t, server.Received)
	time.Sleep(pause)
	server.WriteTo(t, request.RemoteAddr, rejection)
	const systemTick = 10 * time.Millisecond // the maximum that Linux may be configured with
	minAfter, maxAfter := pause, time.Since(startedAt)+2*systemTick
	report := testutil.Receive(t, reports)
	if report.Endpoint != "s0" || report.After < minAfter || report.After > maxAfter {
		t.Errorf("got report %+v, want s0 and %v to %v", report, minAfter, maxAfter)
	}
	testutil.WaitFor(t, "the close", func() bool { return client.OpenConnections() == 0 })
}

// An idle connection must be closed if its endpoint has another one that was used later.
func TestExcessIdleConnections(t *testing.T) {
	client, _ := newClientWithTwoIdle(t, testutil.Echo)
	testutil.WaitFor(t, "the close of one connection", func() bool { return client.OpenConnections() == 1 })
}

// A rejection that is followed by another response does not prove that the request has not run: the second response may
// be its own.
func TestRejectionFollowedByResponseIsNoRejection(t *testing.T) {
	server := testutil.NewServer(t, respondRaw(rejection+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndid x"))
	client := newTestClient(t, server.Addr())
	if result, _ := client.attempt(testutil.Timeout); result != balancer.ServerError {
		t.Errorf("got result %v, want a server error, which may have run", result)
	}
	if totals := client.Totals(); totals.UnrequestedBytes != 1 {
		t.Errorf("got totals %+v, want unrequested bytes once", totals)
	}
}

// The connection of a request that was not served must be closed: if the response was not its own, the request still
// runs there while it is sent again.
func TestUnservedRequestClosesConnection(t *testing.T) {
	for _, status := range []int{
		http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusNotFound, http.StatusCreated,
	} {
		client := newTestClient(t, testutil.NewServer(t, respondRejected(status)).Addr())
		client.attempt(testutil.Timeout)
		if open := client.OpenConnections(); open != 0 {
			t.Errorf("status %d: got %d open connections, want 0", status, open)
		}
	}
}

// Bytes that arrived within the late window are no response, even if the process was stopped and reads them later.
func TestResponseReadAfterStallIsNoResponse(t *testing.T) {
	const lateWindow = 100 * time.Millisecond
	server := testutil.NewServer(t, testutil.Echo)
	client, options := newTestClient(t, server.Addr()), newOptions(testutil.Timeout)
	options.Reuse.LateWindow = lateWindow
	if result, _ := client.Attempt(t.Context(), newUnsafeRequest(), "s0", options); result != balancer.Served {
		t.Fatalf("got result %v, want served", result)
	}
	conn := client.pool.takeIdle("s0", 0)
	client.pool.mu.Lock()
	conn.netConn = delayedConn{conn.netConn, func() { time.Sleep(2 * lateWindow) }}
	client.pool.mu.Unlock()
	client.pool.release(conn)
	if result, _ := client.Attempt(t.Context(), newUnsafeRequest(), "s0", options); result != balancer.Reset {
		t.Errorf("got result %v, want a reset", result)
	}
}
