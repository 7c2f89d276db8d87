package agent

import (
	"net/http"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

// Each Send must get the next attempt number and exactly one outcome: a cancelled attempt, one to an unknown endpoint,
// one that times out, and one beyond the maximum number of attempts.
func TestAttempts(t *testing.T) {
	t.Parallel()
	silent, unused := testutil.NewServer(t, testutil.Hang), testutil.NewServer(t, testutil.Echo)
	outcomes := make(chan balancer.Outcome, 10)
	module := func(_ time.Duration, event balancer.Event) []balancer.Action {
		switch event := event.(type) {
		case balancer.Request:
			return []balancer.Action{
				balancer.Send{Request: event.ID, Endpoint: "s0"},
				balancer.Send{Request: event.ID, Endpoint: "none"},
				balancer.Send{Request: event.ID, Endpoint: "s0", Timeout: time.Second},
				balancer.Send{Request: event.ID, Endpoint: "s1"},
			}
		case balancer.Outcome:
			outcomes <- event
			switch event.Attempt {
			case 2:
				return []balancer.Action{balancer.Cancel{Request: event.Request, Attempt: 0}}
			case 0:
				return []balancer.Action{balancer.Fail{Request: event.Request}}
			}
		}
		return nil
	}
	a, _ := startScripted(t, newConfig(t, silent, unused), module)
	if status := requestStatus(t, a, "GET", "/look", id, "9000"); status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", status)
	}
	want := []balancer.Result{balancer.Cancelled, balancer.ConnectFailed, balancer.TimedOut, balancer.NotSent}
	seen := map[int]bool{}
	for range want {
		outcome := testutil.Receive(t, outcomes)
		if outcome.Result != want[outcome.Attempt] || outcome.Done || seen[outcome.Attempt] {
			t.Errorf("attempt %d: got result %d, done %v; want one outcome per attempt, result as listed, not done",
				outcome.Attempt, outcome.Result, outcome.Done)
		}
		seen[outcome.Attempt] = true
	}
	if len(outcomes) != 0 || len(unused.Received) != 0 {
		t.Errorf("got %d extra outcomes and %d attempts beyond the limit, want 0", len(outcomes), len(unused.Received))
	}
}

// Connections must be reused if the settings state that endpoints never close idle connections.
func TestConnectionsWithoutIdleClose(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	c := newConfig(t, server)
	c.Settings.IdleClose = 0
	a := startAgent(t, c)
	var from []string
	for i := range 2 {
		time.Sleep(200 * time.Millisecond) // longer than the reuse delay
		if status := requestStatus(t, a, "GET", "/look", testutil.NthID(i), "7000"); status != http.StatusOK {
			t.Fatalf("got status %d, want 200", status)
		}
		from = append(from, testutil.Receive(t, server.Received).RemoteAddr)
	}
	if from[0] != from[1] {
		t.Error("got two connections for two sequential requests, want one")
	}
}
