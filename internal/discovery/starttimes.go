package discovery

import (
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
)

// maxListingDelay is the usual age of an endpoint when a list first reports its start, and the upper bound of listDelay.
const maxListingDelay = 2 * time.Second

// SlowStart says how endpoints warm up.
type SlowStart struct {
	Duration    time.Duration // after which an endpoint is warm
	MinCapacity float64       // share of its capacity that it starts with
}

// listingDelay is the age beyond the one that the list proves which an endpoint may be given, if this machine's clock
// agrees. Where a list comes sooner and that clock is ahead, the endpoint is estimated too old by this much; that must
// not double the capacity at which it is estimated.
//
// Capacity grows linearly from m = MinCapacity to 1 within Duration, by 1-m; it has doubled when it has grown by m.
func (s SlowStart) listingDelay() time.Duration {
	if s.MinCapacity <= 0 || s.MinCapacity >= 1 {
		return maxListingDelay
	}
	timeToDouble := s.MinCapacity / (1 - s.MinCapacity) * float64(s.Duration)
	return time.Duration(min(float64(maxListingDelay), timeToDouble))
}

// startTimes converts the start times of endpoints from Unix time to the agent's clock. It is not safe for concurrent
// use.
//
// Any wall clock may be off by any amount, and an endpoint that is estimated too old may get too much traffic before it
// is warm. The estimated age is therefore the smaller one of two: by this machine's wall clock, and by the clock of the
// endpoints, which has passed the newest start that was listed, plus listDelay. Where a complete list leaves most
// endpoints unproven, this machine's wall clock counts alone (see mostUnproven).
//
// The clock of the endpoints is treated as one clock: of the starts that are listed, the one that is furthest ahead
// tells its time.
type startTimes struct {
	clock     clock.Clock
	slowStart SlowStart
	starts    map[string]start // the last start of each endpoint, by its ID

	newestStartUnix time.Duration // the latest start that was listed, since the Unix epoch
	newestListedAt  time.Duration // when it was first listed, on the agent's clock
}

// start is one start of an endpoint.
type start struct {
	unix      time.Duration // as listed, since the Unix epoch
	startedAt time.Duration // estimated, on the agent's clock
}

func newStartTimes(agentClock clock.Clock, slowStart SlowStart) *startTimes {
	return &startTimes{clock: agentClock, slowStart: slowStart, starts: map[string]start{}}
}

// startedAt is when an endpoint started, on the agent's clock; 0: long ago.
func (s *startTimes) startedAt(endpointID string) time.Duration {
	return s.starts[endpointID].startedAt
}

// update records the start times of a list.
func (s *startTimes) update(list endpoint.List) {
	now := s.clock.Now()
	for _, entry := range list.Entries {
		s.updateNewest(entry.StartedAtUnix(), now)
	}
	wallClockOnly := list.Complete && s.isMajorityUnconfirmed(list, now)
	previous := s.starts
	if list.Complete {
		s.starts = make(map[string]start, len(list.Entries))
	} // otherwise previous is s.starts itself: each entry of a delta replaces its own start alone
	for _, entry := range list.Entries {
		unix := entry.StartedAtUnix()
		switch last, known := previous[entry.ID]; {
		case entry.State == endpoint.StateDeleted:
			delete(s.starts, entry.ID)
		case known && last.unix == unix:
			s.starts[entry.ID] = last
		case unix > 0:
			s.starts[entry.ID] = start{unix: unix, startedAt: s.estimateStart(unix, last, now, wallClockOnly)}
		}
	}
}

// updateNewest records a start if it proves that the endpoints' clock is ahead of what was known. unix is Unix time,
// now is on the agent's clock.
func (s *startTimes) updateNewest(unix, now time.Duration) {
	if unix-now > s.newestStartUnix-s.newestListedAt {
		s.newestStartUnix, s.newestListedAt = unix, now
	}
}

// minAge is the age at now, on the agent's clock, that the newest start proves for a start at Unix time.
func (s *startTimes) minAge(unix, now time.Duration) time.Duration {
	minEndpointClock := s.newestStartUnix + (now - s.newestListedAt)
	return minEndpointClock - unix
}

// isMajorityUnconfirmed reports whether a complete list can't prove that most of its endpoints are warm, since they started at
// about the same time, be it long ago. To treat all of them as cold would shed most requests during a slow start.
func (s *startTimes) isMajorityUnconfirmed(list endpoint.List, now time.Duration) bool {
	unconfirmed := 0
	for _, entry := range list.Entries {
		unix := entry.StartedAtUnix()
		if unix > 0 && s.minAge(unix, now) < s.slowStart.Duration {
			unconfirmed++
		}
	}
	return unconfirmed > len(list.Entries)-unconfirmed
}

// estimateStart returns when an endpoint started, on the agent's clock: now minus its estimated age, but later than its last
// start. unix is the start by Unix time, last the endpoint's start before it, if any; wallClockOnly leaves out the age
// that the list proves.
func (s *startTimes) estimateStart(unix time.Duration, last start, now time.Duration, wallClockOnly bool) time.Duration {
	if unix < last.unix { // some clock was set back: it started since the list before, and no one knows when
		return now
	}
	age := time.Duration(time.Now().UnixNano()) - unix
	if !wallClockOnly {
		age = min(age, s.minAge(unix, now)+s.slowStart.listingDelay())
	}
	startedAt := now - max(0, age)
	earliest := last.startedAt + 1 // by a nanosecond: the decision module tells starts apart by their times
	return min(now, max(startedAt, earliest))
}
