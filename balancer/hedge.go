package balancer

import "time"

const (
	// hedgeDeviations is how many mean deviations over the mean latency an attempt may take before its
	// request is hedged.
	hedgeDeviations = 5.0
	// initialLatencyDeviation is the mean deviation before any response.
	initialLatencyDeviation = 1.0
)

// hedger knows when a second attempt of a request goes out while the first one stays in flight.
type hedger struct {
	latencyDeviation float64 // mean deviation of a latency from its class's mean, as a multiple of that mean
}

func newHedger() hedger { return hedger{latencyDeviation: initialLatencyDeviation} }

// updateDeviation learns from the deviation of one latency.
func (h *hedger) updateDeviation(deviation float64) {
	h.latencyDeviation = movingAverage(h.latencyDeviation, deviation)
}

// delayNs is the time without a response after which a request is hedged: nearly all responses take less.
func (h *hedger) delayNs(expectedLatencyNs float64) float64 {
	return expectedLatencyNs * (1 + hedgeDeviations*h.latencyDeviation)
}

// scheduleHedge sets the time of a second attempt, if that can still be served within the objective. There is
// no hedging under a concurrency limit, since a second attempt would take the capacity of another request.
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

// hedge makes a second attempt for a request whose first one, which stays in flight, had no response in time.
// The second one costs tokens and has a backoff like a retry after a time-out.
func (b *Balancer) hedge(r *request) {
	b.recordHedgeTimeout(r)
	b.scheduleRetry(r, TimedOut)
}

// recordHedgeTimeout keeps the next attempt from the endpoint of the latest one, which has not responded,
// and lets that count as a time-out of the class there.
func (b *Balancer) recordHedgeTimeout(r *request) {
	ep := r.attempts[len(r.attempts)-1].endpoint
	r.lastFailed = ep
	ep.connection.markDisconnected()
	b.outliers.ejectForClassIfLagging(ep, r.class, b.now)
}
