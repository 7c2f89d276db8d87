package balancer

import (
	"math"
	"time"
)

const (
	targetRatio = 0.35 // mean latency, as a share of the aim, above which less is kept in flight: less
	// refuses uneven work without need, more lets crowded servers slow down
	targetRise = 3.0 // and above so many times its low: servers may slow down when crowded
	// but never below this: so far within the aim a delay harms nobody, and idle cores do
	targetFloor = 0.15
	// one answer counts at most as so many times the usual latency, or two aimed floors
	maxRatioSample = 4.0
	unlimitedBelow = 0.6 // part of the least limit, in attempts, below which an agent has no such limit
	// requests sent for each answered in time: more wastes work on late answers ...
	throttleRatio       = 1.3
	throttleAllowance   = 4.0  // ... beyond the first few
	trafficWindow       = 20.0 // aims over which both are counted
	limitDecrease       = 0.9  // one cut of the in-flight limit
	limitIncrease       = 0.7  // and its growth, in attempts per backend for each round of answers
	minLimitPerEndpoint = 4.0  // where it starts, for all agents together per backend, and the least it
	// falls to: less would leave cores idle, and a start with more would crowd servers at once
)

// adjustLimit moves the limit on attempts in flight by the latency seen, as a share of the objective: down
// when the running mean passes the target, up while the limit binds.
func (b *Balancer) adjustLimit(share float64) {
	// The first few responses set the usual latency.
	if b.latencySamples++; b.latencySamples <= 1/smoothing {
		b.latencyRatio += (min(share, 2) - b.latencyRatio) / b.latencySamples
		b.baseLatencyRatio = b.latencyRatio
		return
	}
	// The mean spans what is in flight at once, so that chance alone does not cut the limit.
	weight := min(smoothing, 1/b.inFlightLimit())
	b.latencyRatio += weight * (min(share, max(maxRatioSample*b.baseLatencyRatio, 2*targetFloor),
		2) - b.latencyRatio)
	low := b.latencyRatio - b.baseLatencyRatio
	if low > 0 {
		low /= 100 // the low rises a hundred times slower than it falls
	}
	b.baseLatencyRatio += weight * smoothing * low
	aimed := min(targetRatio, max(targetRise*b.baseLatencyRatio, targetFloor))
	switch {
	case b.latencyRatio > aimed && b.now-b.limitCutAt > time.Duration(b.classes[0].meanLatency):
		b.limitPerEndpoint = max(minLimitPerEndpoint, b.limitPerEndpoint*limitDecrease)
		b.limitCutAt = b.now
	case b.latencyRatio < aimed && float64(b.inFlight-b.stalled)+1 >= b.inFlightLimit()*0.9:
		b.limitPerEndpoint += limitIncrease / b.inFlightLimit()
	}
}

// inFlightLimit is what this agent may have in flight now: its part, by head count, of the limit per endpoint
// times the capacity. There is none where that part is well under one attempt; the throttle acts there.
func (b *Balancer) inFlightLimit() float64 {
	if b.minLimitBelow(unlimitedBelow) {
		return math.Inf(1)
	}
	return max(1, b.limitPerEndpoint*b.capacity/float64(b.settings.Agents))
}

// isThrottled reports whether too few of the requests sent lately were answered within their objective.
func (b *Balancer) isThrottled() bool {
	return b.minLimitBelow(1) && b.sentRecently >= throttleRatio*b.onTimeRecently+throttleAllowance
}

// sparse reports whether an agent's part of the least limit is under so many attempts.
func (b *Balancer) minLimitBelow(part float64) bool {
	return minLimitPerEndpoint*float64(b.serving) < part*float64(b.settings.Agents)
}
