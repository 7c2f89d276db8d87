package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// subscribeSpreadPerAgent is the time that each agent adds to the spread (the maximum random delay) of
	// the first subscription, as a share of Settings.PollWithin. It is the time that discovery may spend on
	// one call.
	subscribeSpreadPerAgent = 1.0 / 128
	// maxFirstSubscribeSpread bounds the spread of the first subscription, as a share of Settings.PollWithin.
	maxFirstSubscribeSpread = 0.25
	// maxSubscribeDoublings is the maximum number of times that consecutive failures double the spread.
	maxSubscribeDoublings = 4
)

// subscriber decides when to subscribe to the endpoint list if Settings.Subscribe is set. The first
// subscription follows the cached list that the agent starts with.
type subscriber struct {
	settings            *Settings
	rng                 *rand.Rand
	consecutiveFailures int // consecutive failures to get a list
}

// handleList handles a list of the given kind. It reports whether to subscribe, and after which delay. With
// Settings.Subscribe, the agent subscribes after a cached list and after each failure.
func (s *subscriber) handleList(kind ListKind) (delay time.Duration, ok bool) {
	hasFailed := kind.isFailure()
	s.consecutiveFailures++
	if !hasFailed {
		s.consecutiveFailures = 0
	}
	if !s.settings.Subscribe || !hasFailed && kind != ListCached {
		return 0, false
	}
	return s.drawDelay(kind == ListRefused), true
}

// drawDelay draws a delay with full jitter. Its maximum, the spread, grows with the number of agents, which
// may all subscribe at the same time, and doubles with each consecutive failure.
func (s *subscriber) drawDelay(isRefused bool) time.Duration {
	firstSpread := min(subscribeSpreadPerAgent*float64(s.settings.Agents), maxFirstSubscribeSpread)
	spread := firstSpread * math.Exp2(float64(min(s.consecutiveFailures, maxSubscribeDoublings)))
	maxDelay := s.settings.SubscribeSpread
	if isRefused { // a refusal means that discovery was unreachable until now
		maxDelay = s.settings.RefusedSubscribeSpread
	}
	maxDelay = min(cmp.Or(maxDelay, s.settings.PollWithin), s.settings.PollWithin)
	return time.Duration(s.rng.Float64() * min(spread*float64(s.settings.PollWithin), float64(maxDelay)))
}
