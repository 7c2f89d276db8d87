package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/frontend"
	"ashshunt/internal/testutil"
)

const id = testutil.RequestID

func TestServed(t *testing.T) {
	t.Parallel()
	p := testutil.NewServer(t, testutil.Echo)
	a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")), nil)
	resp, body := ask(t, a, "POST", "/hold/a%2Fb?x=%20y", "work", "X-Call-Id", id, "X-Budget-Ms", "7000",
		"Idempotency-Key", "k1", "X-Caller", "acme")
	if resp.StatusCode != 200 || body != "did work" {
		t.Errorf("answer %d %q", resp.StatusCode, body)
	}
	r := testutil.Receive(t, p.Received)
	if r.Method != "POST" || r.RequestURI != "/hold/a%2Fb?x=%20y" || r.Header.Get("X-Call-Id") != id ||
		r.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("the backend got %s %s %v", r.Method, r.RequestURI, r.Header)
	}
	if left := r.Header.Get("X-Budget-Ms"); len(left) != 4 || left > "7000" {
		t.Errorf("the backend was told that the agent waits %s ms", left)
	}
	if resp, _ := ask(t, a, "GET", "/healthz", ""); resp.StatusCode != 200 {
		t.Errorf("healthz %d", resp.StatusCode)
	}
}

func TestHealthWithoutBackends(t *testing.T) {
	t.Parallel()
	a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr), nil)
	if resp, _ := ask(t, a, "GET", "/healthz", ""); resp.StatusCode != 503 {
		t.Errorf("healthz %d with no backend known", resp.StatusCode)
	}
}

// Guards against agents that are not ready for as long as discovery is down: one that knows backends is ready at
// its start, one that knows none soon after it, and says so to the application by its refusals.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	down := testutil.NewServer(t, testutil.Hang).Addr()
	p := testutil.NewServer(t, testutil.Echo)
	const fleet = 350 // started together
	for i := range fleet {
		c := testutil.Config(t, down, testutil.EntryJSON("s0", p.Addr(), "SERVING"))
		c.Settings.Subscribe, c.Settings.Agents, c.Settings.AgentIndex = i%2 == 0, fleet, i
		a, _ := startWith(t, c, func(a *Agent) { a.acceptPeriod = time.Millisecond })
		if resp, _ := ask(t, a, "GET", "/healthz", ""); resp.StatusCode != 200 {
			t.Fatalf("agent %d: healthz %d with backends known", i, resp.StatusCode)
		}
	}
	a, _ := startWith(t, testutil.Config(t, down), func(a *Agent) { a.frontend.Timeouts.EndpointList = 0 })
	if resp, _ := ask(t, a, "GET", "/healthz", ""); resp.StatusCode != 200 {
		t.Errorf("healthz %d with no backend known after the wait for a list", resp.StatusCode)
	}
	if wait := frontend.DefaultTimeouts().EndpointList; wait > 8*time.Second {
		t.Errorf("that wait is %v", wait)
	}
}

// Guards against bounds on the size of a fleet, and against memory for those of it that one never meets.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	p, d := testutil.NewServer(t, testutil.Echo), testutil.NewDiscovery(t)
	const size = 2000
	list := make([]string, size)
	for i := range list {
		list[i] = testutil.EntryJSON(fmt.Sprint("s", i), p.Addr(), "SERVING")
	}
	c := testutil.Config(t, d.Addr, list...)
	c.Settings.Agents, c.Settings.AgentIndex = size, size-1
	before := runtime.NumGoroutine()
	a, _ := start(t, c, nil)
	for i := range size {
		list[i] = testutil.EntryJSON(fmt.Sprint("s", size+i), p.Addr(), "SERVING")
	}
	testutil.Receive(t, d.Watches)
	d.Say <- `{"version":2,"full":true,"servers":[` + strings.Join(list, ",") + `]}`
	testutil.Eventually(t, "the list", func() bool { _, ok := a.loop.table.Serving(fmt.Sprint("s", 2*size-1)); return ok })
	if resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n := a.loop.upstream.OpenConnections(); n > 1 {
		t.Errorf("%d connections for one request", n)
	}
	if n := runtime.NumGoroutine() - before; n > size/2 { // other tests run beside this one
		t.Errorf("%d goroutines for one agent and one request", n)
	}
}

// Guards against a bound on bodies, either way, that a request or its answer meets too early.
func TestLargestBody(t *testing.T) {
	t.Parallel()
	p := testutil.NewServer(t, testutil.Echo)
	a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")), nil)
	const maxBody = 64 << 10
	most := strings.Repeat("x", maxBody-len("did ")) // its answer just fits as well
	if resp, _ := ask(t, a, "POST", "/settle", most, "X-Call-Id", id, "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
		t.Errorf("the largest body: status %d", resp.StatusCode)
	}
}

// Guards against an id that is open twice: two requests would share one answer.
func TestIDOpenAlready(t *testing.T) {
	t.Parallel()
	p := testutil.NewServer(t, testutil.Hang)
	a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")), nil)
	first := make(chan int, 1)
	go func() {
		resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "4000")
		first <- resp.StatusCode
	}()
	testutil.Receive(t, p.Received)
	if resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "4000"); resp.StatusCode != 400 {
		t.Errorf("status %d, want 400", resp.StatusCode)
	}
	if status := testutil.Receive(t, first); status != 502 {
		t.Errorf("the first one got %d, want 502", status)
	}
}

// Guards against a refusal, which invites a repeat, once an unsafe request may have run; and against
// an answer that comes after its client's time.
func TestSilentBackendFails(t *testing.T) {
	t.Parallel()
	p := testutil.NewServer(t, testutil.Hang)
	a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")), nil)
	begun := time.Now()
	resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "1500")
	if took := time.Since(begun); resp.StatusCode != 502 || took < time.Second {
		t.Errorf("status %d after %v", resp.StatusCode, took)
	}
	if len(p.Received) != 1 {
		t.Errorf("%d attempts of an unsafe request that may have run", len(p.Received))
	}
}

// Guards against a failed connect that is held for an effect: the request goes elsewhere.
func TestUnsafeGoesOnAfterNoConnection(t *testing.T) {
	t.Parallel()
	dead, p := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	dead.Close()
	served := 0
	a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", dead.Addr(), "SERVING"), testutil.EntryJSON("s1", p.Addr(), "SERVING")), nil)
	for i := range 4 {
		if resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id[:15]+string(rune('0'+i)), "X-Budget-Ms", "7000"); resp.StatusCode == 200 {
			served++
		}
	}
	if served != 4 {
		t.Errorf("%d of 4 served with one backend of two dead", served)
	}
}

// Guards against work for a client that has left: the module hears of it, and nothing goes out after.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	p := testutil.NewServer(t, testutil.Echo)
	heard, told := make(chan balancer.Request, 1), make(chan balancer.Abandoned, 1)
	a, logged := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")),
		scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
			switch e := e.(type) {
			case balancer.Request:
				heard <- e
			case balancer.Abandoned:
				told <- e
				return []balancer.Action{balancer.Send{Request: e.Request, Endpoint: "s0"}, balancer.LogMessage{Text: "sent late"}}
			}
			return nil
		}))
	conn, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.Write([]byte("GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 9000\r\n\r\n"))
	testutil.Receive(t, heard)
	conn.Close()
	if e := testutil.Receive(t, told); e.Request != id {
		t.Errorf("told of %q", e.Request)
	}
	testutil.Eventually(t, "the step to end", func() bool { return logged.Contains("sent late") })
	if len(p.Received) != 0 {
		t.Error("a request went out after its client had left")
	}
}

// Guards against a module that forgets a request, or panics: the client still gets one answer in time.
func TestSafetyNet(t *testing.T) {
	t.Parallel()
	a, logged := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING")),
		scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
			if _, ok := e.(balancer.Request); ok {
				panic("out of ideas")
			}
			return nil
		}))
	resp, _ := ask(t, a, "GET", "/look", "", "X-Call-Id", id, "X-Budget-Ms", "300")
	if resp.StatusCode != 502 || !logged.Contains("out of ideas") || !logged.Contains("no final answer by the deadline") {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Guards the rule on refusals, whatever the module says, and passes its advice on.
func TestRefusals(t *testing.T) {
	t.Parallel()
	p := testutil.NewServer(t, testutil.Hang)
	send := true
	a, logged := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")),
		scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
			switch e := e.(type) {
			case balancer.Request:
				refuse := balancer.Reject{Request: e.ID, RetryAfter: 1500 * time.Millisecond}
				if send {
					send = false
					return []balancer.Action{balancer.Send{Request: e.ID, Endpoint: "s0"}, refuse}
				}
				return []balancer.Action{refuse}
			}
			return nil
		}))
	if resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "7000"); resp.StatusCode != 502 || !logged.Contains("internal error") {
		t.Errorf("refused with an attempt out: status %d, want 502", resp.StatusCode)
	}
	resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id[:15]+"2", "X-Budget-Ms", "7000")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1.5" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// Guards the numbers of attempts, and their one outcome each: a second copy, a send past the limit,
// a cancel.
func TestAttempts(t *testing.T) {
	t.Parallel()
	p, q := testutil.NewServer(t, testutil.Hang), testutil.NewServer(t, testutil.Echo)
	outcomes := make(chan balancer.Outcome, 10)
	a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING"), testutil.EntryJSON("s1", q.Addr(), "SERVING")),
		scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
			switch e := e.(type) {
			case balancer.Request:
				return []balancer.Action{
					balancer.Send{Request: e.ID, Endpoint: "s0"}, balancer.Send{Request: e.ID, Endpoint: "none"},
					balancer.Send{Request: e.ID, Endpoint: "s0", Timeout: time.Second},
					balancer.Send{Request: e.ID, Endpoint: "s1"}}
			case balancer.Outcome:
				outcomes <- e
				if e.Attempt == 2 {
					return []balancer.Action{balancer.Cancel{Request: e.Request, Attempt: 0}}
				}
				if e.Attempt == 0 {
					return []balancer.Action{balancer.Fail{Request: e.Request}}
				}
			}
			return nil
		}))
	resp, _ := ask(t, a, "GET", "/look", "", "X-Call-Id", id, "X-Budget-Ms", "9000")
	if resp.StatusCode != 502 {
		t.Errorf("status %d", resp.StatusCode)
	}
	want := map[int]balancer.Result{0: balancer.Cancelled, 1: balancer.ConnectFailed, 2: balancer.TimedOut, 3: balancer.NotSent}
	for range want {
		if o := testutil.Receive(t, outcomes); o.Result != want[o.Attempt] || o.Done {
			t.Errorf("attempt %d: result %d, done %v", o.Attempt, o.Result, o.Done)
		}
	}
	if len(outcomes) != 0 || len(q.Received) != 0 {
		t.Errorf("%d outcomes too many; %d sends past the limit", len(outcomes), len(q.Received))
	}
}

// Guards against a late step, which would make every client look like one that tries again.
func TestLateStepKeepsThePatience(t *testing.T) {
	_, _, left := stepLate(t, 80*time.Millisecond)
	if want := 6*time.Second - attemptMargin - time.Millisecond; left != want {
		t.Errorf("the module was told that %v are left, want %v", left, want)
	}
}

// stepOnce gives a loop with a tick of 1 ms a request of 6 s, steps it so late, and returns what the
// module was told to be left.
func stepLate(t *testing.T, late time.Duration) (r *openRequest, now, left time.Duration) {
	t.Helper()
	l, err := newEventLoop(testutil.Config(t, "127.0.0.1:1"), clock.New(), testutil.NewLogger(&testutil.Log{}))
	if err != nil {
		t.Fatal(err)
	}
	l.module = scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
		if q, ok := e.(balancer.Request); ok {
			left = q.Timeout
		}
		return nil
	})
	now = l.clock.Now()
	client := frontend.NewRequest()
	client.Event, client.Arrived, client.Deadline = balancer.Request{ID: id}, now, now+6*time.Second
	requestSubmitted{request: client}.apply(context.Background(), l)
	r = l.requests[id]
	now += late
	l.step(context.Background(), now)
	return r, now, left
}

// Guards against an attempt that times out with its request, but before the module's deadline for it:
// seen on a fleet day, the module then waited for a try that had no time, and the safety net answered.
func TestTimeOutIsTheDeadline(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, 80 * time.Millisecond} {
		r, now, left := stepLate(t, late)
		if late <= time.Millisecond && r.attemptDeadline != now+left {
			t.Errorf("a step %v late: attempts end %v before the deadline that the module knows", late, now+left-r.attemptDeadline)
		}
		if r.attemptDeadline >= r.client.Deadline-guardMargin {
			t.Errorf("a step %v late: attempts end after the safety net", late)
		}
	}
}

// stopping is an agent that has been asked to stop while a request is under way.
type stoppingAgent struct {
	*Agent
	first chan int   // status of the answer to that request
	ended chan error // of Run
}

func startAndStop(t *testing.T, p *testutil.Server, method, path, budget string) stoppingAgent {
	t.Helper()
	logged := &testutil.Log{}
	a, err := New(testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")), testutil.NewLogger(logged))
	if err != nil {
		t.Fatal(err)
	}
	a.acceptPeriod = 3 * time.Second // a slow machine still connects meanwhile
	s := stoppingAgent{Agent: a, first: make(chan int, 1), ended: make(chan error, 1)}
	stop, cancel := context.WithCancel(context.Background())
	go func() { s.ended <- a.Run(stop) }()
	go func() {
		resp, _ := ask(t, a, method, path, "", "X-Call-Id", id, "X-Budget-Ms", budget)
		s.first <- resp.StatusCode
	}()
	testutil.Receive(t, p.Received)
	cancel()
	testutil.Eventually(t, "the drain", func() bool { return logged.Contains("shutting down") })
	return s
}

// Guards against losing what comes while the agent stops: what is under way ends, new connections
// are served for a while, and their clients told to go.
func TestStop(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/look/slow" {
			<-gate
		}
		return testutil.Echo(c, r, body)
	})
	s := startAndStop(t, p, "GET", "/look/slow", "9000")
	resp, _ := ask(t, s.Agent, "GET", "/look", "", "X-Call-Id", id[:15]+"2", "X-Budget-Ms", "9000")
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("while stopping: status %d, close %v", resp.StatusCode, resp.Close)
	}
	close(gate)
	if status := testutil.Receive(t, s.first); status != 200 {
		t.Errorf("what was under way got %d", status)
	}
	if err := testutil.Receive(t, s.ended); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", s.Addr().String()); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// Guards against a kill that finds requests open: a stop ends them in time, by a failure.
func TestStopEndsWhatWouldOutlastIt(t *testing.T) {
	t.Parallel()
	s := startAndStop(t, testutil.NewServer(t, testutil.Hang), "POST", "/settle", "600000")
	if status := testutil.Receive(t, s.first); status != 502 {
		t.Errorf("status %d, want 502", status)
	}
	if err := testutil.Receive(t, s.ended); err != nil {
		t.Error(err)
	}
}
