package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/config"
	"ashshunt/internal/testutil"
)

// stoppable runs an agent until stop is called.
func startStoppable(t *testing.T, c *config.Config, prepare func(*Agent)) (a *Agent, logged *testutil.Log, stop func(), ended chan error) {
	t.Helper()
	logged = &testutil.Log{}
	a, err := New(c, testutil.NewLogger(logged))
	if err != nil {
		t.Fatal(err)
	}
	prepare(a)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended = make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	testutil.Receive(t, a.loop.ready)
	return a, logged, cancel, ended
}

// Guards against clients that go on sending, up to the kill, on the connections that a stop leaves open: those at
// rest are closed while new ones are still taken, and one in use with its answer, whenever its request came.
func TestStopClosesKeptConnections(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("X-Call-Id") == id {
			<-gate
		}
		return testutil.Echo(c, r, body)
	})
	a, logged, stop, ended := startStoppable(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")),
		func(a *Agent) { a.acceptPeriod = 3 * time.Second })
	kept := dialRaw(t, a, get(id[:15]+"2"))
	in := bufio.NewReader(kept)
	if resp := testutil.ReadResponse(t, in); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before the stop: status %d, close %v", resp.StatusCode, resp.Close)
	}
	busy := dialRaw(t, a, get(id))
	mute := dialRaw(t, a, "")
	for range 2 {
		testutil.Receive(t, p.Received)
	}
	testutil.Eventually(t, "the connections to be taken", func() bool {
		open, idle := a.frontend.Connections()
		return open == 3 && idle == 2
	})
	stop()
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("a kept connection: %v, want its end", err)
	}
	testutil.Eventually(t, "the drain", func() bool { return logged.Contains("shutting down") })
	close(gate)
	if resp := testutil.ReadResponse(t, bufio.NewReader(busy)); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("under way as the stop came: status %d, close %v", resp.StatusCode, resp.Close)
	}
	io.WriteString(mute, get(id[:15]+"3")) // connected before the stop, and still on its way
	if resp := testutil.ReadResponse(t, bufio.NewReader(mute)); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on a connection that had said nothing: status %d, close %v", resp.StatusCode, resp.Close)
	}
	if err := testutil.Receive(t, ended); err != nil {
		t.Error(err)
	}
}

// Guards against losing a request that waits for its backoff as the stop comes.
func TestStopAtBackoff(t *testing.T) {
	t.Parallel()
	failed := make(chan struct{})
	first := true
	p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if first {
			first = false
			testutil.Respond(c, 500, "", "")
			return true
		}
		return testutil.Echo(c, r, body)
	})
	var stopped func() bool
	a, logged, stop, ended := startStoppable(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")),
		func(a *Agent) {
			wait := []balancer.Action{balancer.SetTimer{After: time.Millisecond, Token: 1}}
			send := []balancer.Action{balancer.Send{Request: id, Endpoint: "s0"}}
			a.loop.module = scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
				switch e := e.(type) {
				case balancer.Request:
					return send
				case balancer.Outcome:
					if e.Result == balancer.ServerError {
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
			})
		})
	stopped = func() bool { return logged.Contains("shutting down") }
	c := dialRaw(t, a, get(id))
	testutil.Receive(t, failed)
	stop()
	if resp := testutil.ReadResponse(t, bufio.NewReader(c)); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("at backoff as the stop came: status %d, close %v", resp.StatusCode, resp.Close)
	}
	if err := testutil.Receive(t, ended); err != nil {
		t.Error(err)
	}
}

// Guards against a kill that comes before the last answers where deadlines are short: it waits for the longest
// deadline, 3 s at the most, and 0.7 s more.
func TestStopEndsBeforeTheKill(t *testing.T) {
	for _, tt := range []struct{ deadline, kill time.Duration }{
		{300 * time.Millisecond, time.Second},
		{1200 * time.Millisecond, 1900 * time.Millisecond},
		{8 * time.Second, 3700 * time.Millisecond},
	} {
		s := balancer.Settings{Classes: []balancer.Class{{Deadline: 100 * time.Millisecond}, {Deadline: tt.deadline}}}
		if end := shutdownTimeout(s) + finalWriteTime; end >= tt.kill {
			t.Errorf("deadline %v: ends %v after a stop, to be killed after %v", tt.deadline, end, tt.kill)
		}
		if shutdownTimeout(s) < min(tt.deadline, 3*time.Second) {
			t.Errorf("deadline %v: what came just before the stop gets %v", tt.deadline, shutdownTimeout(s))
		}
	}
}
