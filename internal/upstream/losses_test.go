package upstream

import (
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

// attemptAt sends an unsafe request to endpoint s0, which may depend on the process there.
func attemptAt(t *testing.T, client *Client, sameProcess bool) balancer.Result {
	t.Helper()
	options := newOptions(testutil.Timeout)
	options.SameProcess = sameProcess
	result, _ := client.Attempt(t.Context(), newUnsafeRequest(), "s0", options)
	return result
}

// An attempt that depends on the listed process must be withheld once a connection to it was lost, however that came to
// light. Other attempts go to whatever process is at the address.
func TestAttemptIsWithheldAfterLoss(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		lose func(t *testing.T, client *Client, server *testutil.Server, events <-chan balancer.Event)
	}{
		{"idle connection, found by the attempt", resetIdle},
		{"idle connection, found by a sweep", resetIdleUntilSweep},
		{"idle connection, closed for another reason", resetIdleAndClose},
		{"refused dial", refuseDial},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, testutil.Echo)
			client := newTestClient(t, server.Addr())
			events := make(chan balancer.Event, 10)
			client.pool.onEvent = func(event balancer.Event) { events <- event }
			if result := attemptAt(t, client, true); result != balancer.Served {
				t.Fatalf("got result %v before the loss, want served", result)
			}
			tt.lose(t, client, server, events)
			next := testutil.NewServerAt(t, server.Addr(), testutil.Echo)
			if result := attemptAt(t, client, true); result != balancer.Withheld || len(next.Received) > 0 {
				t.Errorf("got result %v and %d requests at the new process, want none", result, len(next.Received))
			}
			if result := attemptAt(t, client, false); result != balancer.Served {
				t.Errorf("got result %v for an attempt at any process, want served", result)
			}
			if result := attemptAt(t, client, true); result != balancer.Withheld {
				t.Errorf("got result %v with a connection to the new process, want withheld", result)
			}
		})
	}
}

func resetIdle(t *testing.T, _ *Client, server *testutil.Server, _ <-chan balancer.Event) {
	t.Helper()
	server.Reset(t)
}

// resetIdleUntilSweep also waits for the report of the loss.
func resetIdleUntilSweep(t *testing.T, _ *Client, server *testutil.Server, events <-chan balancer.Event) {
	t.Helper()
	server.Reset(t)
	if event := testutil.Receive(t, events); event != (balancer.ConnectionLost{Endpoint: "s0"}) {
		t.Errorf("got event %+v, want the loss of a connection to s0", event)
	}
}

// resetIdleAndClose also closes the connection, as if it were presumed dead.
func resetIdleAndClose(t *testing.T, client *Client, server *testutil.Server, _ <-chan balancer.Event) {
	t.Helper()
	server.Reset(t)
	client.CloseIdle("s0")
}

// refuseDial leaves no connection that could be lost, and lets a dial fail.
func refuseDial(t *testing.T, client *Client, server *testutil.Server, _ <-chan balancer.Event) {
	t.Helper()
	client.CloseIdle("s0")
	server.Reset(t)
	if result := attemptAt(t, client, false); result != balancer.ConnectFailed {
		t.Errorf("got result %v at a closed port, want a failed connect", result)
	}
}

// A loss counts until a list must have explained it, or has done so.
func TestConnectionLosses(t *testing.T) {
	t.Parallel()
	losses, now := newConnectionLosses(), time.Now()
	losses.record("a", now)
	losses.record("b", now.Add(time.Second))
	for _, tt := range []struct {
		endpointID string
		after      time.Duration
		want       bool
	}{
		{"a", 0, true},
		{"a", balancer.MaxNoticeDelay - 1, true},
		{"a", balancer.MaxNoticeDelay, false},
		{"b", balancer.MaxNoticeDelay, true},
		{"c", 0, false},
	} {
		if got := losses.mayHaveBeenReplaced(tt.endpointID, now.Add(tt.after)); got != tt.want {
			t.Errorf("%s after %v: got %v, want %v", tt.endpointID, tt.after, got, tt.want)
		}
	}
	losses.forget("b")
	if losses.mayHaveBeenReplaced("b", now) {
		t.Error("got a loss that a list has explained")
	}
	losses.record("c", now.Add(balancer.MaxNoticeDelay))
	if len(losses.lostAt) != 1 {
		t.Errorf("got %d losses, want the latest alone", len(losses.lostAt))
	}
}
