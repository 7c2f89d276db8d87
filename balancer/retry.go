package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// retry tokens at the most: a quiet balancer funds 20 retries at once, not 100
	retryTokenCapacity = 100.0
	retryTokenCost     = 5.0      // tokens for a retry ...
	timeoutTokenCost   = 10.0     // ... and for one after a time-out, which may mean a deeper trouble
	successTokenRefill = 1.0      // tokens that a served attempt brings back
	backoffUnit        = 1.0 / 32 // of the class's aim: a one-second unit would outlast most aims
	maxBackoffUnits    = 8.0      // the longest backoff, in units
	// mean deviations over the mean latency, after which an attempt is tried again
	hedgeDeviations = 5.0
)

// retry ends a failed attempt's request or schedules the next attempt.
func (b *Balancer) retry(r *request, res Result) {
	cost := retryTokenCost
	if res == TimedOut {
		cost = timeoutTokenCost
	}
	c := r.class
	wait := time.Duration(b.rng.Float64() * min(math.Exp2(float64(r.retries)), maxBackoffUnits) *
		backoffUnit * float64(c.Objective))
	at := b.now + wait
	may := func(ep *endpoint) bool { return ep.State == Serving && b.mayAttempt(r, ep) }
	if !slices.ContainsFunc(b.endpoints, may) || b.retryTokens < cost || b.isTooLate(r, at) ||
		res == NotSent {
		b.giveUp(r)
		return
	}
	b.retryTokens -= cost
	r.retries++
	r.backingOff = true
	b.setRequestTimer(r, at)
}

// giveUp ends a request for which nothing more can be done, unless an attempt may still answer it.
func (b *Balancer) giveUp(r *request) {
	b.dequeue(r)
	if r.inFlight == 0 {
		b.finish(r)
	}
}

// onSilence retries a request whose last attempt was not answered within its patience, at the price of
// a time-out. The first attempt stays out and may still answer.
func (b *Balancer) hedge(r *request) {
	a := r.attempts[len(r.attempts)-1]
	r.lastFailed = a.endpoint
	a.endpoint.connected = false
	b.ejectForClass(a.endpoint, r.class)
	b.retry(r, TimedOut)
}

// scheduleHedge sets the time of a hedged request: when few answers take longer, and another can still come
// in time. Only where no limit binds, since under one a second attempt takes the capacity of another request.
func (b *Balancer) scheduleHedge(r *request) {
	r.timer = 0 // voids the one it was held with
	c := r.class
	l := b.expectedLatency(r)
	wait := l * (1 + hedgeDeviations*b.latencyDeviation)
	if b.minLimitBelow(unlimitedBelow) && r.inFlight == 1 && len(r.attempts) < b.settings.MaxAttempts &&
		b.settings.AllowHedging &&
		c.Idempotency != NotIdempotent && b.now+time.Duration(wait+l) <= r.objectiveAt {
		b.setRequestTimer(r, b.now+time.Duration(wait))
	}
}

// comeBack is when a refused client should try again, where clients are told: after a fully jittered wait, so
// that clients refused together do not come back together.
func (b *Balancer) retryAfterHint(r *request) time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	unit := maxBackoffUnits * backoffUnit * float64(r.class.Objective)
	return time.Duration(b.rng.Float64() * min(unit, float64(b.settings.MaxRetryAfter)))
}
