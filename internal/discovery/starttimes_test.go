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

// startedEntry returns the entry of an endpoint that started at a Unix time in milliseconds.
func startedEntry(id string, unixMs int64) string {
	startedMs := fmt.Sprintf(`"started_ms":%d`, unixMs)
	return strings.Replace(entryJSON(id, endpoint.StateServing), `"started_ms":0`, startedMs, 1)
}

// unixMsAfter returns the wall clock time plus a duration, as Unix time in milliseconds.
func unixMsAfter(after time.Duration) int64 { return time.Now().Add(after).UnixMilli() }

// startedAtOf returns the start time of an endpoint in an event.
func startedAtOf(t *testing.T, event balancer.EndpointList, id string) time.Duration {
	t.Helper()
	for _, ep := range event.Endpoints {
		if ep.ID == id {
			return ep.StartedAt
		}
	}
	t.Fatalf("endpoint %s not found in event %+v", id, event)
	return 0
}

// The wall clocks of this machine and of the endpoints may differ by seconds or an hour, in either direction. The age
// of an endpoint must not be estimated above its minimum age plus the listing delay, and its start must not be in the
// future.
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
				t.Errorf("newest endpoint: got a start %v ago, want within the listing delay", after-at)
			}
			if at := startedAtOf(t, event, "older"); at < earliest-3*time.Second || at > after {
				t.Errorf("endpoint 3 s older: got a start %v ago, want within 3 s plus the listing delay", after-at)
			}
			if at := startedAtOf(t, event, "old"); at != 0 {
				t.Errorf("endpoint without a start time: got start %v, want 0", at)
			}
		})
	}
}

// A restart that is listed on a watch must be estimated after the previous start of the endpoint and not in the future,
// whatever the wall clocks say, even if they were set back since the previous start. The estimate must not change when
// the same start is listed again.
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
				t.Errorf("got start %v and restart %v, want the restart later and not in the future", first, second)
			}
			if offset < 0 && second < before {
				t.Errorf("clock set back: got a restart %v before its listing, want not before", before-second)
			}
			server.Lines <- completeListJSON(4, restarted)
			if again := startedAtOf(t, expectEvent(t, events, balancer.ListComplete, 1), "s0"); again != second {
				t.Errorf("want restart %v, got %v when it was listed again", second, again)
			}
		})
	}
}

// If all endpoints started at about the same time, the minimum age of each is near 0. If they started long ago by the
// wall clock of this machine, they must not all be treated as cold, or most requests would be shed.
func TestStartTimesAfterFleetRestart(t *testing.T) {
	var entries []string
	for i := range 10 {
		entries = append(entries, startedEntry(fmt.Sprint("s", i), unixMsAfter(-time.Hour)+int64(i)))
	}
	options, _ := newOptions(t, testutil.Config(t, "127.0.0.1:1", entries...))
	event := New(options).CachedList()
	for _, ep := range event.Endpoints {
		if age := options.Clock.Now() - ep.StartedAt; age < time.Minute {
			t.Errorf("endpoint %s: got age %v, want at least 1 min", ep.ID, age)
		}
	}
}

// An error of the estimated age by the listing delay must at most double the estimated capacity of an endpoint.
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
			t.Errorf("%+v: got listing delay %v, want %v", test.slowStart, got, test.want)
		}
	}
}
