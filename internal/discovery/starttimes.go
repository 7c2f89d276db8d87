package discovery

import (
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
)

// usualListDelay is how late lists tell of a start, so that the endpoint is that old by then: they come seconds late.
const usualListDelay = 2 * time.Second

// SlowStart says how endpoints warm up.
type SlowStart struct {
	Duration    time.Duration // after which an endpoint is warm
	MinCapacity float64       // share of its capacity that it starts with
}

// listDelay is how much older than a list proves an endpoint is taken to be, if this machine's clock agrees. Where a list
// comes sooner and that clock is ahead, the endpoint passes for too old by this much: that must not double the share of
// its capacity that it is taken to have.
func (s SlowStart) listDelay() time.Duration {
	if s.MinCapacity <= 0 || s.MinCapacity >= 1 {
		return usualListDelay
	}
	doubled := s.MinCapacity / (1 - s.MinCapacity) * float64(s.Duration)
	return time.Duration(min(float64(usualListDelay), doubled))
}

// startTimes converts the start times of endpoints from Unix time to the agent's clock. A wall clock may be off by any
// amount, this machine's or another one's, and an endpoint that passes for older than it is may get too much before it
// is warm. So an endpoint is taken to be as old as two clocks agree on: this machine's, and the one by which the
// endpoints themselves started, of which the list proves that it has passed the newest start. It is not safe for
// concurrent use.
type startTimes struct {
	clock     clock.Clock
	slowStart SlowStart
	known     map[string]knownStart // by endpoint ID

	newest       time.Duration // the latest start by Unix time that a list has told ...
	newestSeenAt time.Duration // ... and when, on the agent's clock
}

// knownStart is the last start of an endpoint.
type knownStart struct {
	unix time.Duration // as the list tells it, since 1970
	at   time.Duration // on the agent's clock
}

func newStartTimes(agentClock clock.Clock, slowStart SlowStart) *startTimes {
	return &startTimes{clock: agentClock, slowStart: slowStart, known: map[string]knownStart{}}
}

// update takes over the start times of a list.
func (s *startTimes) update(list endpoint.List) {
	now := s.clock.Now()
	for _, entry := range list.Entries {
		s.observeNewest(entry.StartedAtUnix(), now)
	}
	wallClockAlone := list.Complete && s.provesLittle(list, now)
	previous := s.known
	if list.Complete {
		s.known = make(map[string]knownStart, len(list.Entries))
	}
	for _, entry := range list.Entries {
		switch start, known := previous[entry.ID]; {
		case entry.State == endpoint.StateDeleted:
			delete(s.known, entry.ID)
		case known && start.unix == entry.StartedAtUnix():
			s.known[entry.ID] = start
		case entry.StartedAtUnix() > 0:
			s.known[entry.ID] = knownStart{unix: entry.StartedAtUnix(), at: s.convert(entry.StartedAtUnix(), start, now, wallClockAlone)}
		}
	}
}

// observeNewest notes a start if it proves that the endpoints' clock is further than was known.
func (s *startTimes) observeNewest(unix, now time.Duration) {
	if unix-now > s.newest-s.newestSeenAt {
		s.newest, s.newestSeenAt = unix, now
	}
}

// provesLittle reports whether a complete list can't tell that most of its endpoints are warm, since they started at about
// the same time, be it long ago. To take them all for cold would shed most requests for the time of a slow start.
func (s *startTimes) provesLittle(list endpoint.List, now time.Duration) bool {
	unproven := 0
	for _, entry := range list.Entries {
		if entry.StartedAtUnix() > 0 && s.ageByList(entry.StartedAtUnix(), now) < s.slowStart.Duration {
			unproven++
		}
	}
	return 2*unproven > len(list.Entries)
}

// ageByList is the age that the newest start proves.
func (s *startTimes) ageByList(unix, now time.Duration) time.Duration {
	return s.newest + (now - s.newestSeenAt) - unix
}

// convert is when an endpoint started on the agent's clock, after the start that was known of it before.
func (s *startTimes) convert(unix time.Duration, previous knownStart, now time.Duration,
	wallClockAlone bool) time.Duration {
	if unix < previous.unix { // some clock was set back: it started since the list before, and no one knows when
		return now
	}
	age := time.Duration(time.Now().UnixNano()) - unix
	if !wallClockAlone {
		age = min(age, s.ageByList(unix, now)+s.slowStart.listDelay())
	}
	return min(now, max(now-max(0, age), previous.at+1)) // a later start has a later time
}

// of is when an endpoint started, on the agent's clock; 0: long ago.
func (s *startTimes) of(endpointID string) time.Duration { return s.known[endpointID].at }
