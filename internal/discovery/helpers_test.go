package discovery

import (
	"context"
	"fmt"
	"hash/crc32"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

// newOptions returns the options of a client with the given configuration, and the channel to which the client sends
// its events.
func newOptions(t *testing.T, c *config.Config) (Options, chan balancer.EndpointList) {
	t.Helper()
	events := make(chan balancer.EndpointList, 10)
	return Options{
		Addr:               c.Discovery,
		CachedList:         c.CachedList,
		Table:              endpoint.NewTable(),
		OnStaleConnections: func(string) {},
		OnList:             func(event balancer.EndpointList) { events <- event },
		Zones:              c.Names.Zones,
		Kinds:              c.Names.Kinds,
		Clock:              clock.New(),
		Log:                testutil.NewLogger(&testutil.Log{}),
		AutoWatch:          !c.Settings.Subscribe,
		ConnectTimeout:     c.Settings.ConnectTimeout,
		DrainGrace:         c.Settings.DrainGrace,
		Seed:               c.Seed,
		SlowStart: SlowStart{
			Duration:    c.Settings.SlowStartDuration,
			MinCapacity: c.Settings.SlowStartMinCapacity,
		},
	}, events
}

// newClient returns a client without a discovery service, and its settings. subscribe is Settings.Subscribe: if it is
// set, the decision module and not the client decides when to watch.
func newClient(t *testing.T, subscribe bool) (*Client, balancer.Settings) {
	t.Helper()
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = subscribe
	options, _ := newOptions(t, c)
	return New(options), c.Settings
}

// newSubscribedClient returns a client that has a cached list of version 1 with the endpoints s0 and s1, and has
// subscribed to the discovery service. timeout is its idle timeout and its call timeout.
func newSubscribedClient(t *testing.T, server *testutil.Discovery,
	timeout time.Duration) (*Client, chan balancer.EndpointList) {
	t.Helper()
	options, events := newOptions(t,
		testutil.Config(t, server.Addr, entryJSON("s0", "SERVING"), entryJSON("s1", "SERVING")))
	options.IdleTimeout, options.CallTimeout = timeout, timeout
	client := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	client.Subscribe(ctx)
	return client, events
}

// entryJSON returns an entry of a list in the JSON format of discovery.
func entryJSON(id string, state endpoint.State) string {
	const maxPort = 65535
	port := crc32.ChecksumIEEE([]byte(id))%maxPort + 1 // no two endpoints have the same address
	return testutil.EntryJSON(id, fmt.Sprint("127.0.0.1:", port), string(state))
}

// completeListJSON returns a complete list in the JSON format of discovery.
func completeListJSON(version int, entries ...string) string { return listJSON(version, true, entries) }

// deltaListJSON returns a list of changed entries in the JSON format of discovery.
func deltaListJSON(version int, entries ...string) string { return listJSON(version, false, entries) }

func listJSON(version int, complete bool, entries []string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, complete, strings.Join(entries, ","))
}

// expectEvent receives the next event and verifies its kind and its number of entries.
func expectEvent(t *testing.T, events <-chan balancer.EndpointList, kind balancer.ListKind,
	entries int) balancer.EndpointList {
	t.Helper()
	event := testutil.Receive(t, events)
	if event.Kind != kind || len(event.Endpoints) != entries {
		t.Errorf("got event %+v, want kind %d with %d entries", event, kind, entries)
	}
	return event
}

func expectFailure(t *testing.T, events <-chan balancer.EndpointList) {
	t.Helper()
	expectEvent(t, events, balancer.ListFailed, 0)
}

// expectWatch waits for the next watch and verifies its query.
func expectWatch(t *testing.T, server *testutil.Discovery, query string) {
	t.Helper()
	if got := testutil.Receive(t, server.Watches); got != query {
		t.Errorf("got a watch with query %q, want %q", got, query)
	}
}

// expectServing verifies whether the endpoint table lists an endpoint as serving.
func expectServing(t *testing.T, client *Client, id string, want bool) {
	t.Helper()
	if _, serving := client.table.LookupServing(id); serving != want {
		t.Errorf("endpoint %s: got serving %v, want %v", id, serving, want)
	}
}
