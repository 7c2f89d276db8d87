package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

func TestConnectionRefused(t *testing.T) {
	server := testutil.NewServer(t, testutil.Echo)
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	client := newTestClient(t, server.Addr())
	if result, _ := client.attempt(testutil.Timeout); result != balancer.ConnectFailed {
		t.Errorf("got result %d, want ConnectFailed", result)
	}
}

func TestUnknownEndpoint(t *testing.T) {
	result, response := newTestClient(t).attempt(testutil.Timeout)
	if result != balancer.ConnectFailed || !errors.Is(response.Err, errNotServing) {
		t.Errorf("got result %d, error %v, want ConnectFailed with errNotServing", result, response.Err)
	}
}

// An attempt to a machine that has vanished fails within the connect timeout, with a result that says that the request
// did not run.
func TestConnectTimeout(t *testing.T) {
	client := newTestClient(t, listenWithFullBacklog(t))
	client.pool.dialer.Timeout = 250 * time.Millisecond
	start := time.Now()
	result, _ := client.attempt(testutil.Timeout)
	if took := time.Since(start); result != balancer.ConnectFailed || took > testutil.Timeout/2 {
		t.Errorf("got result %d after %v, want ConnectFailed within the connect timeout", result, took)
	}
}

// A request must not be sent if, during the dial of its connection, its endpoint starts to drain or is removed, the
// request finishes, or its client disconnects.
func TestRequestNotSentAfterDial(t *testing.T) {
	const requestFinished = "request finished"
	draining := endpoint.Entry{ID: "s0", Addr: "127.0.0.1:1", State: endpoint.StateDraining}
	tests := []struct {
		name       string
		duringDial func(client *Client, request *Request, end func())
		want       balancer.Result
	}{
		{"draining", func(client *Client, _ *Request, _ func()) {
			client.table.Apply(endpoint.List{Entries: []endpoint.Entry{draining}})
		}, balancer.ConnectFailed},
		{"removed", func(client *Client, _ *Request, _ func()) {
			client.table.Apply(endpoint.List{Complete: true})
		}, balancer.ConnectFailed},
		{requestFinished, func(_ *Client, _ *Request, end func()) { end() }, balancer.NotSent},
		{"client gone", func(_ *Client, request *Request, _ func()) {
			request.Validate = func() error { return errors.New("client disconnected") }
		}, balancer.NotSent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := testutil.NewServer(t, testutil.Echo)
			client, request := newTestClient(t, server.Addr()), newUnsafeRequest()
			done, end := context.WithCancel(context.Background())
			defer end()
			request.Lifetime = done
			client.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
				tt.duringDial(client, request, end)
				return nil
			}
			result, _ := client.Attempt(context.Background(), request, "s0", newOptions(testutil.Timeout))
			if result != tt.want {
				t.Errorf("got result %d, want %d", result, tt.want)
			}
			client.CloseIdle("s0")
			if tt.name != requestFinished {
				testutil.Receive(t, server.Closed) // the connection is closed without a request on it
			}
			if len(server.Received) != 0 {
				t.Error("endpoint received a request, want none")
			}
		})
	}
}

// A list may report the restart or the new address of an endpoint after a connection was selected and before the
// request is sent. The request must not be sent to the earlier process, nor to another process at the old address, but
// exactly once, on a new connection to the new process.
func TestRestartBeforeRequestIsSent(t *testing.T) {
	restarted := func(old, _ string) endpoint.Entry {
		return endpoint.Entry{ID: "s0", Addr: old, State: endpoint.StateServing, StartedAtUnixMs: 7}
	}
	moved := func(_, other string) endpoint.Entry {
		return endpoint.Entry{ID: "s0", Addr: other, State: endpoint.StateServing}
	}
	for _, tt := range []struct {
		name  string
		idle  bool // use an idle connection to the earlier process that is not closed yet
		entry func(old, other string) endpoint.Entry
	}{
		{"restarted during the dial", false, restarted},
		{"moved during the dial", false, moved},
		{"restarted, with an idle connection", true, restarted},
		{"moved, with an idle connection", true, moved},
	} {
		t.Run(tt.name, func(t *testing.T) {
			old, other := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
			client := newTestClient(t, old.Addr())
			entry := tt.entry(old.Addr(), other.Addr())
			apply := sync.OnceFunc(func() {
				client.table.Apply(endpoint.List{Entries: []endpoint.Entry{entry}})
			})
			previousConnection := ""
			if tt.idle {
				client.mustServe(t)
				previousConnection = testutil.Receive(t, old.Received).RemoteAddr
				apply()
			} else {
				client.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error { apply(); return nil }
			}
			client.mustServe(t)
			testutil.Receive(t, old.Closed)
			target := old
			if entry.Addr == other.Addr() {
				target = other
			}
			if r := testutil.Receive(t, target.Received); r.RemoteAddr == previousConnection {
				t.Error("request was sent on the old connection, want a new connection")
			}
			if len(old.Received)+len(other.Received) != 0 {
				t.Error("request was sent twice or to the old address, want once to the new process")
			}
		})
	}
}

func TestHealthCheck(t *testing.T) {
	var status atomic.Int32
	status.Store(http.StatusOK)
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		testutil.Respond(conn, int(status.Load()), "", "TEXT inflight=7, queue=2, util=0.61")
		return true
	})
	client := newTestClient(t, server.Addr())
	result, _ := client.HealthCheck(context.Background(), "s0", balancer.ReuseTerms{})
	if path := testutil.Receive(t, server.Received).URL.Path; result != balancer.Served || path != "/healthz" {
		t.Errorf("got result %d, path %s, want Served, /healthz", result, path)
	}
	client.loadReports = balancer.LoadReportsWithHealthChecks
	_, response := client.HealthCheck(context.Background(), "s0", balancer.ReuseTerms{})
	if path := testutil.Receive(t, server.Received).URL.Path; path != "/load" {
		t.Errorf("got path %s, want /load", path)
	}
	report := response.LoadReport()
	if report.InFlight != 7 || report.Queue != 2 || report.Utilization != 0.61 || report.Throughput != -1 {
		t.Errorf("got load report %+v, want in flight 7, queue 2, utilization 0.61, no throughput", report)
	}
	status.Store(http.StatusServiceUnavailable)
	result, _ = client.HealthCheck(context.Background(), "s0", balancer.ReuseTerms{})
	if result != balancer.ServerError {
		t.Errorf("got result %d, want ServerError", result)
	}
}

// An attempt must not start after AttemptOptions.NotAfter, even if the process stalls right before the request is sent.
func TestAttemptNotStartedAfterBound(t *testing.T) {
	for _, tt := range []struct {
		name     string
		timeLeft time.Duration // time until NotAfter when the attempt is called
		stall    time.Duration
		want     balancer.Result
	}{
		{"before the bound", testutil.Timeout, 0, balancer.Served},
		{"after the bound", -time.Second, 0, balancer.NotSent},
		{"within startMargin of the bound", 10 * time.Millisecond, 0, balancer.NotSent},
		{"delayed past the bound", time.Second, 1100 * time.Millisecond, balancer.NotSent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			client, request := newTestClient(t, server.Addr()), newUnsafeRequest()
			request.Validate = func() error { time.Sleep(tt.stall); return nil }
			options := newOptions(testutil.Timeout)
			options.NotAfter = time.Now().Add(tt.timeLeft)
			if result, _ := client.Attempt(t.Context(), request, "s0", options); result != tt.want {
				t.Errorf("got result %d, want %d", result, tt.want)
			}
			if served := tt.want == balancer.Served; len(server.Received) > 0 != served {
				t.Errorf("endpoint received %d requests, want a request only if served", len(server.Received))
			}
		})
	}
}
