package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// newBackends knows the given addresses as s0, s1 ...
func newBackends(t *testing.T, addrs ...string) *Client {
	t.Helper()
	l := endpoint.List{Complete: true}
	for i, addr := range addrs {
		l.Entries = append(l.Entries, endpoint.Entry{ID: fmt.Sprintf("s%d", i), Addr: addr, State: "SERVING"})
	}
	table := endpoint.NewTable()
	table.Apply(l)
	return &Client{pool: newPool(time.Minute, testutil.Timeout, 0), table: table, probing: testutil.Timeout, stall: time.Second,
		log: testutil.NewLogger(&testutil.Log{})}
}

func settle() *Request {
	return &Request{ID: "00000000000000a1", Method: "POST", Host: "api.internal", Target: &url.URL{Opaque: "/settle"},
		Body: []byte("x"), Done: context.Background(), ClientGone: func() bool { return false }}
}

func (b *Client) try(q *Request, wait time.Duration) (balancer.Result, Response) {
	return b.Attempt(context.Background(), q, "s0", time.Now().Add(wait))
}

// Guards the protocol's table of outcomes, on which the rule on repeats rests, and against a request
// that goes out more than once for one attempt.
func TestOutcomes(t *testing.T) {
	rejected := func(status int) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool {
			testutil.Respond(c, status, "X-Rejected: 1\r\n", "")
			return true
		}
	}
	plain := func(status int, body string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool { testutil.Respond(c, status, "", body); return true }
	}
	raw := func(text string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool { fmt.Fprint(c, text); return false }
	}
	open := func(text string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, r *http.Request, body []byte) bool {
			fmt.Fprint(c, text)
			return testutil.Hang(c, r, body)
		}
	}
	tests := []struct {
		name string
		do   func(net.Conn, *http.Request, []byte) bool
		wait time.Duration
		want balancer.Result
	}{
		{"served", testutil.Echo, testutil.Timeout, balancer.Served},
		{"error", plain(500, "no"), testutil.Timeout, balancer.ServerError},
		{"turned away", rejected(503), testutil.Timeout, balancer.Rejected},
		{"turned away as over", rejected(504), testutil.Timeout, balancer.Rejected},
		{"503 with no word of having run", plain(503, ""), testutil.Timeout, balancer.ServerError},
		{"an unknown status", plain(302, ""), testutil.Timeout, balancer.ServerError},
		{"an error marked as rejected", rejected(500), testutil.Timeout, balancer.ServerError},
		{"closed with no answer", raw(""), testutil.Timeout, balancer.Reset},
		{"half a head", raw("HTTP/1.1 200 OK\r\nCont"), testutil.Timeout, balancer.Reset},
		{"half a body", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), testutil.Timeout, balancer.Reset},
		{"half a chunked body", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), testutil.Timeout, balancer.Reset},
		{"no HTTP at all", raw("220 mail\r\n\r\n"), testutil.Timeout, balancer.ServerError},
		{"an endless head", raw("HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 1<<16)), testutil.Timeout, balancer.ServerError},
		{"an early answer ahead", raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), testutil.Timeout, balancer.Served},
		{"early answers without end", raw(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)), testutil.Timeout, balancer.ServerError},
		{"another protocol", raw("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), testutil.Timeout, balancer.ServerError},
		{"chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), testutil.Timeout, balancer.Served},
		{"noise on a connection that stays open", open("\x00\xff\x17"), testutil.Timeout, balancer.ServerError},
		{"a length that is not kept", open("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), testutil.Timeout, balancer.ServerError},
		{"an answer of 3 GB", open("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx"), testutil.Timeout, balancer.ServerError},
		{"two lengths", open("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nfour"), testutil.Timeout, balancer.ServerError},
		{"length and encoding", open("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), testutil.Timeout, balancer.ServerError},
		{"a negative length", open("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n"), testutil.Timeout, balancer.ServerError},
		{"no length", open("HTTP/1.1 200 OK\r\n\r\nbody"), testutil.Timeout, balancer.ServerError},
		{"too large a body", plain(200, strings.Repeat("x", maxBody+1)), testutil.Timeout, balancer.ServerError},
		{"the largest body", plain(200, strings.Repeat("x", maxBody)), testutil.Timeout, balancer.Served},
		{"silence", testutil.Hang, time.Second, balancer.TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := testutil.NewServer(t, tt.do)
			b := newBackends(t, p.Addr())
			res, _ := b.try(settle(), tt.wait)
			if res != tt.want {
				t.Errorf("result %d, want %d", res, tt.want)
			}
			if n := len(p.Received); n != 1 {
				t.Errorf("the backend got %d requests for one attempt", n)
			}
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	p := testutil.NewServer(t, testutil.Echo)
	p.Close()
	b := newBackends(t, p.Addr())
	if res, _ := b.try(settle(), testutil.Timeout); res != balancer.ConnectFailed {
		t.Errorf("result %d, want ConnectFailed", res)
	}
}

// Guards against a machine that vanished: its connections never come up, and the attempt must end
// within the connect time-out, with proof that it never ran.
func TestConnectionNeverComesUp(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	full := false
	for range 20 { // fill the queue of connections that nobody accepts
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if full = err != nil; full {
			break
		}
		defer c.Close()
	}
	if !full {
		t.Skip("this system takes connections without end")
	}
	b := newBackends(t, addr)
	b.pool.dialer.Timeout = 250 * time.Millisecond
	begun := time.Now()
	res, _ := b.try(settle(), testutil.Timeout)
	if took := time.Since(begun); res != balancer.ConnectFailed || took > testutil.Timeout/2 {
		t.Errorf("result %d after %v, want ConnectFailed within the connect time-out", res, took)
	}
}

// Guards against hidden retries: a reused connection that breaks after the write may have run its
// request, even if nothing came back, and nothing may send that again by itself.
func TestReusedConnectionBreaks(t *testing.T) {
	var n atomic.Int32
	p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if n.Add(1) == 2 {
			return false
		}
		return testutil.Echo(c, r, body)
	})
	b := newBackends(t, p.Addr())
	if res, _ := b.try(settle(), testutil.Timeout); res != balancer.Served {
		t.Fatalf("first: result %d", res)
	}
	if res, _ := b.try(settle(), testutil.Timeout); res != balancer.Reset {
		t.Errorf("second: result %d, want Reset", res)
	}
	if len(p.Received) != 2 {
		t.Errorf("the backend got %d requests for two attempts", len(p.Received))
	}
}

func TestConnectionIsReused(t *testing.T) {
	addrs := map[string]bool{}
	p := testutil.NewServer(t, testutil.Echo)
	b := newBackends(t, p.Addr())
	for range 5 {
		if res, r := b.try(settle(), testutil.Timeout); res != balancer.Served || string(r.Body) != "did x" {
			t.Fatalf("result %d, body %q", res, r.Body)
		}
		addrs[testutil.Receive(t, p.Received).RemoteAddr] = true
	}
	if len(addrs) != 1 {
		t.Errorf("5 requests one after the other took %d connections", len(addrs))
	}
}

// Guards against writing to a connection that the backend has closed while it was idle: the request
// would end as a reset, which an unsafe one does not survive.
func TestIdleEndIsNoticed(t *testing.T) {
	var n atomic.Int32
	p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		testutil.Echo(c, r, body)
		return n.Add(1) > 1 // closes the first connection after its answer, unannounced
	})
	b := newBackends(t, p.Addr())
	b.try(settle(), testutil.Timeout)
	testutil.Eventually(t, "the end to arrive", func() bool {
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		return socket.Peek(b.pool.groups["s0"].idle[0].Conn) != socket.Quiet
	})
	if res, _ := b.try(settle(), testutil.Timeout); res != balancer.Served {
		t.Errorf("result %d, want OK on a new connection", res)
	}
}

// Guards against meeting the backend's own idle time-out: the agent closes first.
func TestIdleTimeout(t *testing.T) {
	p := testutil.NewServer(t, testutil.Echo)
	b := newBackends(t, p.Addr())
	b.pool.maxIdle = 10 * time.Millisecond
	if res, _ := b.try(settle(), testutil.Timeout); res != balancer.Served {
		t.Fatal("not served")
	}
	testutil.Receive(t, p.Closed)
	testutil.Eventually(t, "the pool to forget it", func() bool { return b.pool.count() == 0 })
}

// Guards against sends that are under way when the word of a drain, or the request's end, comes.
func TestNothingGoesOutAfterTheDial(t *testing.T) {
	tests := []struct {
		name  string
		event func(b *Client, q *Request, end func())
		want  balancer.Result
	}{
		{"draining", func(b *Client, _ *Request, _ func()) {
			b.table.Apply(endpoint.List{Entries: []endpoint.Entry{{ID: "s0", Addr: "127.0.0.1:1", State: "DRAINING"}}})
		}, balancer.ConnectFailed},
		{"gone", func(b *Client, _ *Request, _ func()) { b.table.Apply(endpoint.List{Complete: true}) }, balancer.ConnectFailed},
		{"ended", func(_ *Client, _ *Request, end func()) { end() }, balancer.NotSent},
		{"its client has left", func(_ *Client, q *Request, _ func()) { q.ClientGone = func() bool { return true } }, balancer.NotSent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := testutil.NewServer(t, testutil.Echo)
			b, q := newBackends(t, p.Addr()), settle()
			over, end := context.WithCancel(context.Background())
			defer end()
			q.Done = over
			b.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error { tt.event(b, q, end); return nil }
			if res, _ := b.try(q, testutil.Timeout); res != tt.want {
				t.Errorf("result %d, want %d", res, tt.want)
			}
			b.pool.closeIdle("s0")
			if tt.name != "ended" { // that dial is given up
				testutil.Receive(t, p.Closed) // the connection ended, with no request on it
			}
			if len(p.Received) != 0 {
				t.Error("the backend got a request")
			}
		})
	}
}

// Guards against a request that goes to a process that is no more, or to another one at its old address, as the word
// of a restart comes between the choice of a connection and the first byte: it goes out once, on a new connection.
func TestRestartBeforeTheFirstByte(t *testing.T) {
	for _, tt := range []struct {
		name   string
		kept   bool // on a connection that was at rest, which the restart has not retired yet
		listed func(old, other *testutil.Server) endpoint.Entry
	}{
		{"started again during the dial", false, func(old, _ *testutil.Server) endpoint.Entry {
			return endpoint.Entry{ID: "s0", Addr: old.Addr(), StartedMs: 7}
		}},
		{"moved during the dial", false, func(_, other *testutil.Server) endpoint.Entry { return endpoint.Entry{ID: "s0", Addr: other.Addr()} }},
		{"started again, on a kept connection", true, func(old, _ *testutil.Server) endpoint.Entry {
			return endpoint.Entry{ID: "s0", Addr: old.Addr(), StartedMs: 7}
		}},
		{"moved, on a kept connection", true, func(_, other *testutil.Server) endpoint.Entry { return endpoint.Entry{ID: "s0", Addr: other.Addr()} }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			old, other := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
			b := newBackends(t, old.Addr())
			told := false
			tell := func() {
				if !told {
					told = true
					s := tt.listed(old, other)
					s.State = "SERVING"
					b.table.Apply(endpoint.List{Entries: []endpoint.Entry{s}})
				}
			}
			before := ""
			if tt.kept {
				b.try(settle(), testutil.Timeout)
				before = testutil.Receive(t, old.Received).RemoteAddr
				tell()
			} else {
				b.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error { tell(); return nil }
			}
			if res, _ := b.try(settle(), testutil.Timeout); res != balancer.Served {
				t.Fatalf("result %d, want OK", res)
			}
			testutil.Receive(t, old.Closed)
			to, not := old, other
			if tt.listed(old, other).Addr == other.Addr() {
				to, not = other, old
			}
			if r := testutil.Receive(t, to.Received); r.RemoteAddr == before {
				t.Error("it went out on the old connection")
			}
			if len(to.Received)+len(not.Received) != 0 {
				t.Error("it went out twice, or to the old address")
			}
		})
	}
}

// Guards against a machine that vanished with idle connections open: what is written there is
// swallowed, and an unsafe request never gets another attempt.
func TestSilenceClosesIdleConnections(t *testing.T) {
	quiet, gate := make(chan bool, 1), make(chan struct{})
	p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		select {
		case <-quiet:
			return testutil.Hang(c, r, body)
		default:
			<-gate
			return testutil.Echo(c, r, body)
		}
	})
	b := newBackends(t, p.Addr())
	done := make(chan balancer.Result, 2)
	for range 2 { // two at a time need two connections
		go func() { res, _ := b.try(settle(), testutil.Timeout); done <- res }()
	}
	testutil.Receive(t, p.Received)
	testutil.Receive(t, p.Received)
	close(gate)
	if testutil.Receive(t, done) != balancer.Served || testutil.Receive(t, done) != balancer.Served {
		t.Fatal("not served")
	}
	quiet <- true
	if res, _ := b.try(settle(), time.Second); res != balancer.TimedOut {
		t.Fatalf("result %d, want TimedOut", res)
	}
	if n := b.pool.count(); n != 0 {
		t.Errorf("%d connections are left to a silent backend", n)
	}
}

// Guards against closing good connections over one that failed, as when a backend takes no more of
// them; and against keeping those to a process that was started again.
func TestConnectionsInUse(t *testing.T) {
	for _, tt := range []struct {
		name   string
		event  func(b *Client)
		remain int
	}{
		{"another one failed", func(b *Client) { b.pool.closeIdle("s0") }, 1},
		{"retired", func(b *Client) { b.pool.retire("s0") }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			gate := make(chan struct{})
			p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool { <-gate; return testutil.Echo(c, r, body) })
			b := newBackends(t, p.Addr())
			done := make(chan balancer.Result, 1)
			go func() { res, _ := b.try(settle(), testutil.Timeout); done <- res }()
			testutil.Receive(t, p.Received)
			tt.event(b)
			close(gate)
			if res := testutil.Receive(t, done); res != balancer.Served || b.pool.count() != tt.remain {
				t.Errorf("result %d, %d connections open, want %d", res, b.pool.count(), tt.remain)
			}
		})
	}
}

// Guards against giving up an attempt without closing its connection, on which it would still count.
func TestCancelClosesTheConnection(t *testing.T) {
	p := testutil.NewServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool { return true }) // reads on
	b := newBackends(t, p.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan balancer.Result, 1)
	go func() {
		res, _ := b.Attempt(ctx, settle(), "s0", time.Now().Add(testutil.Timeout))
		done <- res
	}()
	testutil.Receive(t, p.Received)
	cancel()
	if res := testutil.Receive(t, done); res != balancer.Cancelled {
		t.Errorf("result %d, want Cancelled", res)
	}
	testutil.Receive(t, p.Closed)
}

// Guards against running out of descriptors: an idle connection elsewhere makes room, and when none
// is idle the attempt fails unsent.
func TestConnectionLimit(t *testing.T) {
	p, q := testutil.NewServer(t, testutil.Echo), testutil.NewServer(t, testutil.Echo)
	b := newBackends(t, p.Addr(), q.Addr())
	b.pool.limit = 1
	if res, _ := b.try(settle(), testutil.Timeout); res != balancer.Served {
		t.Fatal("not served")
	}
	if res, _ := b.Attempt(context.Background(), settle(), "s1", time.Now().Add(testutil.Timeout)); res != balancer.Served {
		t.Errorf("result %d, want OK in place of the idle connection", res)
	}
	testutil.Receive(t, p.Closed)
	c := b.pool.take("s1")
	if res, _ := b.try(settle(), testutil.Timeout); res != balancer.ConnectFailed {
		t.Errorf("result %d, want ConnectFailed at the limit", res)
	}
	b.pool.close(c)
}

// Guards against bytes behind an answer that pass for the answer to the next request: the good answer
// before them counts, and the connection is of no further use.
func TestMoreThanTheAnswer(t *testing.T) {
	for name, late := range map[string]bool{"in one piece": false, "later, while idle": true} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
				if late {
					testutil.Echo(c, r, body)
					<-more
					testutil.Respond(c, 200, "", "another's")
				} else {
					fmt.Fprint(c, strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndid x", 2))
				}
				return true
			})
			b := newBackends(t, p.Addr())
			for i := range 3 {
				if res, r := b.try(settle(), testutil.Timeout); res != balancer.Served || string(r.Body) != "did x" {
					t.Fatalf("request %d: result %d, body %q", i, res, r.Body)
				}
				if late {
					more <- struct{}{}
					testutil.Eventually(t, "the extra answer", func() bool {
						b.pool.mu.Lock()
						defer b.pool.mu.Unlock()
						return socket.HasUnread(b.pool.groups["s0"].idle[0].Conn)
					})
				}
			}
		})
	}
}

// Guards against what only grows: nothing is kept of a backend without connections.
func TestPoolForgets(t *testing.T) {
	p := testutil.NewServer(t, testutil.Echo)
	b := newBackends(t, p.Addr())
	b.try(settle(), testutil.Timeout)
	b.pool.retire("s0")
	b.pool.retire("s1")
	if n := len(b.pool.groups); n != 0 || b.pool.count() != 0 {
		t.Errorf("%d groups and %d connections are left", n, b.pool.count())
	}
}

// Guards against load reports that can't be read: each is no report.
func TestLoadReports(t *testing.T) {
	for _, text := range []string{"", "inflight=7", "TEXT inflight=NaN", "TEXT inflight=1, queue=+Inf", "TEXT util=-1",
		"TEXT inflight=1e999", "TEXT inflight", "TEXT \x01"} {
		if l := (Response{Header: map[string][]string{loadHeader: {text}}}).LoadReport(); l.Valid {
			t.Errorf("%q was read as %+v", text, l)
		}
	}
}

func TestProbe(t *testing.T) {
	var status atomic.Int32
	status.Store(200)
	p := testutil.NewServer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		testutil.Respond(c, int(status.Load()), "", "TEXT inflight=7, queue=2, util=0.61")
		return true
	})
	b := newBackends(t, p.Addr())
	if res, _ := b.HealthCheck(context.Background(), "s0"); res != balancer.Served || testutil.Receive(t, p.Received).URL.Path != "/healthz" {
		t.Errorf("result %d", res)
	}
	b.reports = balancer.LoadReportsWithHealthChecks
	_, r := b.HealthCheck(context.Background(), "s0")
	if l := r.LoadReport(); testutil.Receive(t, p.Received).URL.Path != "/load" || l.InFlight != 7 || l.Queue != 2 || l.Utilization != 0.61 || l.Throughput != -1 {
		t.Errorf("load %+v", l)
	}
	status.Store(503)
	if res, _ := b.HealthCheck(context.Background(), "s0"); res != balancer.ServerError {
		t.Errorf("result %d, want Errored", res)
	}
}

// Guards against a handshake for every connection of a backend over one that broke in full use; and against
// requests lost one by one on connections that have rested as long as one that turned out dead.
func TestBreakAndIdleConnections(t *testing.T) {
	for _, tt := range []struct {
		name   string
		rest   time.Duration
		remain int
	}{{"in full use", 0, 1}, {"after a rest", time.Minute, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			gate, drop := make(chan struct{}), make(chan bool, 1)
			p := testutil.NewServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
				select {
				case <-drop:
					return false
				default:
					<-gate
					return testutil.Echo(c, r, body)
				}
			})
			b := newBackends(t, p.Addr())
			done := make(chan balancer.Result, 2)
			for range 2 { // two at a time need two connections
				go func() { res, _ := b.try(settle(), testutil.Timeout); done <- res }()
			}
			testutil.Receive(t, p.Received)
			testutil.Receive(t, p.Received)
			close(gate)
			if testutil.Receive(t, done) != balancer.Served || testutil.Receive(t, done) != balancer.Served {
				t.Fatal("not served")
			}
			b.pool.mu.Lock()
			for i, c := range b.pool.groups["s0"].idle { // the older one first
				c.since = time.Now().Add(-tt.rest - time.Duration(1-i)*time.Microsecond)
			}
			b.pool.mu.Unlock()
			b.pool.maxIdle = time.Hour
			drop <- true
			if res, _ := b.try(settle(), testutil.Timeout); res != balancer.Reset {
				t.Fatalf("result %d, want Reset", res)
			}
			if n := b.pool.count(); n != tt.remain {
				t.Errorf("%d connections are left, want %d", n, tt.remain)
			}
		})
	}
}
