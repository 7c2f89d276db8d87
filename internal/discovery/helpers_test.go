package discovery

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

// newOptions returns the options of a client with a configuration, and the channel that its events come out of.
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
		SlowStart:          SlowStart{Duration: c.Settings.SlowStartDuration, MinCapacity: c.Settings.SlowStartMinCapacity},
	}, events
}

// newClient returns a client whose discovery does not answer, and its settings. subscribe: the decision module decides
// when to watch.
func newClient(t *testing.T, subscribe bool) (*Client, balancer.Settings) {
	t.Helper()
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = subscribe
	options, _ := newOptions(t, c)
	return New(options), c.Settings
}

// newSubscribedClient returns a client that has the endpoints s0 and s1, by version 1, in its cached list and has begun to watch
// discovery. silence is the timeout of its watches and calls.
func newSubscribedClient(t *testing.T, server *testutil.Discovery,
	timeout time.Duration) (*Client, chan balancer.EndpointList) {
	t.Helper()
	options, events := newOptions(t, testutil.Config(t, server.Addr, entryJSON("s0", "SERVING"), entryJSON("s1", "SERVING")))
	options.IdleTimeout, options.CallTimeout = timeout, timeout
	client := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	client.Subscribe(ctx)
	return client, events
}

// entryJSON is one entryJSON of a list, as discovery writes it.
func entryJSON(id string, state endpoint.State) string {
	return testutil.EntryJSON(id, "127.0.0.1:1", string(state))
}

// completeListJSON is a list with all entries, as discovery writes it.
func completeListJSON(version int, entries ...string) string { return listJSON(version, true, entries) }

// deltaListJSON is a list with the entries that changed, as discovery writes it.
func deltaListJSON(version int, entries ...string) string { return listJSON(version, false, entries) }

func listJSON(version int, complete bool, entries []string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, complete, strings.Join(entries, ","))
}

// expectEvent checks the kind of the next event and the number of its entries.
func expectEvent(t *testing.T, events <-chan balancer.EndpointList, kind balancer.ListKind,
	entries int) balancer.EndpointList {
	t.Helper()
	event := testutil.Receive(t, events)
	if event.Kind != kind || len(event.Endpoints) != entries {
		t.Errorf("event %+v, want kind %d with %d entries", event, kind, entries)
	}
	return event
}

func expectFailure(t *testing.T, events <-chan balancer.EndpointList) {
	t.Helper()
	expectEvent(t, events, balancer.ListFailed, 0)
}

// expectWatch checks the query of the next watch.
func expectWatch(t *testing.T, server *testutil.Discovery, query string) {
	t.Helper()
	if got := testutil.Receive(t, server.Watches); got != query {
		t.Errorf("watched with %q, want %q", got, query)
	}
}

// expectServing checks whether attempts may go to an endpoint.
func expectServing(t *testing.T, client *Client, id string, want bool) {
	t.Helper()
	if _, serving := client.table.LookupServing(id); serving != want {
		t.Errorf("endpoint %s: serving %v, want %v", id, serving, want)
	}
}
