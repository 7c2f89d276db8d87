package discovery

import (
	"context"
	"strings"
	"testing"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

func TestPoll(t *testing.T) {
	server := testutil.NewDiscovery(t)
	server.CompleteList = func() string { return completeListJSON(9, entryJSON("s7", "SERVING")) }
	client, events := newSubscribedClient(t, server, testutil.Timeout)
	client.Poll(context.Background())
	if event := expectEvent(t, events, balancer.ListComplete, 1); event.Endpoints[0].ID != "s7" {
		t.Errorf("event %+v", event)
	}
}

// A list must not be applied in part: endpoints would look as if they were gone.
func TestMalformedLists(t *testing.T) {
	good := entryJSON("s0", "SERVING")
	for name, text := range map[string]string{
		"no JSON":          `{"version":2,"servers":[}`,
		"no version":       `{"full":true,"servers":[` + good + `]}`,
		"no servers":       `{"version":2,"full":true}`,
		"no id":            completeListJSON(2, entryJSON("", "SERVING")),
		"an unknown state": completeListJSON(2, strings.Replace(good, "SERVING", "ASLEEP", 1)),
		"a bad address":    completeListJSON(2, testutil.EntryJSON("s0", "here", "SERVING")),
		"a bad type":       `{"version":2,"full":true,"servers":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := testutil.NewDiscovery(t)
			server.CompleteList = func() string { return text }
			client, events := newSubscribedClient(t, server, testutil.Timeout)
			testutil.Receive(t, server.Watches)
			server.Lines <- text
			expectFailure(t, events) // of the watch
			client.Poll(context.Background())
			expectFailure(t, events)
			expectServing(t, client, "s1", true) // by the old list
		})
	}
}

// The response to a poll that a line of the watch has overtaken, and a line that is older than the ones before it, must
// not set back version and table: a draining endpoint would get requests again.
func TestOutdatedListIsIgnored(t *testing.T) {
	server := testutil.NewDiscovery(t)
	polled, gate := make(chan struct{}), make(chan struct{})
	server.CompleteList = func() string {
		close(polled)
		<-gate
		return completeListJSON(1, entryJSON("s0", "SERVING"))
	}
	client, events := newSubscribedClient(t, server, testutil.Timeout)
	testutil.Receive(t, server.Watches)
	client.Poll(context.Background())
	testutil.Receive(t, polled)
	server.Lines <- deltaListJSON(2, entryJSON("s0", "DRAINING"))
	testutil.Receive(t, events)
	close(gate)
	expectEvent(t, events, balancer.ListDelta, 0) // a poll always has an event
	server.Lines <- completeListJSON(1, entryJSON("s0", "SERVING"))
	if event := testutil.Receive(t, events); len(event.Endpoints) != 0 {
		t.Errorf("event %+v of an outdated line", event)
	}
	expectServing(t, client, "s0", false)
	expectServing(t, client, "s1", true) // which the outdated list does not know
	server.EndWatch <- struct{}{}
	testutil.Receive(t, events)
	client.Subscribe(context.Background())
	expectWatch(t, server, "follow=1&since=2")
}
