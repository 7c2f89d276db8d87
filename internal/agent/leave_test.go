package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/frontend"
	"ashshunt/internal/testutil"
	"ashshunt/internal/upstream"
)

// leaves are the ways in which a client leaves. net/http sees no end behind bytes that follow the request.
var disconnects = []struct {
	name   string
	behind string
	end    func(c *net.TCPConn)
}{
	{"closes", "", func(c *net.TCPConn) { c.Close() }},
	{"resets", "", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	{"ends its sending", "", func(c *net.TCPConn) { c.CloseWrite() }},
	{"closes, a byte behind", "G", func(c *net.TCPConn) { c.Close() }},
	{"closes, requests behind", get(id[:15]+"2") + get(id[:15]+"3") + "GET /lo", func(c *net.TCPConn) { c.Close() }},
	{"resets, requests behind", get(id[:15]+"2") + get(id[:15]+"3"), func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	{"closes, a flood behind", strings.Repeat("x", 1<<18), func(c *net.TCPConn) { c.Close() }},
}

// leaving runs a test for each way. say sends what comes behind a request; leave ends the connection.
func forEachDisconnect(t *testing.T, do func(t *testing.T, dial func(*Agent, string) *net.TCPConn, leave func(*net.TCPConn))) {
	for _, l := range disconnects {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			do(t, func(a *Agent, text string) *net.TCPConn {
				return dialRaw(t, a, text).(*net.TCPConn)
			}, func(c *net.TCPConn) {
				sent := make(chan struct{})
				go func() { // a flood may never be taken whole
					defer close(sent)
					io.WriteString(c, l.behind)
				}()
				select {
				case <-sent:
				case <-time.After(50 * time.Millisecond):
				}
				l.end(c)
			})
		})
	}
}

// Guards against work for a client that has left while its request waited for a backoff or a timer: the module
// hears of it however it left, nothing goes out for it, nothing is kept of it, and no answer is made up.
func TestLeavesAtBackoff(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, dial func(*Agent, string) *net.TCPConn, leave func(*net.TCPConn)) {
		p := testutil.NewServer(t, testutil.Echo)
		heard, done := make(chan struct{}), make(chan balancer.Result, 1)
		a, logged := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")),
			scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
				switch e := e.(type) {
				case balancer.Request:
					if e.ID == id {
						close(heard)
					}
				case balancer.Abandoned:
					if e.Request == id { // a bug that the loop has to hold back
						return []balancer.Action{balancer.Send{Request: id, Endpoint: "s0"}, balancer.LogMessage{Text: "sent late"}}
					}
				case balancer.Outcome:
					done <- e.Result
				}
				return nil
			}))
		c := dial(a, get(id))
		testutil.Receive(t, heard)
		leave(c)
		testutil.Eventually(t, "the module to hear", func() bool { return logged.Contains("sent late") })
		select {
		case res := <-done:
			if res != balancer.NotSent {
				t.Errorf("result %d of a send after its client had left", res)
			}
		default: // not even tried
		}
		if len(p.Received) != 0 {
			t.Error("a request went out after its client had left")
		}
		if text, _ := io.ReadAll(c); strings.Contains(string(text), " 200 ") {
			t.Errorf("the client that only ended its sending was told %q", text)
		}
	})
}

// Guards against a request that goes out from behind a busy loop, which has yet to hear that its client has left.
func TestLeavesBehindABusyLoop(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, dial func(*Agent, string) *net.TCPConn, leave func(*net.TCPConn)) {
		p := testutil.NewServer(t, testutil.Echo)
		busy, gate, ended := make(chan struct{}), make(chan struct{}), make(chan balancer.Result, 10)
		a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")),
			scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
				switch e := e.(type) {
				case balancer.Request:
					if e.ID == id {
						close(busy)
						<-gate
						return []balancer.Action{balancer.Send{Request: id, Endpoint: "s0"}}
					}
				case balancer.Outcome:
					ended <- e.Result
				}
				return nil
			}))
		c := dial(a, get(id))
		testutil.Receive(t, busy)
		leave(c)
		testutil.Eventually(t, "the leave", a.loop.requests[id].upstream.ClientGone) // the loop is held, nothing else is in the table
		close(gate)
		if res := testutil.Receive(t, ended); res != balancer.NotSent {
			t.Errorf("result %d of a send after its client had left", res)
		}
		if len(p.Received) != 0 {
			t.Error("a request went out after its client had left")
		}
	})
}

// Guards against a request that goes out on a connection that came up after its client had left.
func TestLeavesDuringADial(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, dial func(*Agent, string) *net.TCPConn, leave func(*net.TCPConn)) {
		p := testutil.NewServer(t, testutil.Echo)
		dialling, gate := make(chan struct{}, 10), make(chan struct{})
		told, ended := make(chan struct{}, 10), make(chan balancer.Outcome, 10)
		c := testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING"))
		a, _ := startWith(t, c, func(a *Agent) {
			options := upstreamOptions(c, a.loop.table, a.log)
			options.DialControl = func(_, _ string, _ syscall.RawConn) error {
				dialling <- struct{}{}
				<-gate
				return nil
			}
			a.loop.upstream = upstream.New(options)
			a.loop.module = scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
				switch e := e.(type) {
				case balancer.Request:
					if e.ID == id {
						return []balancer.Action{balancer.Send{Request: id, Endpoint: "s0"}}
					}
				case balancer.Abandoned:
					if e.Request == id {
						told <- struct{}{}
					}
				case balancer.Outcome:
					ended <- e
				}
				return nil
			})
		})
		conn := dial(a, get(id))
		testutil.Receive(t, dialling)
		leave(conn)
		testutil.Receive(t, told)
		close(gate)
		if e := testutil.Receive(t, ended); e.Result != balancer.NotSent || !e.Done {
			t.Errorf("outcome %+v", e)
		}
		if len(p.Received) != 0 {
			t.Error("a request went out after its client had left")
		}
	})
}

// Guards against taking the request of a client that left while its connection waited for a place.
func TestLeavesBeforeItsPlace(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, dial func(*Agent, string) *net.TCPConn, leave func(*net.TCPConn)) {
		gate := make(chan struct{})
		p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool { <-gate; return testutil.Echo(c, r, body) })
		c := testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING"))
		c.Sockets = 2 // one for clients
		a, _ := start(t, c, nil)
		first := dial(a, get(id[:15]+"8"))
		testutil.Receive(t, p.Received)
		second := dial(a, get(id))
		leave(second) // which its system passes on at once, to a connection that the agent has not accepted yet
		close(gate)
		if testutil.ReadStatus(t, first) != 200 {
			t.Error("the first one was not served")
		}
		first.Close()
		if resp, _ := ask(t, a, "GET", "/look", "", "X-Call-Id", id[:15]+"9", "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
			t.Errorf("the third one got %d", resp.StatusCode)
		}
		for len(p.Received) > 0 {
			if r := <-p.Received; r.Header.Get("X-Call-Id") == id {
				t.Error("a request went out whose client had left before it was read")
			}
		}
	})
}

// Guards against a body that stops: its request is not taken, however its client leaves.
func TestLeavesWithinItsBody(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, dial func(*Agent, string) *net.TCPConn, leave func(*net.TCPConn)) {
		p := testutil.NewServer(t, testutil.Echo)
		a, _ := start(t, testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING")), nil)
		c := dial(a, post(id, "Content-Length: 3000000\r\n")+"half")
		leave(c)
		if resp, _ := ask(t, a, "GET", "/look", "", "X-Call-Id", id[:15]+"9", "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
			t.Errorf("the next one got %d", resp.StatusCode)
		}
		if r := testutil.Receive(t, p.Received); r.Header.Get("X-Call-Id") == id {
			t.Error("half a request went out")
		}
	})
}

// Guards against an attempt that is repeated, or kept, for a client that left while it was out.
func TestLeavesWithAnAttemptOut(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, dial func(*Agent, string) *net.TCPConn, leave func(*net.TCPConn)) {
		gate := make(chan struct{})
		p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
			<-gate
			testutil.Respond(c, 500, "", "")
			return true
		})
		told, ended := make(chan struct{}, 10), make(chan balancer.Outcome, 10)
		c := testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING"))
		real, err := balancer.New(c.Settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		a, _ := start(t, c, observedModule{real, func(e balancer.Event) {
			switch e := e.(type) {
			case balancer.Abandoned:
				if e.Request == id {
					told <- struct{}{}
				}
			case balancer.Outcome:
				ended <- e
			}
		}})
		client := dial(a, get(id))
		testutil.Receive(t, p.Received)
		leave(client)
		testutil.Receive(t, told)
		close(gate)
		if e := testutil.Receive(t, ended); e.Result != balancer.ServerError || !e.Done {
			t.Errorf("outcome %+v", e)
		}
		if resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "7000"); resp.StatusCode != 502 {
			t.Errorf("its id, free again, got %d", resp.StatusCode) // 400 while it is open
		}
		if n := len(p.Received); n != 1 {
			t.Errorf("%d attempts more went out, want that of the next request alone", n)
		}
	})
}

// watched is a module that shows its events.
type observedModule struct {
	decisionModule
	observe func(balancer.Event)
}

func (w observedModule) Step(now time.Duration, events []balancer.Event) []balancer.Action {
	for _, e := range events {
		w.observe(e)
	}
	return w.decisionModule.Step(now, events)
}

// Guards against the leave of a client whose request was not taken, since its id was open or no place was free:
// it passed for that of the client whose request is open, or took a place off the count.
func TestLeavesUntaken(t *testing.T) {
	l, err := newEventLoop(testutil.Config(t, "127.0.0.1:1"), clock.New(), testutil.NewLogger(&testutil.Log{}))
	if err != nil {
		t.Fatal(err)
	}
	now := l.clock.Now()
	arrive := func(id string) *frontend.Request {
		r := frontend.NewRequest()
		r.Event, r.Arrived, r.Deadline = balancer.Request{ID: id}, now, now+time.Minute
		requestSubmitted{request: r}.apply(context.Background(), l)
		return r
	}
	client := arrive(id)
	first, twin := l.requests[id], arrive(id)
	l.settings.MaxOpen = 1
	late := arrive(id[:15] + "2")
	known := len(l.pending)
	for _, r := range []*frontend.Request{twin, late} {
		if len(r.Response()) != 1 {
			t.Error("not turned away at once")
		}
		requestAbandoned{request: r}.apply(context.Background(), l)
	}
	if first.answered || l.unanswered != 1 || len(l.requests) != 1 || len(l.pending) != known {
		t.Errorf("the open request ended %v, %d taken, %d open, %d events more", first.answered, l.unanswered, len(l.requests), len(l.pending)-known)
	}
	requestAbandoned{request: client}.apply(context.Background(), l)
	if !first.answered || l.unanswered != 0 || len(l.requests) != 0 || l.timers.len() != 0 || len(l.pending) != known+1 {
		t.Errorf("after its own leave: ended %v, %d taken, %d open, %d timers", first.answered, l.unanswered, len(l.requests), l.timers.len())
	}
}
