package discovery

import (
	"context"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

func TestWatch(t *testing.T) {
	server := testutil.NewDiscovery(t)
	client, events := newSubscribedClient(t, server, testutil.Timeout)
	expectWatch(t, server, "follow=1&since=1")
	server.Say <- ""
	server.Say <- deltaListJSON(2, entryJSON("s0", "DRAINING"))
	event := expectEvent(t, events, balancer.ListDelta, 1)
	if event.Endpoints[0].State != balancer.Draining || event.Endpoints[0].Zone != 0 {
		t.Errorf("event %+v", event)
	}
	expectServing(t, client, "s0", false)
	server.Say <- completeListJSON(3, entryJSON("s0", "SERVING"))
	expectEvent(t, events, balancer.ListComplete, 1)
	expectServing(t, client, "s1", false)
	server.Cut <- struct{}{}
	expectFailure(t, events)
	client.Subscribe(context.Background())
	expectWatch(t, server, "follow=1&since=3")
	client.Unsubscribe()
}

// A watch that a cut-off network holds open for ever is ended.
func TestWatchIdleTimeout(t *testing.T) {
	_, events := newSubscribedClient(t, testutil.NewDiscovery(t), 100*time.Millisecond)
	expectFailure(t, events)
}

// indentedList is a list over several lines, as some write it.
const indentedList = `{
  "version": 2,
  "full": false,
  "servers": [
    {"id": "s0", "addr": "127.0.0.1:1", "zone": "dc", "kind": "std", "cell": 1,
     "state": "DRAINING", "weight": 1.0, "started_ms": 0}
  ]
}`

// The end of a line is not the end of a list.
func TestIndentedLists(t *testing.T) {
	server := testutil.NewDiscovery(t)
	server.Complete = func() string { return strings.Replace(indentedList, `"version": 2`, `"version": 4`, 1) }
	client, events := newSubscribedClient(t, server, testutil.Timeout)
	testutil.Receive(t, server.Watches)
	server.Say <- ""
	server.Say <- indentedList
	server.Say <- `  {"version":3,"full":false,"servers":[]} {"version":4,"full":false,` + "\n\n" + `"servers":[]}`
	for _, entries := range []int{1, 0, 0} {
		expectEvent(t, events, balancer.ListDelta, entries)
	}
	expectServing(t, client, "s0", false)
	client.Poll(context.Background())
	expectEvent(t, events, balancer.ListComplete, 1)
}

// A watch that falls silent or ends within a list, or that brings a list without end, leaves the version as it was.
func TestWatchEndsWithinList(t *testing.T) {
	half := indentedList[:len(indentedList)/2]
	for name, tt := range map[string]struct {
		text        string
		idleTimeout time.Duration
		cut         bool
	}{
		"silent":      {text: half, idleTimeout: 100 * time.Millisecond},
		"cut off":     {text: half, idleTimeout: testutil.Timeout, cut: true},
		"without end": {text: `{"version":2,"x":"` + strings.Repeat("x", maxListSize), idleTimeout: testutil.Timeout},
	} {
		t.Run(name, func(t *testing.T) {
			server := testutil.NewDiscovery(t)
			client, events := newSubscribedClient(t, server, tt.idleTimeout)
			testutil.Receive(t, server.Watches)
			server.Say <- tt.text
			if tt.cut {
				testutil.Eventually(t, "the half list to be sent", func() bool { return len(server.Say) == 0 })
				server.Cut <- struct{}{}
			}
			expectFailure(t, events)
			client.Subscribe(context.Background())
			expectWatch(t, server, "follow=1&since=1")
		})
	}
}

// sendTricklingList begins a list that keeps coming, a blank at a time, until the test ends.
func sendTricklingList(t *testing.T, server *testutil.Discovery, every time.Duration) {
	t.Helper()
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	go func() {
		server.Say <- indentedList[:len(indentedList)/2]
		for {
			select {
			case <-stopped:
				return
			case <-time.After(every):
				server.Say <- ""
			}
		}
	}()
}

// A list that never becomes complete is given up, however steadily it comes: its changes count as received soon.
func TestTricklingList(t *testing.T) {
	server := testutil.NewDiscovery(t)
	client, events := newSubscribedClient(t, server, 200*time.Millisecond)
	testutil.Receive(t, server.Watches)
	sendTricklingList(t, server, 20*time.Millisecond)
	expectFailure(t, events)
	expectServing(t, client, "s0", true)
}

// A list that takes longer than the silence timeout is applied if it comes.
func TestSlowList(t *testing.T) {
	server := testutil.NewDiscovery(t)
	options, events := newOptions(t, testutil.Config(t, server.Addr, entryJSON("s0", "SERVING")))
	options.IdleTimeout, options.CallTimeout = time.Second, testutil.Timeout
	client := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	client.Subscribe(ctx)
	testutil.Receive(t, server.Watches)
	for line := range strings.SplitSeq(indentedList, "\n") {
		time.Sleep(200 * time.Millisecond)
		server.Say <- line
	}
	expectEvent(t, events, balancer.ListDelta, 1)
	expectServing(t, client, "s0", false)
}

// The old watch continues until the one of the new address has brought the complete list, since a new address may bring
// nothing and may number its versions differently; after that the old one is ignored.
func TestSetAddressReplacesWatch(t *testing.T) {
	oldServer, newServer := testutil.NewDiscovery(t), testutil.NewDiscovery(t)
	client, events := newSubscribedClient(t, oldServer, testutil.Timeout)
	testutil.Receive(t, oldServer.Watches)
	oldServer.Say <- deltaListJSON(2)
	testutil.Receive(t, events)
	client.SetAddress(context.Background(), "127.0.0.1:1") // refused: the module is notified, and subscribes again
	expectFailure(t, events)
	oldServer.Say <- deltaListJSON(3, entryJSON("s0", "DRAINING"))
	expectEvent(t, events, balancer.ListDelta, 1) // from the old address, which is still watched
	client.SetAddress(context.Background(), newServer.Addr)
	client.SetAddress(context.Background(), newServer.Addr) // once more changes nothing
	expectWatch(t, newServer, "follow=1")                   // for the complete list
	oldServer.Cut <- struct{}{}                             // no failure: the new one is under way
	newServer.Say <- ""
	newServer.Say <- completeListJSON(1, entryJSON("s1", "SERVING"))
	expectEvent(t, events, balancer.ListComplete, 1)
	expectServing(t, client, "s0", false) // which only the old address knew
	newServer.Cut <- struct{}{}
	expectFailure(t, events)
	client.Subscribe(context.Background())
	expectWatch(t, newServer, "follow=1&since=1")
	if len(newServer.Watches) != 0 {
		t.Error("watched twice")
	}
	client.Unsubscribe()
}
