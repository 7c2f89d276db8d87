package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	retryTokenCapacity = 100.0 // bounds how many retries a balancer funds at once: 20
	retryTokenCost     = 5.0
	timeoutTokenCost   = 10.0 // of a retry after a time-out, which may mean a deeper fault
	successTokenRefill = 1.0  // for each request served

	backoffUnit     = 1.0 / 32 // of the class's objective
	maxBackoffUnits = 8.0

	hedgeDeviations = 5.0 // mean deviations over the mean latency, after which a request is hedged
)

// retry schedules the next attempt after a backoff, or gives the request up; the token bucket pays for it.
func (b *Balancer) retry(r *request, result Result) {
	cost := retryTokenCost
	if result == TimedOut {
		cost = timeoutTokenCost
	}
	units := min(math.Exp2(float64(r.retries)), maxBackoffUnits)
	wait := b.rng.Float64() * units * backoffUnit * float64(r.class.Objective)
	at := b.now + time.Duration(wait)
	mayGoTo := func(ep *endpoint) bool { return ep.State == Serving && b.mayAttempt(r, ep) }
	possible := result != NotSent && slices.ContainsFunc(b.endpoints, mayGoTo)
	if !possible || b.retryTokens < cost || b.isTooLate(r, at) {
		b.giveUp(r)
		return
	}
	b.retryTokens -= cost
	r.retries++
	r.backingOff = true
	b.setRequestTimer(r, at)
}

// giveUp ends a request for which nothing more can be done, unless an attempt may still be served.
func (b *Balancer) giveUp(r *request) {
	b.dequeue(r)
	if r.inFlight == 0 {
		b.finish(r)
	}
}

// scheduleHedge sets the time of a hedged request, if it can still be served within the objective.
func (b *Balancer) scheduleHedge(r *request) {
	r.timer = 0 // voids the one that it was queued with
	latency := b.expectedLatency(r)
	wait := latency * (1 + hedgeDeviations*b.latencyDeviation)
	inTime := b.now+time.Duration(wait+latency) <= r.objectiveAt
	allowed := b.settings.AllowHedging && r.inFlight == 1 && len(r.attempts) < b.settings.MaxAttempts
	if inTime && allowed && b.minLimitBelow(unlimitedBelow) && r.class.Idempotency != NotIdempotent {
		b.setRequestTimer(r, b.now+time.Duration(wait))
	}
}

// hedge retries a request whose attempt, which stays in flight, had no response in time.
func (b *Balancer) hedge(r *request) {
	r.lastFailed = r.attempts[len(r.attempts)-1].endpoint
	r.lastFailed.connected = false
	b.ejectForClass(r.lastFailed, r.class)
	b.retry(r, TimedOut)
}

// retryAfterHint is a fully jittered wait, so that clients rejected together do not return together.
func (b *Balancer) retryAfterHint(r *request) time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	longest := maxBackoffUnits * backoffUnit * float64(r.class.Objective)
	return time.Duration(b.rng.Float64() * min(longest, float64(b.settings.MaxRetryAfter)))
}
