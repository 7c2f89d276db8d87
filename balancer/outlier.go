package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// significanceLevel is the probability up to which consecutive failures are not attributed to chance.
	significanceLevel = 1e-3
	// connectSignificanceLevel is the same for failed connections. It is higher because they are stronger
	// evidence and their requests never ran.
	connectSignificanceLevel = 50 * significanceLevel
	// minFailureThreshold is the minimum number of consecutive failures that ejects an endpoint.
	// minConnectFailureThreshold is the same if the latest failure is a failed connection.
	minFailureThreshold        = 2.0
	minConnectFailureThreshold = 1.0
	// maxFailureThreshold is the number of consecutive failures that ejects an endpoint at any failure rate.
	maxFailureThreshold = 6
	// minFailureRate and maxFailureRate bound the failure rate that failureThreshold uses.
	minFailureRate = 1e-6
	maxFailureRate = 0.3

	// maxEjectedShare is the maximum ejected share of the serving endpoints that ejections for errors may
	// reach, because the others must carry the load. Ejections after TimedOut or ConnectFailed are not
	// bounded, but count too. If no serving endpoint is ejected, one may be ejected for errors in a fleet of
	// any size.
	maxEjectedShare = 0.2
	// unansweredDialDivisor divides the connect timeout: a dial that failed after more than the resulting
	// time had no answer.
	unansweredDialDivisor = 2
	// minEjectionJitter and ejectionJitterRange define the random factor of the duration of an ejection. It
	// is uniform between minEjectionJitter and minEjectionJitter + ejectionJitterRange.
	minEjectionJitter   = 0.75
	ejectionJitterRange = 0.5
)

// outlierDetector ejects outlier endpoints. Without ejection, an endpoint that fails fast would always be
// idle and attract all traffic.
type outlierDetector struct {
	rng            *rand.Rand
	connectTimeout time.Duration
	classes        classList
	// failureRate is the moving average of failures in the fleet, over served attempts and failures that are
	// the first in a row at their endpoint.
	failureRate float64
}

// recordServed updates the failure rate with a served attempt.
func (d *outlierDetector) recordServed() { d.failureRate -= slowSmoothing * d.failureRate }

// recordFailure records a failed attempt at an endpoint. Only the first of consecutive failures updates the
// failure rate, which is that of the fleet: further failures of the same endpoint carry no information about
// the others.
func (d *outlierDetector) recordFailure(ep *endpoint, now time.Duration) {
	if ep.ejection.recordFailure(now) {
		d.failureRate += slowSmoothing * (1 - d.failureRate)
	}
}

// failureThreshold returns the number of consecutive failures that ejects an endpoint at the current failure
// rate, after an attempt with the given result.
func (d *outlierDetector) failureThreshold(result Result) int {
	minFailures, significance := minFailureThreshold, significanceLevel
	if result == ConnectFailed {
		minFailures, significance = minConnectFailureThreshold, connectSignificanceLevel
	}
	rate := min(max(d.failureRate, minFailureRate), maxFailureRate)
	// The smallest n with rate^n <= significance.
	failures := math.Ceil(math.Log(significance) / math.Log(rate))
	return int(min(max(minFailures, failures), maxFailureThreshold))
}

// isSingleConnectionFailure reports whether a connection to an endpoint failed or broke although the
// endpoint's process is still running. A process that ends closes all its connections. An attempt that was
// sent before the first of the consecutive failures and is still in flight therefore shows that the process
// runs. A dial without an answer is no evidence of a running process.
func (d *outlierDetector) isSingleConnectionFailure(ep *endpoint, outcome *Outcome) bool {
	if outcome.Result == ServerError {
		return false
	}
	isUnanswered := outcome.Result == ConnectFailed &&
		outcome.Latency > d.connectTimeout/unansweredDialDivisor
	hasOlderAttempt := len(ep.inFlight) > 0 && ep.inFlight[0].sentAt < ep.ejection.firstFailureAt
	return hasOlderAttempt && !isUnanswered
}

// mayEjectForErrors reports whether one more endpoint may be ejected for errors.
func mayEjectForErrors(endpoints *endpointSet, fleet fleetSummary, now time.Duration) bool {
	maxEjected := max(1, maxEjectedShare*float64(fleet.serving))
	return float64(endpoints.ejectedCount(now)+1) <= maxEjected
}

// eject ejects the endpoint of a failed attempt, for longer with each ejection level. An attempt that was
// sent before the latest ejection does not eject its endpoint again.
func (d *outlierDetector) eject(a *attempt, class *classStats, now time.Duration) {
	e := &a.endpoint.ejection
	if a.sentAt < e.ejectedAt {
		return
	}
	jitter := minEjectionJitter + ejectionJitterRange*d.rng.Float64()
	e.eject(now, class.Objective, jitter)
}

// ejectForLaggingClass ejects an endpoint for a class that lags behind the best class: its on-time share is
// lower by at least significantOnTimeGap. If the class does not lag, the fleet as a whole is slow, and the
// endpoint is not ejected.
func (d *outlierDetector) ejectForLaggingClass(ep *endpoint, class *classStats, now time.Duration) {
	if class.onTimeShare() > d.classes.best().onTimeShare()-significantOnTimeGap {
		return
	}
	ep.ejection.byClass[class.index].eject(now, class.Objective)
}

// skipBriefly makes the picker skip an endpoint that shed a request, or to which a connection failed. The
// duration is a random part of the mean latency of the class.
func (d *outlierDetector) skipBriefly(ep *endpoint, class *classStats, now time.Duration) {
	ep.ejection.skipUntil(now + time.Duration(d.rng.Float64()*class.meanLatencyNs))
}
