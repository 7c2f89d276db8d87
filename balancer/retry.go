package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// retryTokenCapacity is the capacity of the token bucket. At the usual cost it allows 20 retries while
	// no request is served.
	retryTokenCapacity = 100.0
	// retryTokenCost is the cost of a retry, in tokens.
	retryTokenCost = 5.0
	// timeoutRetryTokenCost is the cost of a retry after a time-out, in tokens. It is higher because a
	// time-out may be a sign of a more serious fault.
	timeoutRetryTokenCost = 10.0
	// successTokenRefill is the number of tokens that each served request adds.
	successTokenRefill = 1.0

	// baseBackoffShare is the maximum of the first backoff, as a share of the objective.
	baseBackoffShare = 1.0 / 32
	// maxBackoffMultiple is the maximum of any backoff, as a multiple of the maximum of the first.
	maxBackoffMultiple = 8.0
)

// tokenBucket bounds the number of retries. Only served requests add tokens, so that retries cannot multiply
// the load of a fleet that fails.
type tokenBucket struct {
	tokens float64
}

func newTokenBucket() tokenBucket { return tokenBucket{tokens: retryTokenCapacity} }

// take removes tokens and reports whether there were enough; if not, it removes none.
func (t *tokenBucket) take(cost float64) bool {
	if t.tokens < cost {
		return false
	}
	t.tokens -= cost
	return true
}

// refill adds the tokens for one served request, up to the capacity.
func (t *tokenBucket) refill() { t.tokens = min(retryTokenCapacity, t.tokens+successTokenRefill) }

// retryCost returns the cost of a retry after a result, in tokens.
func retryCost(result Result) float64 {
	if result == TimedOut {
		return timeoutRetryTokenCost
	}
	return retryTokenCost
}

// drawBackoff draws the backoff before a retry: exponential in the number of earlier retries, with full
// jitter.
func drawBackoff(rng *rand.Rand, retries int, objective time.Duration) time.Duration {
	multiple := min(math.Exp2(float64(retries)), maxBackoffMultiple)
	return time.Duration(rng.Float64() * multiple * baseBackoffShare * float64(objective))
}

// scheduleRetry schedules the next attempt of a request after a backoff. There is no further attempt if no
// endpoint may get it, if it would be too late, or if the token bucket does not cover its cost. The request
// is then answered, unless an attempt is in flight.
func (b *Balancer) scheduleRetry(r *request, result Result) {
	sendAt := b.now + drawBackoff(b.rng, r.retryCount, r.class.Objective)
	// NotSent means that the agent allows no further attempt: the request is finished, has used up its
	// attempts, or has no time left.
	canRetry := result != NotSent && b.hasEligibleEndpoint(r) && !r.isTooLate(b.now, sendAt)
	if !canRetry || !b.retryTokens.take(retryCost(result)) {
		b.rejectOrFailUnlessInFlight(r)
		return
	}
	r.retryCount++
	r.phase = phaseBackingOff
	b.setRequestTimer(r, sendAt)
}

// hasEligibleEndpoint reports whether the rules allow a further attempt of a request at any serving endpoint.
func (b *Balancer) hasEligibleEndpoint(r *request) bool {
	return slices.ContainsFunc(b.endpoints.all, func(ep *endpoint) bool {
		return ep.State == Serving && b.attemptRules.allows(r, ep, b.now)
	})
}

// drawRetryAfter draws the Retry-After of a rejection with full jitter, so that clients that are rejected
// together do not retry together. It returns 0 if Settings.SendRetryAfter is off.
func (b *Balancer) drawRetryAfter(r *request) time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	maxWait := maxBackoffMultiple * baseBackoffShare * float64(r.class.Objective)
	return time.Duration(b.rng.Float64() * min(maxWait, float64(b.settings.MaxRetryAfter)))
}
