package balancer

import "time"

const (
	// hedgeDeviations is the number of mean deviations above the expected latency after which a request is
	// hedged.
	hedgeDeviations = 5.0
	// initialLatencyDeviation is the mean deviation before the first response, as a multiple of the mean
	// latency.
	initialLatencyDeviation = 1.0
)

// hedger computes the time after which a request is hedged: it gets a second attempt while the first one
// stays in flight.
type hedger struct {
	// latencyDeviation is the mean absolute deviation of latencies from the mean latency of their class, as a
	// multiple of that mean.
	latencyDeviation float64
}

func newHedger() hedger { return hedger{latencyDeviation: initialLatencyDeviation} }

// updateDeviation updates the mean deviation with that of one latency.
func (h *hedger) updateDeviation(deviation float64) {
	h.latencyDeviation = movingAverage(h.latencyDeviation, deviation)
}

// delayNs returns the time without a response after which a request is hedged. Nearly all responses take less
// time.
func (h *hedger) delayNs(expectedLatencyNs float64) float64 {
	return expectedLatencyNs * (1 + hedgeDeviations*h.latencyDeviation)
}

// scheduleHedge sets the timer for a second attempt, if that can still be served within the objective.
// Requests are not hedged while a concurrency limit applies, since the second attempt would take the capacity
// of another request.
func (b *Balancer) scheduleHedge(r *request) {
	if !b.attemptRules.allowsHedge(r) || !b.limiter.isUnlimited(b.fleet) {
		return
	}
	latencyNs := r.expectedLatencyNs()
	delayNs := b.hedger.delayNs(latencyNs)
	if b.now+time.Duration(delayNs+latencyNs) <= r.objectiveAt {
		b.setRequestTimer(r, b.now+time.Duration(delayNs))
	}
}

// hedge schedules a second attempt of a request whose first one, which stays in flight, has had no response
// in time. The second attempt costs tokens and has a backoff, like a retry after a time-out.
func (b *Balancer) hedge(r *request) {
	b.recordHedgeTimeout(r)
	b.scheduleRetry(r, TimedOut)
}

// recordHedgeTimeout records that the latest attempt has had no response in time: the next attempt does not
// go to the same endpoint, which counts as disconnected and may be ejected for the class as after a time-out.
func (b *Balancer) recordHedgeTimeout(r *request) {
	ep := r.attempts[len(r.attempts)-1].endpoint
	r.lastFailedEndpoint = ep
	ep.connection.markDisconnected()
	b.outliers.ejectForLaggingClass(ep, r.class, b.now)
}
