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
	server.Lines <- ""
	server.Lines <- deltaListJSON(2, entryJSON("s0", "DRAINING"))
	event := expectEvent(t, events, balancer.ListDelta, 1)
	if event.Endpoints[0].State != balancer.Draining || event.Endpoints[0].Zone != 0 {
		t.Errorf("got event %+v, want s0 draining in zone 0", event)
	}
	expectServing(t, client, "s0", false)
	server.Lines <- completeListJSON(3, entryJSON("s0", "SERVING"))
	expectEvent(t, events, balancer.ListComplete, 1)
	expectServing(t, client, "s1", false)
	server.EndWatch <- struct{}{}
	expectFailure(t, events)
	client.Subscribe(context.Background())
	expectWatch(t, server, "follow=1&since=3")
	client.Unsubscribe()
}

// In a network partition, a watch stays open without data. It must end after the idle timeout.
func TestWatchIdleTimeout(t *testing.T) {
	_, events := newSubscribedClient(t, testutil.NewDiscovery(t), 100*time.Millisecond)
	expectFailure(t, events)
}

// indentedList is a list that extends over several lines.
const indentedList = `{
  "version": 2,
  "full": false,
  "servers": [
    {"id": "s0", "addr": "127.0.0.1:1", "zone": "dc", "kind": "std", "cell": 1,
     "state": "DRAINING", "weight": 1.0, "started_ms": 0}
  ]
}`

// Lists must be separated by their JSON syntax and not by newlines: a list may extend over several lines, and a line
// may contain several lists.
func TestIndentedLists(t *testing.T) {
	server := testutil.NewDiscovery(t)
	server.CompleteList = func() string { return strings.Replace(indentedList, `"version": 2`, `"version": 4`, 1) }
	client, events := newSubscribedClient(t, server, testutil.Timeout)
	testutil.Receive(t, server.Watches)
	server.Lines <- ""
	server.Lines <- indentedList
	server.Lines <- `  {"version":3,"full":false,"servers":[]} {"version":4,"full":false,` + "\n\n" + `"servers":[]}`
	for _, entries := range []int{1, 0, 0} {
		expectEvent(t, events, balancer.ListDelta, entries)
	}
	expectServing(t, client, "s0", false)
	client.Poll(context.Background())
	expectEvent(t, events, balancer.ListComplete, 1)
}

// If a watch times out or ends within a list, or receives a list over the size limit, the version must not change, so
// that the next watch receives the list again.
func TestWatchEndsWithinList(t *testing.T) {
	half := indentedList[:len(indentedList)/2]
	for name, tt := range map[string]struct {
		text        string
		idleTimeout time.Duration
		closeWatch  bool
	}{
		"idle":      {text: half, idleTimeout: 100 * time.Millisecond},
		"closed":    {text: half, idleTimeout: testutil.Timeout, closeWatch: true},
		"too large": {text: `{"version":2,"x":"` + strings.Repeat("x", maxListSize), idleTimeout: testutil.Timeout},
	} {
		t.Run(name, func(t *testing.T) {
			server := testutil.NewDiscovery(t)
			client, events := newSubscribedClient(t, server, tt.idleTimeout)
			testutil.Receive(t, server.Watches)
			server.Lines <- tt.text
			if tt.closeWatch {
				testutil.WaitFor(t, "the truncated list to be sent", func() bool { return len(server.Lines) == 0 })
				server.EndWatch <- struct{}{}
			}
			expectFailure(t, events)
			client.Subscribe(context.Background())
			expectWatch(t, server, "follow=1&since=1")
		})
	}
}

// sendTricklingList sends the first half of a list, and then white space at an interval until the test ends.
func sendTricklingList(t *testing.T, server *testutil.Discovery, interval time.Duration) {
	t.Helper()
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	go func() {
		server.Lines <- indentedList[:len(indentedList)/2]
		for {
			select {
			case <-stopped:
				return
			case <-time.After(interval):
				server.Lines <- ""
			}
		}
	}()
}

// A list that never ends must time out even if bytes keep arriving, since discovery treats its changes as received
// after the maximum propagation delay.
func TestTricklingList(t *testing.T) {
	server := testutil.NewDiscovery(t)
	client, events := newSubscribedClient(t, server, 200*time.Millisecond)
	testutil.Receive(t, server.Watches)
	sendTricklingList(t, server, 20*time.Millisecond)
	expectFailure(t, events)
	expectServing(t, client, "s0", true)
}

// A list that takes longer than the idle timeout must be applied if it is received within the list timeout.
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
		server.Lines <- line
	}
	expectEvent(t, events, balancer.ListDelta, 1)
	expectServing(t, client, "s0", false)
}

// After a change of the address, the old watch must continue until the new one has received its complete list: the new
// address may not respond, and may number its versions differently. After that, the old watch is ignored.
func TestSetAddressReplacesWatch(t *testing.T) {
	oldServer, newServer := testutil.NewDiscovery(t), testutil.NewDiscovery(t)
	client, events := newSubscribedClient(t, oldServer, testutil.Timeout)
	testutil.Receive(t, oldServer.Watches)
	oldServer.Lines <- deltaListJSON(2)
	testutil.Receive(t, events)
	client.SetAddress(context.Background(), "127.0.0.1:1") // refused, so the new watch fails
	expectFailure(t, events)
	oldServer.Lines <- deltaListJSON(3, entryJSON("s0", "DRAINING"))
	expectEvent(t, events, balancer.ListDelta, 1) // from the watch of the old address, which continues
	client.SetAddress(context.Background(), newServer.Addr)
	client.SetAddress(context.Background(), newServer.Addr) // no effect, since the address is unchanged
	expectWatch(t, newServer, "follow=1")                   // without a version, for the complete list
	oldServer.EndWatch <- struct{}{}                        // no event, since the new watch is pending
	newServer.Lines <- ""
	newServer.Lines <- completeListJSON(1, entryJSON("s1", "SERVING"))
	expectEvent(t, events, balancer.ListComplete, 1)
	expectServing(t, client, "s0", false) // not in the list of the new address
	newServer.EndWatch <- struct{}{}
	expectFailure(t, events)
	client.Subscribe(context.Background())
	expectWatch(t, newServer, "follow=1&since=1")
	if len(newServer.Watches) != 0 {
		t.Error("got a second watch of the new address, want one")
	}
	client.Unsubscribe()
}
