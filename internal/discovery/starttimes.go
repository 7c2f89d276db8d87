package discovery

import (
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
)

// startTimes converts the start times of endpoints from Unix time to the agent's clock. A wall clock may be off by any
// amount, this machine's or another one's, and an endpoint that passes for older than it is may get too much before it
// is warm. So an endpoint is taken to be as old as two clocks agree on: this machine's, and the one by which the
// endpoints themselves started, of which the list proves that it has passed the newest start. It is not safe for
// concurrent use.
type startTimes struct {
	clock clock.Clock
	known map[string]knownStart // by endpoint ID

	newest       time.Duration // the latest start by Unix time that a list has told ...
	newestSeenAt time.Duration // ... and when, on the agent's clock
}

// knownStart is the last start of an endpoint.
type knownStart struct {
	unix time.Duration // as the list tells it, since 1970
	at   time.Duration // on the agent's clock
}

func newStartTimes(agentClock clock.Clock) *startTimes {
	return &startTimes{clock: agentClock, known: map[string]knownStart{}}
}

// update takes over the start times of a list.
func (s *startTimes) update(list endpoint.List) {
	now := s.clock.Now()
	for _, entry := range list.Entries {
		s.observeNewest(entry.Started(), now)
	}
	previous := s.known
	if list.Complete {
		s.known = make(map[string]knownStart, len(list.Entries))
	}
	for _, entry := range list.Entries {
		switch start, known := previous[entry.ID]; {
		case entry.State == endpoint.StateDeleted:
			delete(s.known, entry.ID)
		case known && start.unix == entry.Started():
			s.known[entry.ID] = start
		case entry.Started() > 0:
			s.known[entry.ID] = knownStart{unix: entry.Started(), at: s.convert(entry.Started(), start, now)}
		}
	}
}

// observeNewest notes a start if it proves that the endpoints' clock is further than was known.
func (s *startTimes) observeNewest(unix, now time.Duration) {
	if unix-now > s.newest-s.newestSeenAt {
		s.newest, s.newestSeenAt = unix, now
	}
}

// convert is when an endpoint started on the agent's clock, after the start that was known of it before.
func (s *startTimes) convert(unix time.Duration, previous knownStart, now time.Duration) time.Duration {
	if unix < previous.unix { // some clock was set back: it started since the list before, and no one knows when
		return now
	}
	byList := s.newest + (now - s.newestSeenAt) - unix
	byWallClock := time.Duration(time.Now().UnixNano()) - unix
	age := max(0, min(byList, byWallClock))
	return min(now, max(now-age, previous.at+1)) // a later start has a later time
}

// of is when an endpoint started, on the agent's clock; 0: long ago.
func (s *startTimes) of(endpointID string) time.Duration { return s.known[endpointID].at }
