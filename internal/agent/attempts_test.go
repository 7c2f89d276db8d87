package agent

import (
	"net/http"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

// Each Send takes a number and gets one outcome: a hedged request, a send beyond the limit, a cancelled one.
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
		t.Errorf("status %d", status)
	}
	want := []balancer.Result{balancer.Cancelled, balancer.ConnectFailed, balancer.TimedOut, balancer.NotSent}
	seen := map[int]bool{}
	for range want {
		outcome := testutil.Receive(t, outcomes)
		if outcome.Result != want[outcome.Attempt] || outcome.Done || seen[outcome.Attempt] {
			t.Errorf("attempt %d: result %d, done %v", outcome.Attempt, outcome.Result, outcome.Done)
		}
		seen[outcome.Attempt] = true
	}
	if len(outcomes) != 0 || len(unused.Received) != 0 {
		t.Errorf("%d outcomes too many; %d sends beyond the limit", len(outcomes), len(unused.Received))
	}
}

// Where the settings say that endpoints never close an idle connection, connections are reused all the same.
func TestConnectionsWithoutIdleClose(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	c := newConfig(t, server)
	c.Settings.IdleClose = 0
	a := startAgent(t, c)
	var from []string
	for i := range 2 {
		if status := requestStatus(t, a, "GET", "/look", testutil.NthID(i), "7000"); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		from = append(from, testutil.Receive(t, server.Received).RemoteAddr)
	}
	if from[0] != from[1] {
		t.Error("two connections for two requests, one after the other")
	}
}
