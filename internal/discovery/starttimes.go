package discovery

import (
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
)

// maxListingDelay is the upper bound of SlowStart.listingDelay. Endpoints are usually of about this age when their
// start is first listed.
const maxListingDelay = 2 * time.Second

// SlowStart describes how the capacity of an endpoint grows after its start.
type SlowStart struct {
	Duration    time.Duration // time from the start of an endpoint until it has its full capacity
	MinCapacity float64       // capacity at the start, as a fraction of the full capacity
}

// listingDelay returns the assumed time between the start of an endpoint and its first listing. estimateStart adds it
// to the minimum age of the endpoint, but limits the sum to the age by the wall clock of this machine. If the endpoint
// is listed sooner and that clock is ahead, the estimated age is too high by up to this delay. The delay is limited so
// that this error at most doubles the estimated capacity.
//
// Capacity grows linearly from m = MinCapacity to 1 within Duration, that is by 1-m. It has doubled when it has grown
// by m, which takes m/(1-m) of Duration.
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
// The wall clocks of this machine and of the endpoints may be wrong by any amount, and an endpoint whose age is
// overestimated may get too much traffic before it is warm. The estimated age is therefore the minimum of two ages:
//
//   - the age by the wall clock of this machine;
//   - the minimum age that follows from the reference start (see minAge), plus SlowStart.listingDelay.
//
// The second age is not used for a complete list in which most endpoints are cold by their minimum age (see
// isMajorityColdByMinAge).
//
// All endpoints are assumed to share one clock. The reference start is the listed start that was furthest ahead of the
// agent's clock when it was listed. The shared clock shows at least that start plus the time since its listing.
type startTimes struct {
	clock     clock.Clock
	slowStart SlowStart
	starts    map[string]start // latest listed start of each endpoint that has one, by endpoint ID

	referenceStartUnix time.Duration // reference start, as time since the Unix epoch; 0 before the first listed start
	referenceListedAt  time.Duration // time of the reference start's listing, on the agent's clock
}

// start is a start of an endpoint.
type start struct {
	unix      time.Duration // listed start, as time since the Unix epoch
	startedAt time.Duration // estimated start, on the agent's clock
}

func newStartTimes(agentClock clock.Clock, slowStart SlowStart) *startTimes {
	return &startTimes{clock: agentClock, slowStart: slowStart, starts: map[string]start{}}
}

// startedAt returns the estimated start of an endpoint on the agent's clock. 0 means long ago.
func (s *startTimes) startedAt(endpointID string) time.Duration {
	return s.starts[endpointID].startedAt
}

// update records the start times of a list.
func (s *startTimes) update(list endpoint.List) {
	now := s.clock.Now()
	for _, entry := range list.Entries {
		s.updateReference(entry.StartedAtUnix(), now)
	}
	wallClockOnly := list.Complete && s.isMajorityColdByMinAge(list, now)
	previousStarts := s.starts
	if list.Complete {
		s.starts = make(map[string]start, len(list.Entries))
	} // otherwise previousStarts is s.starts itself, since an entry of a delta replaces only its own start
	for _, entry := range list.Entries {
		unix := entry.StartedAtUnix()
		switch previous, known := previousStarts[entry.ID]; {
		case entry.State == endpoint.StateDeleted:
			delete(s.starts, entry.ID)
		case known && previous.unix == unix:
			s.starts[entry.ID] = previous
		case unix > 0:
			s.starts[entry.ID] = start{unix: unix, startedAt: s.estimateStart(unix, previous, now, wallClockOnly)}
		}
	}
}

// updateReference records a listed start as the reference start if it raises the lower bound of the endpoints' shared
// clock. unix is Unix time, now is on the agent's clock.
func (s *startTimes) updateReference(unix, now time.Duration) {
	if unix-now > s.referenceStartUnix-s.referenceListedAt {
		s.referenceStartUnix, s.referenceListedAt = unix, now
	}
}

// minAge returns the minimum age of an endpoint that started at unix, given the lower bound of the endpoints' shared
// clock: the reference start plus the time since its listing. unix is Unix time, now is on the agent's clock.
func (s *startTimes) minAge(unix, now time.Duration) time.Duration {
	minEndpointClock := s.referenceStartUnix + (now - s.referenceListedAt)
	return minEndpointClock - unix
}

// isMajorityColdByMinAge reports whether the minimum age of most endpoints of a complete list is below the slow start
// duration. This is so if they started at about the same time, even long ago: when they are first listed, the newest of
// their starts is the reference start, so their minimum ages are only the differences from it. Treating them all as
// cold would shed most requests for the duration of a slow start.
func (s *startTimes) isMajorityColdByMinAge(list endpoint.List, now time.Duration) bool {
	cold := 0
	for _, entry := range list.Entries {
		unix := entry.StartedAtUnix()
		if unix > 0 && s.minAge(unix, now) < s.slowStart.Duration {
			cold++
		}
	}
	return cold > len(list.Entries)-cold
}

// estimateStart returns the estimated start of an endpoint on the agent's clock: now minus its estimated age, but after
// its previous start and not in the future. unix is the listed start in Unix time. previous is the previous start of
// the endpoint, or the zero value if none was listed. If wallClockOnly is set, the estimated age is the age by the wall
// clock of this machine, without the minimum age.
func (s *startTimes) estimateStart(unix time.Duration, previous start, now time.Duration,
	wallClockOnly bool) time.Duration {
	if unix < previous.unix { // a clock was set back, and the restart was at an unknown time after the previous list
		return now
	}
	age := time.Duration(time.Now().UnixNano()) - unix
	if !wallClockOnly {
		age = min(age, s.minAge(unix, now)+s.slowStart.listingDelay())
	}
	startedAt := now - max(0, age)
	earliest := previous.startedAt + 1 // 1 ns later, since the decision module distinguishes starts by their times
	return min(now, max(startedAt, earliest))
}
