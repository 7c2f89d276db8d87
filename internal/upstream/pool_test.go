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
			t.Fatalf("result %d, body %q", result, response.Body)
		}
		connections[testutil.Receive(t, server.Received).RemoteAddr] = true
	}
	if len(connections) != 1 {
		t.Errorf("5 requests one after the other took %d connections", len(connections))
	}
}

// A connection that the endpoint has closed while it was idle is not written to: the request would end as a reset,
// which an unsafe one does not survive.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	var requests atomic.Int32
	server := testutil.NewServer(t, func(conn net.Conn, request *http.Request, body []byte) bool {
		testutil.Echo(conn, request, body)
		return requests.Add(1) > 1 // closes the first connection after its response, unannounced
	})
	client := newTestClient(t, server.Addr())
	client.mustServe(t)
	testutil.WaitFor(t, "the close", func() bool { return socket.Peek(client.oldestIdle()) != socket.Empty })
	client.mustServe(t) // on a new connection
}

// The agent closes idle connections before the endpoint does.
func TestIdleTimeout(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	client := newTestClient(t, server.Addr())
	client.pool.idleTimeout = 10 * time.Millisecond
	client.mustServe(t)
	testutil.Receive(t, server.Closed)
	testutil.WaitFor(t, "the pool to forget it", func() bool { return client.OpenConnections() == 0 })
}

func TestIdleTimeoutFromOptions(t *testing.T) {
	for idleClose, want := range map[time.Duration]time.Duration{
		0:                defaultIdleTimeout,
		40 * time.Second: 30 * time.Second,
	} {
		client := New(Options{EndpointIdleTimeout: idleClose})
		if got := client.pool.idleTimeout; got != want {
			t.Errorf("endpoints close after %v: the pool does after %v, want %v", idleClose, got, want)
		}
	}
}

// Idle connections to a machine that vanished swallow what is written to them, and an unsafe request never gets
// another attempt.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	client, next := newClientWithTwoIdle(t, testutil.Hang)
	next <- struct{}{}
	if result, _ := client.attempt(time.Second); result != balancer.TimedOut {
		t.Fatalf("result %d, want TimedOut", result)
	}
	if n := client.OpenConnections(); n != 0 {
		t.Errorf("%d connections are left to a silent endpoint", n)
	}
}

// A busy connection that breaks says nothing about the others, which would cost a handshake each; one that breaks after
// it was idle shows that those that were idle for as long are dead as well.
func TestIdleConnectionsAfterFailure(t *testing.T) {
	closeConnection := func(net.Conn, *http.Request, []byte) bool { return false }
	for _, tt := range []struct {
		name         string
		idleDuration time.Duration
		wantOpen     int
	}{
		{"in full use", 0, 1},
		{"after it was idle", time.Minute, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client, next := newClientWithTwoIdle(t, closeConnection)
			client.pool.mu.Lock()
			for i, conn := range client.pool.groups["s0"].idle { // the older one first
				conn.idleSince = time.Now().Add(-tt.idleDuration - time.Duration(1-i)*time.Microsecond)
			}
			client.pool.mu.Unlock()
			client.pool.idleTimeout = time.Hour
			next <- struct{}{}
			if result, _ := client.attempt(testutil.Timeout); result != balancer.Reset {
				t.Fatalf("result %d, want Reset", result)
			}
			if n := client.OpenConnections(); n != tt.wantOpen {
				t.Errorf("%d connections are left, want %d", n, tt.wantOpen)
			}
		})
	}
}

// A connection in use stays when others are closed over one that failed, as when an endpoint takes no more of them;
// one to a process that was restarted closes with its response.
func TestConnectionsInUse(t *testing.T) {
	for _, tt := range []struct {
		name     string
		event    func(client *Client)
		wantOpen int
	}{
		{"another one failed", func(client *Client) { client.CloseIdle("s0") }, 1},
		{"drained", func(client *Client) { client.DrainConnections("s0") }, 0},
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
				t.Errorf("result %d, %d connections open, want %d", result, open, tt.wantOpen)
			}
		})
	}
}

// At the limit an idle connection elsewhere makes room; when none is idle the attempt fails unsent.
func TestConnectionLimit(t *testing.T) {
	first, second := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	client := newTestClient(t, first.Addr(), second.Addr())
	client.pool.maxConnections = 1
	client.mustServe(t)
	result, _ := client.Attempt(context.Background(), newUnsafeRequest(), "s1", newBounds(testutil.Timeout))
	if result != balancer.Served {
		t.Errorf("result %d, want Served in place of the idle connection", result)
	}
	testutil.Receive(t, first.Closed)
	inUse := client.pool.takeIdle("s1")
	result, response := client.attempt(testutil.Timeout)
	if result != balancer.LocalFailure || !errors.Is(response.Err, ErrPoolExhausted) {
		t.Errorf("result %d, error %v, want LocalFailure at the limit", result, response.Err)
	}
	client.pool.close(inUse)
}

// Nothing is kept of an endpoint without connections.
func TestPoolRemovesEmptyGroups(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	client := newTestClient(t, server.Addr())
	client.mustServe(t)
	client.DrainConnections("s0")
	client.DrainConnections("s1")
	if n := len(client.pool.groups); n != 0 || client.OpenConnections() != 0 {
		t.Errorf("%d groups and %d connections are left", n, client.OpenConnections())
	}
}
