package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

func TestConnectionIsReused(t *testing.T) {
	connections := map[string]bool{}
	server := testutil.NewServer(t, testutil.Echo)
	client := newTestClient(t, server.Addr())
	for range 5 {
		result, response := client.attempt(testutil.Timeout)
		if result != balancer.Served || string(response.Body) != "did x" {
			t.Fatalf("got result %d, body %q, want Served, \"did x\"", result, response.Body)
		}
		connections[testutil.Receive(t, server.Received).RemoteAddr] = true
	}
	if len(connections) != 1 {
		t.Errorf("5 sequential requests used %d connections, want 1", len(connections))
	}
}

// A connection that the endpoint closed while it was idle must not be reused: the attempt would end with Reset, and an
// unsafe request can't be retried after that.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	var requests atomic.Int32
	server := testutil.NewServer(t, func(conn net.Conn, request *http.Request, body []byte) bool {
		testutil.Echo(conn, request, body)
		return requests.Add(1) > 1 // close the first connection after its response, without a Connection header
	})
	client := newTestClient(t, server.Addr())
	client.mustServe(t)
	testutil.WaitFor(t, "the close", func() bool { return socket.Peek(client.oldestIdle()) != socket.Empty })
	client.mustServe(t) // uses a new connection
}

// The pool closes connections that exceed its idle timeout, which is below that of the endpoints.
func TestIdleTimeout(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	client := newTestClient(t, server.Addr())
	client.pool.idleTimeout = 10 * time.Millisecond
	client.mustServe(t)
	testutil.Receive(t, server.Closed)
	testutil.WaitFor(t, "the pool to remove the connection", func() bool { return client.OpenConnections() == 0 })
}

func TestIdleTimeoutFromOptions(t *testing.T) {
	for endpointIdleTimeout, want := range map[time.Duration]time.Duration{
		0:                defaultIdleTimeout,
		40 * time.Second: 30 * time.Second,
	} {
		client := New(Options{EndpointIdleTimeout: endpointIdleTimeout})
		if got := client.pool.idleTimeout; got != want {
			t.Errorf("endpoint idle timeout %v: got pool idle timeout %v, want %v", endpointIdleTimeout, got, want)
		}
	}
}

// If a machine has vanished, requests on its idle connections are lost without an error, and unsafe requests can't be
// retried. After a timeout, the idle connections to the endpoint must therefore be closed.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	client, next := newClientWithTwoIdle(t, testutil.Hang)
	next <- struct{}{}
	if result, _ := client.attempt(time.Second); result != balancer.TimedOut {
		t.Fatalf("got result %d, want TimedOut", result)
	}
	if n := client.OpenConnections(); n != 0 {
		t.Errorf("got %d open connections after a timeout, want 0", n)
	}
}

// If a connection fails that was idle before, connections that were idle for as long or longer are presumed dead and
// must be closed. The failure of a connection that was not idle implies nothing about the others, and closing them
// would cost one handshake each.
func TestIdleConnectionsAfterFailure(t *testing.T) {
	closeConnection := func(net.Conn, *http.Request, []byte) bool { return false }
	for _, tt := range []struct {
		name         string
		idleDuration time.Duration
		wantOpen     int
	}{
		{"not idle before", 0, 1},
		{"idle before", time.Minute, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client, next := newClientWithTwoIdle(t, closeConnection)
			client.pool.mu.Lock()
			for i, conn := range client.pool.groups["s0"].idle { // oldest first
				conn.idleSince = time.Now().Add(-tt.idleDuration - time.Duration(1-i)*time.Microsecond)
			}
			client.pool.mu.Unlock()
			client.pool.idleTimeout = time.Hour
			next <- struct{}{}
			if result, _ := client.attempt(testutil.Timeout); result != balancer.Reset {
				t.Fatalf("got result %d, want Reset", result)
			}
			if n := client.OpenConnections(); n != tt.wantOpen {
				t.Errorf("got %d open connections, want %d", n, tt.wantOpen)
			}
		})
	}
}

// CloseIdle must not affect a connection in use: for example, an endpoint that refuses new connections may still
// respond on the existing ones. DrainConnections closes a connection in use after its response.
func TestConnectionsInUse(t *testing.T) {
	for _, tt := range []struct {
		name     string
		event    func(client *Client)
		wantOpen int
	}{
		{"close idle", func(client *Client) { client.CloseIdle("s0") }, 1},
		{"drain", func(client *Client) { client.DrainConnections("s0") }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			gate := make(chan struct{})
			server := testutil.NewServer(t, func(conn net.Conn, request *http.Request, body []byte) bool {
				<-gate
				return testutil.Echo(conn, request, body)
			})
			client := newTestClient(t, server.Addr())
			results := make(chan balancer.Result, 1)
			client.startAttempt(results)
			testutil.Receive(t, server.Received)
			tt.event(client)
			close(gate)
			result := testutil.Receive(t, results)
			if open := client.OpenConnections(); result != balancer.Served || open != tt.wantOpen {
				t.Errorf("got result %d, %d open connections, want Served, %d", result, open, tt.wantOpen)
			}
		})
	}
}

// At the connection limit, a dial evicts an idle connection to another endpoint. If none is idle, the attempt fails
// without sending the request.
func TestConnectionLimit(t *testing.T) {
	first, second := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	client := newTestClient(t, first.Addr(), second.Addr())
	client.pool.maxConnections = 1
	client.mustServe(t)
	result, _ := client.Attempt(context.Background(), newUnsafeRequest(), "s1", newOptions(testutil.Timeout))
	if result != balancer.Served {
		t.Errorf("got result %d, want Served after the eviction of the idle connection", result)
	}
	testutil.Receive(t, first.Closed)
	inUse := client.pool.takeIdle("s1", 0)
	result, response := client.attempt(testutil.Timeout)
	if result != balancer.LocalFailure || !errors.Is(response.Err, errPoolExhausted) {
		t.Errorf("got result %d, error %v, want LocalFailure with errPoolExhausted", result, response.Err)
	}
	client.pool.close(inUse, closeRequested)
}

// The pool must not keep a group for an endpoint without connections, or it would grow with each endpoint.
func TestPoolRemovesEmptyGroups(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	client := newTestClient(t, server.Addr())
	client.mustServe(t)
	client.DrainConnections("s0")
	client.DrainConnections("s1")
	if n := len(client.pool.groups); n != 0 || client.OpenConnections() != 0 {
		t.Errorf("got %d groups and %d connections, want none", n, client.OpenConnections())
	}
}
