package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/config"
	"ashshunt/internal/discovery"
	"ashshunt/internal/testutil"
)

// Guards against settings under which changes come unasked, as in the simulator: on sockets nothing comes
// without a watch, so agents would hold the list of their start for ever. It is begun again when it ends.
func TestUnaskedWatch(t *testing.T) {
	d := testutil.NewDiscovery(t)
	c := testutil.Config(t, d.Addr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"), testutil.EntryJSON("s1", "127.0.0.1:2", "SERVING"))
	c.Settings.Subscribe = false
	c.Settings.ConnectTimeout = time.Millisecond // the unit of the wait
	lists := make(chan balancer.EndpointList, 10)
	a, _ := start(t, c, scriptedModule(func(_ time.Duration, e balancer.Event) []balancer.Action {
		if l, ok := e.(balancer.EndpointList); ok {
			lists <- l
		}
		return nil
	}))
	if e := testutil.Receive(t, lists); e.Kind != balancer.ListCached {
		t.Errorf("event %+v", e)
	}
	if q := testutil.Receive(t, d.Watches); q != "follow=1&since=1" {
		t.Errorf("watched with %q", q)
	}
	d.Say <- `{"version":2,"full":false,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "DELETED") + `]}`
	if e := testutil.Receive(t, lists); e.Kind != balancer.ListDelta || e.Endpoints[0].State != balancer.Removed {
		t.Errorf("event %+v", e)
	}
	for range 3 {
		d.Cut <- struct{}{}
		if q := testutil.Receive(t, d.Watches); q != "follow=1&since=2" {
			t.Errorf("watched again with %q", q)
		}
	}
	d.Say <- "}"
	if q := testutil.Receive(t, d.Watches); q != "follow=1&since=2" {
		t.Errorf("watched after a malformed line with %q", q)
	}
	moved := testutil.NewDiscovery(t)
	a.Reload(&config.Config{Discovery: moved.Addr})
	if q := testutil.Receive(t, moved.Watches); q != "follow=1" {
		t.Errorf("watched the new address with %q", q)
	}
	select {
	case e := <-lists:
		t.Errorf("the module hears %+v of a watch that it did not ask for", e)
	default:
	}
}

// Guards against a watch that is reset, before its answer or after a line: it is begun again from what is held.
func TestWatchIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(testutil.Timeout))
	c := testutil.Config(t, l.Addr().String(), testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"))
	c.Settings.Subscribe = false
	c.Settings.ConnectTimeout = time.Millisecond // the unit of the wait
	a, _ := start(t, c, scriptedModule(func(time.Duration, balancer.Event) []balancer.Action { return nil }))
	line := `{"version":2,"full":false,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "DRAINING") + `]}`
	for i, since := range []string{"1", "1", "2"} {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			t.Fatal(err)
		}
		if got := r.URL.Query().Get("since"); got != since {
			t.Errorf("watch %d since %q, want %q", i, got, since)
		}
		if i > 0 {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
			testutil.Eventually(t, "the line", func() bool { _, ok := a.loop.table.Serving("s0"); return !ok })
		}
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Guards against a move while the new discovery is down: the watch of the old address, still open, passed for
// the one that was wanted, and the new address was never asked again.
func TestMoveWhileDiscoveryIsDown(t *testing.T) {
	old := testutil.NewDiscovery(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := testutil.Config(t, old.Addr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"))
	c.Settings.Subscribe = false
	c.Settings.ConnectTimeout = time.Millisecond // the unit of the wait
	a, logged := startWith(t, c, func(a *Agent) {
		changeDiscovery(a, c, func(o *discovery.Options) { o.WatchSilence = testutil.Timeout })
	}) // the old watch stays
	testutil.Eventually(t, "the old watch", func() bool { return logged.Contains("watch established") })
	a.Reload(&config.Config{Discovery: l.Addr().String()})
	l.(*net.TCPListener).SetDeadline(time.Now().Add(testutil.Timeout))
	for range 3 {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	conn, err := l.Accept() // it is back
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	testutil.Respond(conn, 200, "", `{"version":1,"full":true,"servers":[`+testutil.EntryJSON("s7", "127.0.0.1:7", "SERVING")+`]}`)
	testutil.Eventually(t, "the list of the new address", func() bool { _, ok := a.loop.table.Serving("s7"); return ok })
}

// What discovery may do to a call before it serves the next one.
var calls = map[string]http.HandlerFunc{
	"refused": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	"hung":    func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	"silent from its start": func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	},
	"broken off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"ended":      func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() },
	"cut within a list": func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"version":2,"full":true,"serv`)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	},
	"malformed": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "}\n") },
}

// Guards the bound on when a change arrives, whatever became of the calls before: after each kind of failure,
// three times over, the next call comes within the wait that the bound allows, and its list counts. The waits are
// those of the real module; the time that a silent call takes is its own bound's matter.
func TestToldWhateverBecameOfTheCalls(t *testing.T) {
	for name, do := range calls {
		for _, asked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/asked %v", name, asked), func(t *testing.T) {
				t.Parallel()
				var n atomic.Int32
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if n.Add(1) <= 3 {
						do(w, r)
						return
					}
					fmt.Fprintf(w, `{"version":9,"full":true,"servers":[%s]}`+"\n", testutil.EntryJSON("s7", "127.0.0.1:7", "SERVING"))
					w.(http.Flusher).Flush()
					<-r.Context().Done()
				})}
				go s.Serve(l)
				t.Cleanup(func() { s.Close() })
				c := testutil.Config(t, l.Addr().String(), testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"))
				c.Settings.Subscribe, c.Settings.Agents = asked, 350
				c.Settings.PollWithin = time.Minute // the waits come from the bound
				a, _ := startWith(t, c, func(a *Agent) {
					changeDiscovery(a, c, func(o *discovery.Options) {
						o.WatchSilence, o.CallTimeout = 50*time.Millisecond, 50*time.Millisecond
					})
				})
				testutil.Eventually(t, "the list", func() bool { _, ok := a.loop.table.Serving("s7"); return ok })
			})
		}
	}
}
