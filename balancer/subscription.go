package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// pollSpreadPerAgent is what one poll may take of discovery's capacity, as a share of
	// Settings.PollWithin.
	pollSpreadPerAgent = 1.0 / 128
	// maxFirstPollSpread bounds the spread of the first poll, as a share of Settings.PollWithin.
	maxFirstPollSpread = 0.25
	// maxPollDoublings bounds the growth of the spread with each failure.
	maxPollDoublings = 4
)

// subscriber decides when to subscribe again, where the endpoint list has to be subscribed to.
type subscriber struct {
	settings *Settings
	rng      *rand.Rand
	failures int // lists that could not be had, in a row
}

// observe learns from a list and reports whether, and after which wait, to subscribe again.
func (s *subscriber) observe(kind ListKind) (wait time.Duration, ok bool) {
	failed := kind.hasFailed()
	s.failures++
	if !failed {
		s.failures = 0
	}
	if !s.settings.Subscribe || !failed && kind != ListCached {
		return 0, false
	}
	return s.drawWait(kind == ListRefused), true
}

// drawWait draws a fully jittered wait. Its spread grows with the number of agents, which may all poll
// together, and doubles with each failure.
func (s *subscriber) drawWait(refused bool) time.Duration {
	firstSpread := min(pollSpreadPerAgent*float64(s.settings.Agents), maxFirstPollSpread)
	spread := firstSpread * math.Exp2(float64(min(s.failures, maxPollDoublings)))
	longest := s.settings.PollSpread
	if refused { // a refusal proves that discovery could not be reached until now
		longest = s.settings.RefusedPollSpread
	}
	longest = min(cmp.Or(longest, s.settings.PollWithin), s.settings.PollWithin)
	return time.Duration(s.rng.Float64() * min(spread*float64(s.settings.PollWithin), float64(longest)))
}

// hasFailed reports whether a list of this kind carries no endpoints: the one before holds.
func (k ListKind) hasFailed() bool { return k == ListFailed || k == ListRefused }
