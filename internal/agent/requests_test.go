package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/testutil"
)

// Two open requests with one id would share one answer.
func TestDuplicateOpenRequestID(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Hang)
	a := startAgent(t, newConfig(t, server))
	first := make(chan int, 1)
	go func() { first <- requestStatus(t, a, "POST", "/settle", id, "4000") }()
	testutil.Receive(t, server.Received)
	if status := requestStatus(t, a, "POST", "/settle", id, "4000"); status != http.StatusBadRequest {
		t.Errorf("status %d, want 400", status)
	}
	if status := testutil.Receive(t, first); status != http.StatusBadGateway {
		t.Errorf("first request: status %d, want 502", status)
	}
}

// A request that may have run and must not run twice is not rejected, which would invite a repeat, and its answer
// comes within the client's time.
func TestUnresponsiveEndpointFailsRequest(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Hang)
	a := startAgent(t, newConfig(t, server))
	startedAt := time.Now()
	status := requestStatus(t, a, "POST", "/settle", id, "1500")
	if elapsed := time.Since(startedAt); status != http.StatusBadGateway || elapsed < time.Second {
		t.Errorf("status %d after %v", status, elapsed)
	}
	if len(server.Received) != 1 {
		t.Errorf("%d attempts of a request that may have run", len(server.Received))
	}
}

// A failed connect has no effect: a request that must not run twice is retried elsewhere.
func TestNonIdempotentRequestIsRetriedAfterConnectFailure(t *testing.T) {
	t.Parallel()
	dead, server := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	if err := dead.Close(); err != nil {
		t.Fatal(err)
	}
	a := startAgent(t, newConfig(t, dead, server))
	const requests = 4
	served := 0
	for i := range requests {
		if requestStatus(t, a, "POST", "/settle", testutil.NthID(i), "7000") == http.StatusOK {
			served++
		}
	}
	if served != requests {
		t.Errorf("%d of %d served with one endpoint of two dead", served, requests)
	}
}

// Where the module forgets a request, or panics, the client still gets one answer in time.
func TestDeadlineGuard(t *testing.T) {
	t.Parallel()
	c := testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"))
	a, logged := startScripted(t, c, func(_ time.Duration, event balancer.Event) []balancer.Action {
		if _, ok := event.(balancer.Request); ok {
			panic("out of ideas")
		}
		return nil
	})
	status := requestStatus(t, a, "GET", "/look", id, "300")
	if status != http.StatusBadGateway || !logged.Contains("out of ideas") ||
		!logged.Contains("no final answer by the deadline") {
		t.Errorf("status %d", status)
	}
}

// The rule on rejections holds whatever the module says, and its Retry-After is passed on.
func TestRejections(t *testing.T) {
	t.Parallel()
	first := true
	a, logged := startScripted(t, newConfig(t, testutil.NewServer(t, testutil.Hang)),
		func(_ time.Duration, event balancer.Event) []balancer.Action {
			request, ok := event.(balancer.Request)
			if !ok {
				return nil
			}
			reject := balancer.Reject{Request: request.ID, RetryAfter: 1500 * time.Millisecond}
			if first {
				first = false
				return []balancer.Action{balancer.Send{Request: request.ID, Endpoint: "s0"}, reject}
			}
			return []balancer.Action{reject}
		})
	status := requestStatus(t, a, "POST", "/settle", id, "7000")
	if status != http.StatusBadGateway || !logged.Contains("internal error") {
		t.Errorf("rejected with an attempt in flight: status %d, want 502", status)
	}
	response, _ := testutil.Do(t, a.Addr(), "POST", "/settle", "", "X-Call-Id", otherID, "X-Budget-Ms", "7000")
	retryAfter := response.Header.Get("Retry-After")
	if response.StatusCode != http.StatusServiceUnavailable || retryAfter != "1.5" {
		t.Errorf("status %d, Retry-After %q", response.StatusCode, retryAfter)
	}
}

// A disconnect of a client whose request was rejected, since its id was open or too many were, must not pass for that
// of the client whose request is open, nor free a place.
func TestDisconnectAfterRejection(t *testing.T) {
	l := newTestLoop(t)
	client := submit(l, id, time.Minute)
	first := l.requests.find(id)
	duplicate := submit(l, id, time.Minute)
	l.settings.MaxOpen = 1
	beyondLimit := submit(l, otherID, time.Minute)
	events := len(l.pending)
	for _, rejected := range []*frontend.Request{duplicate, beyondLimit} {
		if len(rejected.Response()) != 1 {
			t.Error("not rejected at once")
		}
		requestAbandoned{rejected}.handle(context.Background(), l)
	}
	if first.isFinished() || l.requests.openCount != 1 || len(l.requests.byID) != 1 || len(l.pending) != events {
		t.Errorf("open request: phase %d, %d open, %d in the table, %d events more",
			first.phase, l.requests.openCount, len(l.requests.byID), len(l.pending)-events)
	}
	requestAbandoned{client}.handle(context.Background(), l)
	if !first.isFinished() || l.requests.openCount != 0 || len(l.requests.byID) != 0 || l.timers.len() != 0 ||
		len(l.pending) != events+1 {
		t.Errorf("after its own disconnect: phase %d, %d open, %d in the table, %d timers",
			first.phase, l.requests.openCount, len(l.requests.byID), l.timers.len())
	}
}

// stepLate steps a loop with a tick of 1 ms so long after a request of 6 s came, and returns the request, the time of
// the step and the timeout that the module was given.
func stepLate(t *testing.T, delay time.Duration) (r *openRequest, now, timeout time.Duration) {
	t.Helper()
	l := newTestLoop(t)
	l.module = scriptedModule(func(_ time.Duration, event balancer.Event) []balancer.Action {
		if request, ok := event.(balancer.Request); ok {
			timeout = request.Timeout
		}
		return nil
	})
	submit(l, id, 6*time.Second)
	r = l.requests.find(id)
	now = r.inbound.ArrivedAt + delay
	l.step(context.Background(), now)
	return r, now, timeout
}

// A late step must not make each client look like one that retries.
func TestLateStepDoesNotReduceTimeout(t *testing.T) {
	_, _, timeout := stepLate(t, 80*time.Millisecond)
	if want := 6*time.Second - attemptMargin - time.Millisecond; timeout != want {
		t.Errorf("the module was given a timeout of %v, want %v", timeout, want)
	}
}

// An attempt must not time out with its request before the module's deadline for the request: the module would wait
// for a retry that has no time, until the deadline guard answers.
func TestAttemptsEndAtModuleDeadline(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 80 * time.Millisecond} {
		r, now, timeout := stepLate(t, delay)
		if delay <= time.Millisecond && r.attemptsUntil != now+timeout {
			t.Errorf("a step %v late: attempts end %v before the deadline that the module knows", delay,
				now+timeout-r.attemptsUntil)
		}
		if r.attemptsUntil >= r.inbound.Deadline-guardMargin {
			t.Errorf("a step %v late: attempts end after the deadline guard", delay)
		}
	}
}

// A request that was never sent anywhere is rejected, so that its client may come again, however little time it has.
func TestRequestsWithShortTimeout(t *testing.T) {
	t.Parallel()
	a := startAgent(t, newConfig(t, testutil.NewServer(t, testutil.Hang)))
	for _, timeout := range []string{"1", "3", "5", "10", "20"} {
		if status := requestStatus(t, a, "POST", "/settle", id, timeout); status != http.StatusServiceUnavailable {
			t.Errorf("%s ms: status %d, want 503", timeout, status)
		}
	}
}

// A request that comes once all have to be answered is rejected at once, and the decision module hears nothing of it.
func TestRequestAfterShutdownDeadline(t *testing.T) {
	t.Parallel()
	l := newTestLoop(t)
	l.handleShutdownStarted()
	l.shutdownDeadline = l.clock.Now()
	events := len(l.pending)
	request := submit(l, id, time.Second)
	select {
	case response := <-request.Response():
		if response.Status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", response.Status)
		}
	default:
		t.Error("it was not answered at once")
	}
	if len(l.pending) != events || len(l.requests.byID) != 0 {
		t.Error("the decision module hears of it")
	}
}
