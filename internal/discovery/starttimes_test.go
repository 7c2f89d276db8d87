package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

// startedEntry is an entry of an endpoint that started at a Unix time in milliseconds.
func startedEntry(id string, unixMs int64) string {
	startedMs := fmt.Sprintf(`"started_ms":%d`, unixMs)
	return strings.Replace(entryJSON(id, endpoint.StateServing), `"started_ms":0`, startedMs, 1)
}

// unixMsAfter is the wall clock's time after a while.
func unixMsAfter(after time.Duration) int64 { return time.Now().Add(after).UnixMilli() }

// startedAtOf returns the start of an endpoint by an event.
func startedAtOf(t *testing.T, event balancer.EndpointList, id string) time.Duration {
	t.Helper()
	for _, ep := range event.Endpoints {
		if ep.ID == id {
			return ep.StartedAt
		}
	}
	t.Fatalf("no endpoint %s in %+v", id, event)
	return 0
}

// The wall clock of this machine or of others may be off by seconds or an hour, either way. An endpoint is
// estimated as old as the list itself proves, and never as starting in the future.
func TestStartTimesWithWrongWallClock(t *testing.T) {
	offsets := []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, 30 * time.Second, time.Hour}
	for _, offset := range offsets {
		t.Run(offset.String(), func(t *testing.T) {
			newest := unixMsAfter(offset)
			config := testutil.Config(t, "127.0.0.1:1", startedEntry("newest", newest),
				startedEntry("older", newest-3000), entryJSON("old", endpoint.StateServing),
				entryJSON("old too", endpoint.StateServing))
			options, _ := newOptions(t, config)
			before := options.Clock.Now()
			event := New(options).CachedList()
			after := options.Clock.Now()
			earliest := before - options.SlowStart.listingDelay()
			if at := startedAtOf(t, event, "newest"); at < earliest || at > after {
				t.Errorf("the newest started %v before now", after-at)
			}
			if at := startedAtOf(t, event, "older"); at < earliest-3*time.Second || at > after {
				t.Errorf("one that is 3 s older started %v before now", after-at)
			}
			if at := startedAtOf(t, event, "old"); at != 0 {
				t.Errorf("one that started long ago started at %v", at)
			}
		})
	}
}

// A start that a watch brings counts from then on, whatever the clocks say, also where they were set back since the
// endpoint's last start. It keeps its time when it is listed again.
func TestStartTimesOfChanges(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			server := testutil.NewDiscovery(t)
			client, events := newSubscribedClient(t, server, testutil.Timeout)
			server.Lines <- deltaListJSON(2, startedEntry("s0", unixMsAfter(-time.Minute)))
			first := startedAtOf(t, expectEvent(t, events, balancer.ListDelta, 1), "s0")
			before := client.converter.starts.clock.Now()
			restarted := startedEntry("s0", unixMsAfter(offset))
			server.Lines <- deltaListJSON(3, restarted)
			second := startedAtOf(t, expectEvent(t, events, balancer.ListDelta, 1), "s0")
			if second <= first || second > client.converter.starts.clock.Now() {
				t.Errorf("started at %v, restarted at %v", first, second)
			}
			if offset < 0 && second < before {
				t.Errorf("restarted %v before it was listed", before-second)
			}
			server.Lines <- completeListJSON(4, restarted)
			if again := startedAtOf(t, expectEvent(t, events, balancer.ListComplete, 1), "s0"); again != second {
				t.Errorf("restarted at %v, and at %v when it was listed again", second, again)
			}
		})
	}
}

// Endpoints that all started at about the same time, long ago by this machine's clock, are not all treated as cold.
func TestStartTimesAfterFleetRestart(t *testing.T) {
	var entries []string
	for i := range 10 {
		entries = append(entries, startedEntry(fmt.Sprint("s", i), unixMsAfter(-time.Hour)+int64(i)))
	}
	options, _ := newOptions(t, testutil.Config(t, "127.0.0.1:1", entries...))
	event := New(options).CachedList()
	for _, ep := range event.Endpoints {
		if age := options.Clock.Now() - ep.StartedAt; age < time.Minute {
			t.Errorf("%s started %v ago", ep.ID, age)
		}
	}
}

// The assumed delay of lists must not double the capacity at which an endpoint is estimated.
func TestListingDelay(t *testing.T) {
	for _, test := range []struct {
		slowStart SlowStart
		want      time.Duration
	}{
		{SlowStart{Duration: 8600 * time.Millisecond, MinCapacity: 0.32}, maxListingDelay},
		{SlowStart{Duration: 9 * time.Second, MinCapacity: 0.1}, time.Second},
		{SlowStart{Duration: time.Second, MinCapacity: 0.5}, time.Second},
		{SlowStart{}, maxListingDelay},
		{SlowStart{Duration: time.Second, MinCapacity: 1}, maxListingDelay},
	} {
		if got := test.slowStart.listingDelay(); got != test.want {
			t.Errorf("%+v: %v, want %v", test.slowStart, got, test.want)
		}
	}
}
