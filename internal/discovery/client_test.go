package discovery

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

// listen returns the options of a client of discovery whose events come out of the channel.
func listen(t *testing.T, c *config.Config) (Options, chan balancer.EndpointList) {
	t.Helper()
	events := make(chan balancer.EndpointList, 10)
	return Options{Addr: c.Discovery, Known: c.Known, Table: endpoint.NewTable(), Retire: func(string) {},
		OnList: func(e balancer.EndpointList) { events <- e }, Zones: c.Names.Zones, Kinds: c.Names.Kinds, Clock: clock.New(),
		Log: testutil.NewLogger(&testutil.Log{}), KeepWatch: !c.Settings.Subscribe, ConnectTimeout: c.Settings.ConnectTimeout,
		DrainGrace: c.Settings.DrainGrace, Seed: c.Seed}, events
}

// follow runs a watch whose events come out of the channel.
func follow(t *testing.T, d *testutil.Discovery, silence time.Duration) (*Client, chan balancer.EndpointList) {
	t.Helper()
	options, events := listen(t, testutil.Config(t, d.Addr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"), testutil.EntryJSON("s1", "127.0.0.1:2", "SERVING")))
	options.WatchSilence, options.CallTimeout = silence, silence
	disc := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	disc.Subscribe(ctx)
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
	disc.Subscribe(context.Background())
	if q := testutil.Receive(t, d.Watches); q != "follow=1&since=3" {
		t.Errorf("watched again with %q", q)
	}
	disc.Unsubscribe()
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
			disc.Poll(context.Background())
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
	disc.Poll(context.Background())
	if e := testutil.Receive(t, events); e.Kind != balancer.ListComplete || len(e.Endpoints) != 1 || e.Endpoints[0].ID != "s7" {
		t.Errorf("event %+v", e)
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
	disc.Move(context.Background(), "127.0.0.1:1") // refused: the module is told, and asks again
	if e := testutil.Receive(t, events); e.Kind != balancer.ListFailed {
		t.Errorf("event %+v", e)
	}
	old.Say <- `{"version":3,"full":false,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "DRAINING") + `]}`
	if e := testutil.Receive(t, events); e.Kind != balancer.ListDelta {
		t.Errorf("event %+v from the old address, which is still watched", e)
	}
	disc.Move(context.Background(), new.Addr)
	disc.Move(context.Background(), new.Addr) // once more changes nothing
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
	disc.Subscribe(context.Background())
	if q := testutil.Receive(t, new.Watches); q != "follow=1&since=1" {
		t.Errorf("watched again with %q", q)
	}
	if len(new.Watches) != 0 {
		t.Error("watched twice")
	}
	disc.Unsubscribe()
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
	disc.Poll(context.Background())
	if e := testutil.Receive(t, events); e.Kind != balancer.ListComplete || len(e.Endpoints) != 1 {
		t.Errorf("called for: event %+v", e)
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
			disc.Subscribe(context.Background())
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
	disc.Poll(context.Background())
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
	disc.Subscribe(context.Background())
	if q := testutil.Receive(t, d.Watches); q != "follow=1&since=2" {
		t.Errorf("watched again with %q", q)
	}
}

// Guards against calls that are worked on after they were given up, and against a bound that leaves no time for
// the next call's turn.
func TestAskedCallsAreToldInTime(t *testing.T) {
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = true
	options, _ := listen(t, c)
	d := New(options)
	if d.calling <= turnTime || d.silence <= 2*time.Second {
		t.Errorf("calls end after %v, silent watches after %v: while they wait in turn, or before a line is due",
			d.calling, d.silence)
	}
	if worst := max(d.silence, d.calling) + PollSpread + turnTime; worst > 6*time.Second || PollSpread <= 0 {
		t.Errorf("a silent watch or a hung call, a wait of %v and the next call's turn take %v", PollSpread, worst)
	}
}

// Guards the bound on what a silent watch may miss: it and one more that is silent from its start must be over
// before the 6 s after which that counts as told, and the waits between them within the grace for drains.
func TestSilenceEndsInTime(t *testing.T) {
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = false
	options, _ := listen(t, c)
	d := New(options)
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
