package balancer

import (
	"math"
	"time"
)

const (
	// minLimitPerEndpoint is the minimum and the initial limit per endpoint, in attempts in flight of all
	// agents together.
	minLimitPerEndpoint = 4.0
	// minLimitedShare is the minimum share of the minimum limit, in attempts, with which an agent is
	// limited. An agent with a smaller share has no limit.
	minLimitedShare = 0.6
	// limitDecreaseFactor is the factor by which each decrease multiplies the limit.
	limitDecreaseFactor = 0.9
	// limitIncrease is the increase of the limit per endpoint, in attempts, over one round of responses.
	limitIncrease = 0.7
	// minUtilizationToIncrease is the share of the limit that must be in flight for the limit to increase.
	minUtilizationToIncrease = 0.9

	// maxTargetRatio is the objective ratio above which the limit always decreases.
	maxTargetRatio = 0.35
	// minTargetRatio is the objective ratio up to which the limit never decreases: such a latency is low
	// enough.
	minTargetRatio = 0.15
	// targetOverBaseline is the multiple of the baseline ratio above which the limit decreases, if this
	// multiple is between minTargetRatio and maxTargetRatio.
	targetOverBaseline = 3.0

	// failedAttemptRatio is the objective ratio that counts for an attempt that its endpoint shed. It is the
	// minimum for an attempt that timed out.
	failedAttemptRatio = 1.0
	// maxRatioSample is the maximum objective ratio that counts for one attempt.
	maxRatioSample = 2.0
	// maxSampleOverBaseline is a second bound on the objective ratio of one attempt, as a multiple of the
	// baseline ratio. The lower of the two bounds applies.
	maxSampleOverBaseline = 4.0
	// minSampleBound is the minimum of that second bound. It applies while the baseline ratio is low.
	minSampleBound = 2 * minTargetRatio
	// initialRatioSamples is the number of attempts whose mean is the first baseline. The limit is adjusted
	// only after them.
	initialRatioSamples = 1 / smoothing
	// baselineRiseDivisor is the factor by which the baseline rises more slowly than it falls.
	baselineRiseDivisor = 100
)

// concurrencyLimiter is the adaptive limit on attempts in flight. The limit increases additively while it is
// nearly used up and latencies are low, and decreases multiplicatively while latencies are high. Latencies
// are compared as objective ratios: latency divided by objective.
//
// Agents exchange no data. Each agent keeps a limit per endpoint for the attempts of all agents, and uses an
// equal share of it.
type concurrencyLimiter struct {
	agents        float64       // number of agents
	perEndpoint   float64       // limit per endpoint, in attempts in flight of all agents together
	meanRatio     float64       // moving average of the objective ratio
	baselineRatio float64       // estimate of meanRatio without queueing: falls slowly, rises far more slowly
	sampleCount   float64       // number of objective ratios so far
	decreasedAt   time.Duration // time of the latest decrease; 0: none
}

func newConcurrencyLimiter(agents int) concurrencyLimiter {
	return concurrencyLimiter{agents: float64(agents), perEndpoint: minLimitPerEndpoint}
}

// limit returns this agent's share of the limit, in attempts, and at least 1. It is infinite if the share of
// the minimum limit is so small that requests would queue behind any slow one. Then the throttle acts
// instead.
func (l *concurrencyLimiter) limit(fleet fleetSummary) float64 {
	if l.isUnlimited(fleet) {
		return math.Inf(1)
	}
	return max(1, l.perEndpoint*fleet.capacity/l.agents)
}

// isUnlimited reports whether this agent has no limit because its share of the minimum limit is too small.
func (l *concurrencyLimiter) isUnlimited(fleet fleetSummary) bool {
	return l.isMinLimitBelow(minLimitedShare, fleet)
}

// endpointLimitShare returns this agent's share of the limit per endpoint, times multiple, in attempts. The
// multiplication comes before the division: the other order rounds differently.
func (l *concurrencyLimiter) endpointLimitShare(multiple float64) float64 {
	return multiple * l.perEndpoint / l.agents
}

// isMinLimitBelow reports whether this agent's share of the minimum limit is below a number of attempts.
func (l *concurrencyLimiter) isMinLimitBelow(attempts float64, fleet fleetSummary) bool {
	return minLimitPerEndpoint*float64(fleet.serving) < attempts*l.agents
}

// update adjusts the limit by the objective ratio of one finished attempt. activeInFlight does not include
// that attempt. The first initialRatioSamples attempts set the ratios alone. If the agent is unlimited, the
// ratios do not change any more, but the limit may still decrease.
func (l *concurrencyLimiter) update(
	now, minDecreaseInterval time.Duration, ratio, activeInFlight float64, fleet fleetSummary,
) {
	l.sampleCount++
	if l.sampleCount <= initialRatioSamples {
		l.meanRatio += (min(ratio, maxRatioSample) - l.meanRatio) / l.sampleCount
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
	case l.meanRatio < target && activeInFlight+1 >= limit*minUtilizationToIncrease:
		l.perEndpoint += limitIncrease / limit
	}
}

// updateRatios updates the mean and the baseline. The mean covers at least as many attempts as the limit lets
// in flight at once, because one heavy request alone does not indicate load.
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
