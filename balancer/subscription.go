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
	settings            *Settings
	rng                 *rand.Rand
	consecutiveFailures int // lists that could not be had, in a row
}

// handleList learns from a list and reports whether, and after which wait, to subscribe.
func (s *subscriber) handleList(kind ListKind) (delay time.Duration, ok bool) {
	hasFailed := kind.hasFailed()
	s.consecutiveFailures++
	if !hasFailed {
		s.consecutiveFailures = 0
	}
	if !s.settings.Subscribe || !hasFailed && kind != ListCached {
		return 0, false
	}
	return s.drawDelay(kind == ListRefused), true
}

// drawDelay draws a fully jittered wait. Its spread grows with the number of agents, which may all subscribe
// together, and doubles with each failure.
func (s *subscriber) drawDelay(isRefused bool) time.Duration {
	firstSpread := min(subscribeSpreadPerAgent*float64(s.settings.Agents), maxFirstSubscribeSpread)
	spread := firstSpread * math.Exp2(float64(min(s.consecutiveFailures, maxSubscribeDoublings)))
	maxDelay := s.settings.SubscribeSpread
	if isRefused { // a refusal proves that discovery could not be reached until now
		maxDelay = s.settings.RefusedSubscribeSpread
	}
	maxDelay = min(cmp.Or(maxDelay, s.settings.PollWithin), s.settings.PollWithin)
	return time.Duration(s.rng.Float64() * min(spread*float64(s.settings.PollWithin), float64(maxDelay)))
}
