package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
		t.Errorf("got event %+v, want endpoint s7", event)
	}
}

// A malformed list must be rejected as a whole: if only its valid entries were applied, the other endpoints would be
// removed.
func TestMalformedLists(t *testing.T) {
	good := entryJSON("s0", "SERVING")
	for name, text := range map[string]string{
		"invalid JSON":    `{"version":2,"servers":[}`,
		"no version":      `{"full":true,"servers":[` + good + `]}`,
		"no servers":      `{"version":2,"full":true}`,
		"no id":           completeListJSON(2, entryJSON("", "SERVING")),
		"unknown state":   completeListJSON(2, strings.Replace(good, "SERVING", "ASLEEP", 1)),
		"invalid address": completeListJSON(2, testutil.EntryJSON("s0", "here", "SERVING")),
		"invalid type":    `{"version":2,"full":true,"servers":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := testutil.NewDiscovery(t)
			server.CompleteList = func() string { return text }
			client, events := newSubscribedClient(t, server, testutil.Timeout)
			testutil.Receive(t, server.Watches)
			server.Lines <- text
			expectFailure(t, events) // failure of the watch
			client.Poll(context.Background())
			expectFailure(t, events)
			expectServing(t, client, "s1", true) // from the cached list
		})
	}
}

// A part of a list must not be taken for the list, if the length of the response is too small.
func TestCutPollIsNotApplied(t *testing.T) {
	const missing = 12
	text := completeListJSON(2, entryJSON("s0", "SERVING"), entryJSON("s1", "DRAINING"))
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text)-missing, text)
		return true
	})
	options, events := newOptions(t, testutil.Config(t, server.Addr(), entryJSON("s1", "SERVING")))
	client := New(options)
	client.Poll(t.Context())
	expectFailure(t, events)
	expectServing(t, client, "s1", true) // from the cached list
}

// A list with an older version, whether it is a delayed poll response or a list of the watch, must not revert the
// version and the table. Otherwise requests would be sent to a draining endpoint again.
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
	expectEvent(t, events, balancer.ListDelta, 0) // each poll has an event
	server.Lines <- completeListJSON(1, entryJSON("s0", "SERVING"))
	if event := testutil.Receive(t, events); len(event.Endpoints) != 0 {
		t.Errorf("outdated list on the watch: got event %+v, want one without entries", event)
	}
	expectServing(t, client, "s0", false)
	expectServing(t, client, "s1", true) // would be removed if the outdated list were applied
	server.EndWatch <- struct{}{}
	testutil.Receive(t, events)
	client.Subscribe(context.Background())
	expectWatch(t, server, "follow=1&since=2")
}
