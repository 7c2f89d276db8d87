package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

// follow runs a discovery whose events come out of the channel.
func follow(t *testing.T, d *testutil.Discovery, silence time.Duration) (*discovery, chan balancer.EndpointList) {
	t.Helper()
	c := testutil.Config(t, d.Addr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"), testutil.EntryJSON("s1", "127.0.0.1:2", "SERVING"))
	events := make(chan balancer.EndpointList, 10)
	table := endpoint.NewTable()
	known := c.Known
	known.Full = true
	table.Apply(known)
	disc := &discovery{addr: d.Addr, client: newListClient(), table: table,
		stale: func(string) {}, post: func(m any) { events <- m.(balancer.EndpointList) }, silence: silence, calling: silence,
		event: lister(c, clock.New()), log: testutil.NewLogger(&testutil.Log{}), version: 1}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	disc.subscribe(ctx)
	return disc, events
}

func TestWatch(t *testing.T) {
	d := testutil.NewDiscovery(t)
	disc, events := follow(t, d, testutil.Timeout)
	if q := testutil.Receive(t, d.Watches); q != "follow=1&since=1" {
		t.Errorf("watched with %q", q)
	}
	d.Say <- ""
	d.Say <- `{"version":2,"full":false,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "DRAINING") + `]}`
	e := testutil.Receive(t, events)
	if e.Kind != balancer.ListDelta || len(e.Endpoints) != 1 || e.Endpoints[0].State != balancer.Draining || e.Endpoints[0].Zone != 0 {
		t.Errorf("event %+v", e)
	}
	if _, ok := disc.table.Serving("s0"); ok {
		t.Error("a draining backend may still get work")
	}
	d.Say <- `{"version":3,"full":true,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING") + `]}`
	if e := testutil.Receive(t, events); e.Kind != balancer.ListComplete {
		t.Errorf("event %+v", e)
	}
	if _, ok := disc.table.Serving("s1"); ok {
		t.Error("a backend that left the list may still get work")
	}
	d.Cut <- struct{}{}
	if e := testutil.Receive(t, events); e.Kind != balancer.ListFailed {
		t.Errorf("event %+v", e)
	}
	disc.subscribe(context.Background())
	if q := testutil.Receive(t, d.Watches); q != "follow=1&since=3" {
		t.Errorf("watched again with %q", q)
	}
	disc.unsubscribe()
}

// Guards against a watch that a cut-off network holds open for ever.
func TestSilentWatch(t *testing.T) {
	d := testutil.NewDiscovery(t)
	_, events := follow(t, d, 100*time.Millisecond)
	if e := testutil.Receive(t, events); e.Kind != balancer.ListFailed {
		t.Errorf("event %+v", e)
	}
}

// Guards against half a list, which would look like backends that are gone.
func TestMalformedLists(t *testing.T) {
	good := testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING")
	for name, line := range map[string]string{
		"no JSON":          `{"version":2,"servers":[}`,
		"no version":       `{"full":true,"servers":[` + good + `]}`,
		"no servers":       `{"version":2,"full":true}`,
		"no id":            `{"version":2,"full":true,"servers":[` + testutil.EntryJSON("", "127.0.0.1:1", "SERVING") + `]}`,
		"an unknown state": `{"version":2,"full":true,"servers":[` + strings.Replace(good, "SERVING", "ASLEEP", 1) + `]}`,
		"a bad address":    `{"version":2,"full":true,"servers":[` + testutil.EntryJSON("s0", "here", "SERVING") + `]}`,
		"a bad type":       `{"version":2,"full":true,"servers":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			d := testutil.NewDiscovery(t)
			d.Complete = func() string { return line }
			disc, events := follow(t, d, testutil.Timeout)
			testutil.Receive(t, d.Watches)
			d.Say <- line
			if e := testutil.Receive(t, events); e.Kind != balancer.ListFailed {
				t.Errorf("watch: event %+v", e)
			}
			disc.fetch(context.Background())
			if e := testutil.Receive(t, events); e.Kind != balancer.ListFailed {
				t.Errorf("list: event %+v", e)
			}
			if _, ok := disc.table.Serving("s1"); !ok {
				t.Error("the old list no longer stands")
			}
		})
	}
}

func TestFetch(t *testing.T) {
	d := testutil.NewDiscovery(t)
	d.Complete = func() string {
		return `{"version":9,"full":true,"servers":[` + testutil.EntryJSON("s7", "127.0.0.1:7", "SERVING") + `]}`
	}
	disc, events := follow(t, d, testutil.Timeout)
	disc.fetch(context.Background())
	if e := testutil.Receive(t, events); e.Kind != balancer.ListComplete || len(e.Endpoints) != 1 || e.Endpoints[0].ID != "s7" {
		t.Errorf("event %+v", e)
	}
}

// Guards against idle connections to a process that is no more: all that drains, left, moved or was
// started again is named as stale.
func TestStaleBackends(t *testing.T) {
	table := endpoint.NewTable()
	s := func(id, addr, state string, started float64) endpoint.Entry {
		return endpoint.Entry{ID: id, Addr: addr, State: state, StartedMs: started}
	}
	table.Apply(endpoint.List{Full: true, Entries: []endpoint.Entry{s("a", "x:1", "SERVING", 0), s("b", "x:2", "SERVING", 0),
		s("c", "x:3", "SERVING", 0), s("d", "x:4", "SERVING", 0), s("e", "x:5", "SERVING", 0)}})
	stale := table.Apply(endpoint.List{Full: true, Entries: []endpoint.Entry{s("a", "x:1", "DRAINING", 0), s("b", "x:9", "SERVING", 0),
		s("c", "x:3", "SERVING", 77), s("d", "x:4", "SERVING", 0)}})
	if got := strings.Join(stale, ""); got != "abce" {
		t.Errorf("stale %q, want abce", got)
	}
}

// Guards against a new address of discovery that brings nothing, or numbers its versions otherwise: the
// old watch goes on until the new one has brought the whole list, and has no say after.
func TestDiscoveryMoves(t *testing.T) {
	old, new := testutil.NewDiscovery(t), testutil.NewDiscovery(t)
	disc, events := follow(t, old, testutil.Timeout)
	testutil.Receive(t, old.Watches)
	old.Say <- `{"version":2,"full":false,"servers":[]}`
	testutil.Receive(t, events)
	disc.move(context.Background(), "127.0.0.1:1") // refused: the module is told, and asks again
	if e := testutil.Receive(t, events); e.Kind != balancer.ListFailed {
		t.Errorf("event %+v", e)
	}
	old.Say <- `{"version":3,"full":false,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "DRAINING") + `]}`
	if e := testutil.Receive(t, events); e.Kind != balancer.ListDelta {
		t.Errorf("event %+v from the old address, which is still watched", e)
	}
	disc.move(context.Background(), new.Addr)
	disc.move(context.Background(), new.Addr) // once more changes nothing
	if q := testutil.Receive(t, new.Watches); q != "follow=1" {
		t.Errorf("the new address is watched with %q, want the whole list", q)
	}
	old.Cut <- struct{}{} // ends while the new one is awaited: no failure, since that is under way
	new.Say <- ""
	new.Say <- `{"version":1,"full":true,"servers":[` + testutil.EntryJSON("s1", "127.0.0.1:2", "SERVING") + `]}`
	if e := testutil.Receive(t, events); e.Kind != balancer.ListComplete {
		t.Errorf("event %+v", e)
	}
	if _, ok := disc.table.Serving("s0"); ok {
		t.Error("a backend that only the old address knew may still get work")
	}
	new.Cut <- struct{}{}
	if e := testutil.Receive(t, events); e.Kind != balancer.ListFailed {
		t.Errorf("event %+v", e)
	}
	disc.subscribe(context.Background())
	if q := testutil.Receive(t, new.Watches); q != "follow=1&since=1" {
		t.Errorf("watched again with %q", q)
	}
	if len(new.Watches) != 0 {
		t.Error("watched twice")
	}
	disc.unsubscribe()
}

// Guards against settings under which changes come unasked, as in the simulator: on sockets nothing comes
// without a watch, so agents would hold the list of their start for ever. It is begun again when it ends.
func TestUnaskedWatch(t *testing.T) {
	d := testutil.NewDiscovery(t)
	c := testutil.Config(t, d.Addr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"), testutil.EntryJSON("s1", "127.0.0.1:2", "SERVING"))
	c.Settings.Subscribe = false
	c.Settings.ConnectTimeout = time.Millisecond // the unit of the wait
	lists := make(chan balancer.EndpointList, 10)
	a, _ := start(t, c, script(func(_ time.Duration, e balancer.Event) []balancer.Action {
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

// pretty is a list over several lines, as some write it.
const pretty = `{
  "version": 2,
  "full": false,
  "servers": [
    {"id": "s0", "addr": "127.0.0.1:1", "zone": "dc", "kind": "std", "cell": 1,
     "state": "DRAINING", "weight": 1.0, "started_ms": 0}
  ]
}`

// Guards against taking the end of a line for the end of a list: indented ones read as malformed, and no agent
// learnt anything.
func TestIndentedLists(t *testing.T) {
	d := testutil.NewDiscovery(t)
	d.Complete = func() string { return strings.Replace(pretty, `"version": 2`, `"version": 4`, 1) }
	disc, events := follow(t, d, testutil.Timeout)
	testutil.Receive(t, d.Watches)
	d.Say <- ""
	d.Say <- pretty
	d.Say <- `  {"version":3,"full":false,"servers":[]} {"version":4,"full":false,` + "\n\n" + `"servers":[]}`
	for i, n := range []int{1, 0, 0} {
		if e := testutil.Receive(t, events); e.Kind != balancer.ListDelta || len(e.Endpoints) != n {
			t.Errorf("list %d: event %+v", i, e)
		}
	}
	if _, ok := disc.table.Serving("s0"); ok {
		t.Error("a draining backend may still get work")
	}
	disc.fetch(context.Background())
	if e := testutil.Receive(t, events); e.Kind != balancer.ListComplete || len(e.Endpoints) != 1 {
		t.Errorf("called for: event %+v", e)
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
	a, _ := start(t, c, script(func(time.Duration, balancer.Event) []balancer.Action { return nil }))
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
			testutil.Eventually(t, "the line", func() bool { _, ok := a.loop.back.table.Serving("s0"); return !ok })
		}
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Guards against a watch that falls silent or ends within a list, or that brings a list without end.
func TestWatchStopsMidList(t *testing.T) {
	for name, tt := range map[string]struct {
		text    string
		silence time.Duration
		cut     bool
	}{
		"silent":      {text: pretty[:len(pretty)/2], silence: 100 * time.Millisecond},
		"cut off":     {text: pretty[:len(pretty)/2], silence: testutil.Timeout, cut: true},
		"without end": {text: `{"version":2,"x":"` + strings.Repeat("x", maxListing), silence: testutil.Timeout},
	} {
		t.Run(name, func(t *testing.T) {
			d := testutil.NewDiscovery(t)
			disc, events := follow(t, d, tt.silence)
			testutil.Receive(t, d.Watches)
			d.Say <- tt.text
			if tt.cut {
				testutil.Eventually(t, "the half list to be sent", func() bool { return len(d.Say) == 0 })
				d.Cut <- struct{}{}
			}
			if e := testutil.Receive(t, events); e.Kind != balancer.ListFailed {
				t.Errorf("event %+v", e)
			}
			disc.subscribe(context.Background())
			if q := testutil.Receive(t, d.Watches); q != "follow=1&since=1" {
				t.Errorf("watched again with %q", q)
			}
		})
	}
}

// Guards against counting silence from the last whole list: a slow one is no silence.
func TestSlowListIsNoSilence(t *testing.T) {
	heard := 0
	in := &stream{Reader: iotest.OneByteReader(strings.NewReader(pretty)), heard: func() { heard++ }, left: maxListing}
	if raw, err := io.ReadAll(in); err != nil || string(raw) != pretty || heard != len(pretty) {
		t.Errorf("%d bytes heard of %d, error %v", heard, len(pretty), err)
	}
}

// Guards against an answer to a call that a line of the watch has overtaken: it set version and table back, and a
// draining backend got work again.
func TestOldListIsPassedOver(t *testing.T) {
	d := testutil.NewDiscovery(t)
	called, answer := make(chan struct{}), make(chan struct{})
	d.Complete = func() string {
		close(called)
		<-answer
		return `{"version":1,"full":true,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING") + `]}`
	}
	disc, events := follow(t, d, testutil.Timeout)
	testutil.Receive(t, d.Watches)
	disc.fetch(context.Background())
	testutil.Receive(t, called)
	d.Say <- `{"version":2,"full":false,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "DRAINING") + `]}`
	testutil.Receive(t, events)
	close(answer)
	if e := testutil.Receive(t, events); e.Kind != balancer.ListDelta || len(e.Endpoints) != 0 {
		t.Errorf("event %+v: the call is to be answered by no news", e)
	}
	d.Say <- `{"version":1,"full":true,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING") + `]}`
	if e := testutil.Receive(t, events); len(e.Endpoints) != 0 {
		t.Errorf("event %+v of a line that is old", e)
	}
	if _, ok := disc.table.Serving("s0"); ok {
		t.Error("a draining backend may get work again")
	}
	if _, ok := disc.table.Serving("s1"); !ok {
		t.Error("a backend that the old list did not know is gone")
	}
	d.Cut <- struct{}{}
	testutil.Receive(t, events)
	disc.subscribe(context.Background())
	if q := testutil.Receive(t, d.Watches); q != "follow=1&since=2" {
		t.Errorf("watched again with %q", q)
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
	c.Settings.ConnectTimeout = time.Millisecond                                            // the unit of the wait
	a, logged := startWith(t, c, func(a *Agent) { a.loop.disc.silence = testutil.Timeout }) // the old watch stays
	testutil.Eventually(t, "the old watch", func() bool { return logged.Contains("watch begins") })
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
	testutil.Eventually(t, "the list of the new address", func() bool { _, ok := a.loop.back.table.Serving("s7"); return ok })
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
					a.loop.disc.silence, a.loop.disc.calling = 50*time.Millisecond, 50*time.Millisecond
				})
				testutil.Eventually(t, "the list", func() bool { _, ok := a.loop.back.table.Serving("s7"); return ok })
			})
		}
	}
}

// Guards against calls that are worked on after they were given up, and against a bound that leaves no time for
// the next call's turn.
func TestAskedCallsAreToldInTime(t *testing.T) {
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = true
	l, err := newLoop(c, clock.New(), testutil.NewLogger(&testutil.Log{}))
	if err != nil {
		t.Fatal(err)
	}
	if d := l.disc; d.calling <= turnTime || d.silence <= 2*time.Second {
		t.Errorf("calls end after %v, silent watches after %v: while they wait in turn, or before a line is due",
			d.calling, d.silence)
	}
	if worst := max(l.disc.silence, l.disc.calling) + askSpread + turnTime; worst > 6*time.Second || askSpread <= 0 {
		t.Errorf("a silent watch or a hung call, a wait of %v and the next call's turn take %v", askSpread, worst)
	}
}

// Guards the bound on what a silent watch may miss: it and one more that is silent from its start must be over
// before the 6 s after which that counts as told, and the waits between them within the grace for drains.
func TestSilenceEndsInTime(t *testing.T) {
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = false
	l, err := newLoop(c, clock.New(), testutil.NewLogger(&testutil.Log{}))
	if err != nil {
		t.Fatal(err)
	}
	d := l.disc
	// Half a second is left for the next one, which a machine that is late may take.
	if worst := d.silence + d.calling + 2*d.longest; worst > 5500*time.Millisecond {
		t.Errorf("two silent watches take %v", worst)
	}
	if d.longest > c.Settings.DrainGrace/4 {
		t.Errorf("a wait of %v between two watches, where sends to what drains are borne for %v", d.longest, c.Settings.DrainGrace)
	}
	if d.silence <= 2*time.Second {
		t.Errorf("%v is too short for an empty line every 2 s", d.silence)
	}
	d.fails = maxDoubling
	d.unit = time.Hour
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	d.next = &watch{} // so that none begins
	if d.resume(ctx); ctx.Err() != nil {
		t.Error("the wait before a watch outlasts the grace for drains")
	}
}
