package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// retryTokenCapacity bounds the retries that a balancer can make at once: 20 at the usual cost.
	retryTokenCapacity = 100.0
	// retryTokenCost is the cost of a retry, in tokens.
	retryTokenCost = 5.0
	// timeoutRetryTokenCost is the cost of a retry after a time-out, which may mean a deeper fault.
	timeoutRetryTokenCost = 10.0
	// successTokenRefill is the number of tokens that each served request brings back.
	successTokenRefill = 1.0

	// baseBackoffShare is the longest first backoff, as a share of the objective.
	baseBackoffShare = 1.0 / 32
	// maxBackoffMultiple is the longest backoff of all, in longest first backoffs.
	maxBackoffMultiple = 8.0
)

// tokenBucket bounds retries: they cannot multiply the load of a fleet at fault, since only served requests
// bring tokens back.
type tokenBucket struct {
	tokens float64
}

func newTokenBucket() tokenBucket { return tokenBucket{tokens: retryTokenCapacity} }

// take takes tokens and reports whether there were enough; if not, it takes none.
func (t *tokenBucket) take(cost float64) bool {
	if t.tokens < cost {
		return false
	}
	t.tokens -= cost
	return true
}

// refill brings back tokens for a served request.
func (t *tokenBucket) refill() { t.tokens = min(retryTokenCapacity, t.tokens+successTokenRefill) }

// retryCost is the cost of a retry after a result, in tokens.
func retryCost(result Result) float64 {
	if result == TimedOut {
		return timeoutRetryTokenCost
	}
	return retryTokenCost
}

// drawBackoff draws the wait before a retry: exponential in the retries so far, with full jitter.
func drawBackoff(rng *rand.Rand, retries int, objective time.Duration) time.Duration {
	multiple := min(math.Exp2(float64(retries)), maxBackoffMultiple)
	return time.Duration(rng.Float64() * multiple * baseBackoffShare * float64(objective))
}

// scheduleRetry schedules the next attempt of a request after a backoff. The request is answered instead if no
// endpoint may take the attempt, if the token bucket does not pay for it, or if it would be too late.
func (b *Balancer) scheduleRetry(r *request, result Result) {
	sendAt := b.now + drawBackoff(b.rng, r.retries, r.class.Objective)
	// An attempt was not sent since the time of its request was over, or nothing could be sent for it any
	// more.
	canRetry := result != NotSent && b.hasEligibleEndpoint(r) && !r.isTooLate(b.now, sendAt)
	if !canRetry || !b.retryTokens.take(retryCost(result)) {
		b.answerUnlessInFlight(r)
		return
	}
	r.retries++
	r.phase = phaseBackingOff
	b.setRequestTimer(r, sendAt)
}

// hasEligibleEndpoint reports whether the rules allow a further attempt of a request anywhere.
func (b *Balancer) hasEligibleEndpoint(r *request) bool {
	return slices.ContainsFunc(b.endpoints.all, func(ep *endpoint) bool {
		return ep.State == Serving && b.attemptRules.allows(r, ep, b.now)
	})
}

// drawRetryAfter draws the Retry-After of a rejection: with full jitter, so that clients that are rejected
// together do not return together.
func (b *Balancer) drawRetryAfter(r *request) time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	maxWait := maxBackoffMultiple * baseBackoffShare * float64(r.class.Objective)
	return time.Duration(b.rng.Float64() * min(maxWait, float64(b.settings.MaxRetryAfter)))
}
