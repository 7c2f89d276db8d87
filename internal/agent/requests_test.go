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

// A request with the ID of an open request must be rejected: both would get the same answer.
func TestDuplicateOpenRequestID(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Hang)
	a := startAgent(t, newConfig(t, server))
	first := make(chan int, 1)
	go func() { first <- requestStatus(t, a, "POST", "/settle", id, "4000") }()
	testutil.Receive(t, server.Received)
	if status := requestStatus(t, a, "POST", "/settle", id, "4000"); status != http.StatusBadRequest {
		t.Errorf("second request: got status %d, want 400", status)
	}
	if status := testutil.Receive(t, first); status != http.StatusBadGateway {
		t.Errorf("first request: got status %d, want 502", status)
	}
}

// A request that may have run and must not run twice must be failed, not rejected, since clients may retry rejected
// requests. Its answer must arrive before the client's deadline.
func TestUnresponsiveEndpointFailsRequest(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Hang)
	a := startAgent(t, newConfig(t, server))
	startedAt := time.Now()
	status := requestStatus(t, a, "POST", "/settle", id, "1500")
	if elapsed := time.Since(startedAt); status != http.StatusBadGateway || elapsed < time.Second {
		t.Errorf("got status %d after %v, want 502 after at least 1s", status, elapsed)
	}
	if len(server.Received) != 1 {
		t.Errorf("got %d attempts of a request that may have run, want 1", len(server.Received))
	}
}

// An attempt whose connect failed has not run: a request that must not run twice must be retried at another endpoint.
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
		t.Errorf("got %d of %d requests served with one of two endpoints down, want all", served, requests)
	}
}

// If the module panics and so leaves a request open, the client must still get an answer before its deadline.
func TestDeadlineGuard(t *testing.T) {
	t.Parallel()
	c := testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"))
	a, logged := startScripted(t, c, func(_ time.Duration, event balancer.Event) []balancer.Action {
		if _, ok := event.(balancer.Request); ok {
			panic("test panic")
		}
		return nil
	})
	status := requestStatus(t, a, "GET", "/look", id, "300")
	if status != http.StatusBadGateway || !logged.Contains("test panic") ||
		!logged.Contains("no final answer by the deadline") {
		t.Errorf("got status %d, want 502 and log lines for the panic and the deadline", status)
	}
}

// If the module rejects a request that may have run and must not run twice, the event loop must fail the request. It
// must execute any other rejection, with the module's Retry-After.
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
		t.Errorf("rejection with an attempt in flight: got status %d, want 502 and a logged internal error", status)
	}
	response, _ := testutil.Do(t, a.Addr(), "POST", "/settle", "", "X-Call-Id", otherID, "X-Budget-Ms", "7000")
	retryAfter := response.Header.Get("Retry-After")
	if response.StatusCode != http.StatusServiceUnavailable || retryAfter != "1.5" {
		t.Errorf("rejection without an attempt: got status %d, Retry-After %q, want 503, \"1.5\"",
			response.StatusCode, retryAfter)
	}
}

// The disconnect of a client whose request was rejected because of a duplicate ID or the limit of open requests must
// not abandon the open request with the same ID, nor change the number of open requests.
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
			t.Error("the request was not rejected at once")
		}
		requestAbandoned{rejected}.handle(context.Background(), l)
	}
	if first.isFinished() || l.requests.openCount != 1 || len(l.requests.byID) != 1 || len(l.pending) != events {
		t.Errorf("after other disconnects: got phase %d, %d open, %d in table, %d new events, want phaseOpen, 1, 1, 0",
			first.phase, l.requests.openCount, len(l.requests.byID), len(l.pending)-events)
	}
	requestAbandoned{client}.handle(context.Background(), l)
	if !first.isFinished() || l.requests.openCount != 0 || len(l.requests.byID) != 0 || l.timers.len() != 0 ||
		len(l.pending) != events+1 {
		t.Errorf("after its own disconnect: got phase %d, %d open, %d in table, %d timers, want phaseRemoved, 0, 0, 0",
			first.phase, l.requests.openCount, len(l.requests.byID), l.timers.len())
	}
}

// stepLate submits a request with a timeout of 6 s to an event loop with a tick of 1 ms and steps the loop after delay.
// It returns the request, the time of the step and the time that the module has left for the request.
func stepLate(t *testing.T, delay time.Duration) (r *trackedRequest, now, timeLeft time.Duration) {
	t.Helper()
	r, now, event := stepLateWithEvent(t, delay)
	return r, now, event.Timeout - event.Delay
}

// stepLateWithEvent is like stepLate, but returns the event that the module gets.
func stepLateWithEvent(t *testing.T, delay time.Duration) (r *trackedRequest, now time.Duration, got balancer.Request) {
	t.Helper()
	l := newTestLoop(t)
	l.module = scriptedModule(func(_ time.Duration, event balancer.Event) []balancer.Action {
		if request, ok := event.(balancer.Request); ok {
			got = request
		}
		return nil
	})
	submit(l, id, 6*time.Second)
	r = l.requests.find(id)
	now = r.inbound.ArrivedAt + delay
	l.step(context.Background(), now)
	return r, now, got
}

// A delayed step must not reduce the module's timeout by more than a tick. Otherwise the module would treat all
// requests of the step as retries of clients, which it detects by unusual timeouts.
func TestLateStepDoesNotReduceTimeout(t *testing.T) {
	_, _, event := stepLateWithEvent(t, 80*time.Millisecond)
	if want := 6*time.Second - attemptMargin - time.Millisecond; event.Timeout != want {
		t.Errorf("got a module timeout of %v, want %v", event.Timeout, want)
	}
}

// The module must know how much of the timeout has passed in a delayed step. Otherwise it would keep a request that
// waits for a retry until the deadline guard fires.
func TestLateStepShortensModuleDeadline(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 80 * time.Millisecond} {
		r, now, timeout := stepLate(t, delay)
		if moduleDeadline := now + timeout; moduleDeadline > r.inbound.Deadline-attemptMargin {
			t.Errorf("step delayed by %v: the module's deadline is %v before the client's, want %v", delay,
				r.inbound.Deadline-moduleDeadline, attemptMargin)
		}
	}
}

// Attempts must not end before the module's deadline for the request. Otherwise the module would schedule a retry for
// which no time is left, and the request would stay open until the deadline guard fires.
func TestAttemptsEndAtModuleDeadline(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 80 * time.Millisecond} {
		r, now, timeout := stepLate(t, delay)
		if delay <= time.Millisecond && r.attemptsUntil != now+timeout {
			t.Errorf("step delayed by %v: attempts end %v before the module's deadline, want at the deadline", delay,
				now+timeout-r.attemptsUntil)
		}
		if r.attemptsUntil >= r.inbound.Deadline-guardMargin {
			t.Errorf("step delayed by %v: attempts end at or after the deadline guard, want before it", delay)
		}
	}
}

// A request without attempts must be rejected, so that its client may retry it, even if its timeout is too short for
// the decision module.
func TestRequestsWithShortTimeout(t *testing.T) {
	t.Parallel()
	a := startAgent(t, newConfig(t, testutil.NewServer(t, testutil.Hang)))
	for _, timeout := range []string{"1", "3", "5", "10", "20"} {
		if status := requestStatus(t, a, "POST", "/settle", id, timeout); status != http.StatusServiceUnavailable {
			t.Errorf("timeout of %s ms: got status %d, want 503", timeout, status)
		}
	}
}

// A request that arrives after the shutdown deadline must be rejected at once. The decision module must not get it.
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
			t.Errorf("got status %d, want 503", response.Status)
		}
	default:
		t.Error("the request was not answered at once")
	}
	if len(l.pending) != events || len(l.requests.byID) != 0 {
		t.Error("the request was queued for the decision module or added to the table")
	}
}
