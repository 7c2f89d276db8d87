package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// subscribeSpreadPerAgent is the spread of the first subscription for each agent, as a share of
	// Settings.PollWithin: what one call may take of discovery's capacity.
	subscribeSpreadPerAgent = 1.0 / 128
	// maxFirstSubscribeSpread bounds the spread of the first subscription, as a share of Settings.PollWithin.
	maxFirstSubscribeSpread = 0.25
	// maxSubscribeDoublings bounds the growth of the spread with each failure.
	maxSubscribeDoublings = 4
)

// subscriber decides when to subscribe, where the endpoint list has to be subscribed to. The first time is
// after the cached list that the agent starts with.
type subscriber struct {
	settings *Settings
	rng      *rand.Rand
	failures int // lists that could not be had, in a row
}

// next learns from a list and reports whether, and after which wait, to subscribe.
func (s *subscriber) next(kind ListKind) (wait time.Duration, ok bool) {
	failed := kind.isFailure()
	s.failures++
	if !failed {
		s.failures = 0
	}
	if !s.settings.Subscribe || !failed && kind != ListCached {
		return 0, false
	}
	return s.drawWait(kind == ListRefused), true
}

// drawWait draws a fully jittered wait. Its spread grows with the number of agents, which may all subscribe
// together, and doubles with each failure.
func (s *subscriber) drawWait(refused bool) time.Duration {
	firstSpread := min(subscribeSpreadPerAgent*float64(s.settings.Agents), maxFirstSubscribeSpread)
	spread := firstSpread * math.Exp2(float64(min(s.failures, maxSubscribeDoublings)))
	longest := s.settings.SubscribeSpread
	if refused { // a refusal proves that discovery could not be reached until now
		longest = s.settings.RefusedSubscribeSpread
	}
	longest = min(cmp.Or(longest, s.settings.PollWithin), s.settings.PollWithin)
	return time.Duration(s.rng.Float64() * min(spread*float64(s.settings.PollWithin), float64(longest)))
}
