package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// significanceLevel is the probability of a run of failures below which the run does not count as chance.
	significanceLevel = 1e-3
	// connectSignificanceLevel is the same for failed connections, which are stronger evidence, and whose requests
	// never ran.
	connectSignificanceLevel = 50 * significanceLevel
	// minConsecutiveFailures and minConnectRun are the shortest runs of failures that eject an endpoint.
	minConsecutiveFailures        = 2.0
	minConsecutiveConnectFailures = 1.0
	// maxConsecutiveFailures is the length of a run of failures that ejects an endpoint in any case.
	maxConsecutiveFailures = 6
	// minFailureRate and maxFailureRate bound the failure rate in the estimate of that probability.
	minFailureRate = 1e-6
	maxFailureRate = 0.3

	// maxEjectedShare is the share of the serving endpoints, ejected for whatever cause, up to which one more
	// may be ejected for errors: the rest must bear the load.
	maxEjectedShare = 0.2
	// unansweredDialDivisor divides the connect timeout: a dial that took longer had no answer.
	unansweredDialDivisor = 2
	// minEjectionJitter and ejectionJitter spread the length of an ejection: times 0.75 to 1.25.
	minEjectionJitter   = 0.75
	ejectionJitterRange = 0.5
)

// outlierDetector decides which endpoints are ejected. Without ejection an endpoint that fails fast would be
// idle all the time, and would attract all traffic.
type outlierDetector struct {
	rng            *rand.Rand
	connectTimeout time.Duration
	classes        classList
	failureRate    float64 // moving share of failures among served attempts and first failures of a run
}

// recordServed lowers the failure rate.
func (d *outlierDetector) recordServed() { d.failureRate -= slowSmoothing * d.failureRate }

// recordFailure notes a failed attempt at an endpoint. Only the first failure of a run counts in the failure
// rate, which is that of the fleet: the further failures of one endpoint say nothing about the others.
func (d *outlierDetector) recordFailure(ep *endpoint, now time.Duration) {
	if ep.ejection.recordFailure(now) {
		d.failureRate += slowSmoothing * (1 - d.failureRate)
	}
}

// failureThreshold is the number of failures in a row that are not chance at the current failure rate.
func (d *outlierDetector) failureThreshold(result Result) int {
	minFailures, significance := minConsecutiveFailures, significanceLevel
	if result == ConnectFailed {
		minFailures, significance = minConsecutiveConnectFailures, connectSignificanceLevel
	}
	rate := min(max(d.failureRate, minFailureRate), maxFailureRate)
	failures := math.Ceil(math.Log(significance) / math.Log(rate)) // the least n with rate^n <= chance
	return int(min(max(minFailures, failures), maxConsecutiveFailures))
}

// isSingleConnectionFailure reports whether an endpoint's process lives although a connection to it failed: a
// process that dies takes all its connections along, but older attempts are still in flight. A dial without
// an answer proves no life.
func (d *outlierDetector) isSingleConnectionFailure(ep *endpoint, outcome *Outcome) bool {
	if outcome.Result == ServerError {
		return false
	}
	isUnanswered := outcome.Result == ConnectFailed && outcome.Latency > d.connectTimeout/unansweredDialDivisor
	hasOlderAttempt := len(ep.inFlight) > 0 && ep.inFlight[0].sentAt < ep.ejection.firstFailureAt
	return hasOlderAttempt && !isUnanswered
}

// mayEjectForErrors reports whether one more endpoint may be ejected.
func mayEjectForErrors(endpoints *endpointSet, fleet fleetSummary, now time.Duration) bool {
	maxEjected := max(1, maxEjectedShare*float64(fleet.serving))
	return float64(endpoints.ejectedCount(now)+1) <= maxEjected
}

// eject ejects the endpoint of a failed attempt, for longer with each level. An attempt that was sent before
// the last ejection adds nothing to it.
func (d *outlierDetector) eject(a *attempt, class *classStats, now time.Duration) {
	e := &a.endpoint.ejection
	if a.sentAt < e.ejectedAt {
		return
	}
	jitter := minEjectionJitter + ejectionJitterRange*d.rng.Float64()
	e.eject(now, class.Objective, jitter)
}

// ejectForClassIfLagging ejects an endpoint for one class, if that class is served on time less often than the
// best one. Otherwise the whole fleet is slow, and not this endpoint.
func (d *outlierDetector) ejectForClassIfLagging(ep *endpoint, class *classStats, now time.Duration) {
	if class.onTimeShare() > d.classes.best().onTimeShare()-significantOnTimeGap {
		return
	}
	ep.ejection.byClass[class.index].eject(now, class.Objective)
}

// skipBriefly keeps an endpoint that shed a request, or to which a connection failed, from new attempts for a
// random part of the mean latency.
func (d *outlierDetector) skipBriefly(ep *endpoint, class *classStats, now time.Duration) {
	ep.ejection.skipUntil(now + time.Duration(d.rng.Float64()*class.meanLatencyNs))
}
