package balancer

import (
	"math"
	"time"
)

const (
	// minLimitPerEndpoint is the least, and the first, limit for an endpoint: attempts in flight of all
	// agents.
	minLimitPerEndpoint = 4.0
	// minLimitedShare is the number of attempts: an agent whose part of the least limit is under it has no
	// limit.
	minLimitedShare = 0.6
	// limitDecreaseFactor multiplies the limit at each decrease.
	limitDecreaseFactor = 0.9
	// limitIncrease is added to the limit for an endpoint, in attempts, over one round of responses.
	limitIncrease = 0.7
	// minUtilizationToGrow is the share of the limit that must be in flight for the limit to grow.
	minUtilizationToGrow = 0.9

	// maxTargetRatio is the objective ratio above which the limit falls in any case.
	maxTargetRatio = 0.35
	// minTargetRatio is the objective ratio up to which the limit never falls: it is low enough.
	minTargetRatio = 0.15
	// targetOverBaseline is the multiple of the baseline ratio above which the limit falls, where that lies
	// between minTargetRatio and maxTargetRatio.
	targetOverBaseline = 3.0

	// failedAttemptRatio is the objective ratio of an attempt that was shed by its endpoint, and the least one of
	// an attempt without a response.
	failedAttemptRatio = 1.0
	// maxRatioSample is the largest objective ratio that one response counts with.
	maxRatioSample = 2.0
	// maxSampleOverBaseline bounds the objective ratio of one response to a multiple of the baseline ratio.
	maxSampleOverBaseline = 4.0
	// minSampleBound is the least bound that follows from maxSampleOverBaseline.
	minSampleBound = 2 * minTargetRatio
	// initialRatioSamples is the number of responses that set the baseline before the limit is adjusted.
	initialRatioSamples = 1 / smoothing
	// baselineRiseDivisor is how many times slower the baseline rises than it falls.
	baselineRiseDivisor = 100
)

// concurrencyLimiter is the adaptive limit on attempts in flight: additive increase while it binds and
// latencies are low, multiplicative decrease when they are high. An objective ratio is a latency over the
// objective.
//
// All agents keep a limit for an endpoint, and each agent takes its part of it by head count, since agents
// share nothing.
type concurrencyLimiter struct {
	agents        float64
	perEndpoint   float64 // attempts in flight, of all agents together
	meanRatio     float64 // mean objective ratio
	baselineRatio float64 // meanRatio without queueing: follows it slowly down and far more slowly up
	samples       float64 // objective ratios observed
	decreasedAt   time.Duration
}

func newConcurrencyLimiter(agents int) concurrencyLimiter {
	return concurrencyLimiter{agents: float64(agents), perEndpoint: minLimitPerEndpoint}
}

// limit is this agent's part of the limit, in attempts. It is infinite where the part is so small that
// requests would queue behind any slow one; the throttle acts instead.
func (l *concurrencyLimiter) limit(fleet fleetSummary) float64 {
	if l.isUnlimited(fleet) {
		return math.Inf(1)
	}
	return max(1, l.perEndpoint*fleet.capacity/l.agents)
}

// isUnlimited reports whether this agent's part of the least limit is so small that it has no limit.
func (l *concurrencyLimiter) isUnlimited(fleet fleetSummary) bool {
	return l.isMinLimitBelow(minLimitedShare, fleet)
}

// endpointLimitShare is a multiple of this agent's part of the limit for one endpoint, in attempts. The
// multiple is multiplied first, which keeps the rounding.
func (l *concurrencyLimiter) endpointLimitShare(multiple float64) float64 {
	return multiple * l.perEndpoint / l.agents
}

// isMinLimitBelow reports whether this agent's part of the least limit is under a number of attempts.
func (l *concurrencyLimiter) isMinLimitBelow(attempts float64, fleet fleetSummary) bool {
	return minLimitPerEndpoint*float64(fleet.serving) < attempts*l.agents
}

// update adjusts the limit by the objective ratio of a response, or of an attempt that had none.
// activeInFlight does not count the attempt that has just ended. Without a limit the ratios stay, but the
// limit may still fall.
func (l *concurrencyLimiter) update(
	now, minDecreaseInterval time.Duration, ratio, activeInFlight float64, fleet fleetSummary,
) {
	l.samples++
	if l.samples <= initialRatioSamples {
		l.meanRatio += (min(ratio, maxRatioSample) - l.meanRatio) / l.samples
		l.baselineRatio = l.meanRatio
		return
	}
	limit := l.limit(fleet)
	l.updateRatios(ratio, limit)
	target := min(maxTargetRatio, max(targetOverBaseline*l.baselineRatio, minTargetRatio))
	switch {
	case l.meanRatio > target && now-l.decreasedAt > minDecreaseInterval:
		l.perEndpoint = max(minLimitPerEndpoint, l.perEndpoint*limitDecreaseFactor)
		l.decreasedAt = now
	case l.meanRatio < target && activeInFlight+1 >= limit*minUtilizationToGrow:
		l.perEndpoint += limitIncrease / limit
	}
}

// updateRatios moves the mean and the baseline. The mean spans what is in flight at once, since one heavy
// request says only that it was heavy.
func (l *concurrencyLimiter) updateRatios(ratio, limit float64) {
	weight := min(smoothing, 1/limit)
	bound := max(maxSampleOverBaseline*l.baselineRatio, minSampleBound)
	l.meanRatio += weight * (min(ratio, bound, maxRatioSample) - l.meanRatio)
	change := l.meanRatio - l.baselineRatio
	if change > 0 {
		change /= baselineRiseDivisor
	}
	l.baselineRatio += weight * smoothing * change
}
