package balancer

import (
	"math"
	"time"
)

// handleOutcome applies the end of an attempt and decides how its request goes on.
func (b *Balancer) handleOutcome(event Outcome) {
	r := b.requests[event.Request]
	if r == nil || event.Attempt < 0 || event.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[event.Attempt]
	if !a.isInFlight {
		return
	}
	b.finishAttempt(r, a, event.Result)
	b.updateFromOutcome(r, a, &event)
	if event.Result == Served && !r.hasEnded() {
		b.handleServed(r)
	}
	b.endpoints.removeIfUnused(a.endpoint)
	if event.Done || event.Result == Served || r.hasEnded() {
		b.closeRequest(r)
		return
	}
	r.lastFailed = a.endpoint
	// A second attempt that is backing off or queued goes on by itself.
	if r.inFlight == 0 && r.phase == phaseActive {
		b.scheduleRetry(r, event.Result)
	}
}

// handleServed notes that a request got its response, and withdraws its other attempts.
func (b *Balancer) handleServed(r *request) {
	b.retryTokens.refill()
	if r.isOnTime(b.now) {
		r.class.observeServedOnTime()
		b.traffic.observeServedOnTime()
	}
	if !b.settings.AllowCancel {
		return
	}
	for number, other := range r.attempts {
		if other.isInFlight {
			b.act(Cancel{Request: r.id, Attempt: number})
		}
	}
}

// updateFromOutcome lets each part learn from the end of an attempt.
func (b *Balancer) updateFromOutcome(r *request, a *attempt, outcome *Outcome) {
	if outcome.Result == TimedOut && a.hasShortTimeout(r) {
		return
	}
	if outcome.Result == LocalFailure {
		b.handleLocalFailure(r, a, outcome)
		return
	}
	r.class.observeAttempt(outcome.Result == Served && r.isOnTime(b.now), a.usesNewConnection)
	b.updateConnection(a, outcome.Result)
	switch outcome.Result {
	case Served:
		b.handleAttemptServed(r, a, outcome.Latency)
	case Rejected:
		b.outliers.skipBriefly(a.endpoint, r.class, b.now)
		b.updateLimit(unservedRatio)
	case TimedOut:
		b.handleAttemptTimedOut(r, a, outcome.Latency)
	case ServerError, Reset, ConnectFailed:
		b.handleAttemptFailed(r, a, outcome)
	case Cancelled, NotSent, LocalFailure:
	}
}

// updateConnection learns whether the endpoint of an attempt is connected: a response, also an error, leaves
// a connection. After any other end, also of an attempt that was cancelled or not sent, the endpoint moves
// back in the order of weighted rank, so that it leaves the subset.
func (b *Balancer) updateConnection(a *attempt, result Result) {
	isAnswered := result == Served || result == ServerError
	a.endpoint.connection.recordResult(b.now, a, isAnswered)
	if !isAnswered {
		a.endpoint.demote(b.rng.ExpFloat64())
		a.endpoint.responses.recordNoResponse()
	}
}

// handleAttemptServed learns from a response.
func (b *Balancer) handleAttemptServed(r *request, a *attempt, latency time.Duration) {
	ep := a.endpoint
	if ep.hasProbablyRestartedBefore(a) {
		b.handleEndpointStarted(ep, b.now) // its ejection level stays, since the restart is only inferred
	}
	ep.ejection.recordServed(r.class)
	ep.responses.recordServed(b.now)
	b.outliers.recordServed()
	if !ep.warmUp.isActive {
		b.slowStart.recordServed(b.now, a.expectedLatencyNs, b.fleet)
	}
	if a.hasShortTimeout(r) {
		return // only fast responses reach such a client, so that their latency is not typical
	}
	ep.responses.updateLatencyRatio(a.latencyRatio(latency))
	deviation := r.class.observeLatency(b.now, latency, r.workNs)
	b.hedger.updateDeviation(math.Abs(deviation))
	b.updateLimit(r.class.objectiveRatio(latency))
}

// handleAttemptTimedOut learns from an attempt without a response. The endpoint is ejected if it has served
// nothing since the attempt was sent; otherwise it counts as slow.
func (b *Balancer) handleAttemptTimedOut(r *request, a *attempt, latency time.Duration) {
	ep := a.endpoint
	b.outliers.ejectForClassIfLagging(ep, r.class, b.now)
	if ep.responses.lastServedAt < a.sentAt {
		b.outliers.eject(a, r.class, b.now)
		return
	}
	b.updateLimit(max(unservedRatio, r.class.objectiveRatio(latency)))
	ep.responses.updateLatencyRatio(a.latencyRatio(latency)) // a lower bound of its latency
}

// handleAttemptFailed learns from an error, or from a connection that failed or broke, and ejects the endpoint
// after too many in a row.
func (b *Balancer) handleAttemptFailed(r *request, a *attempt, outcome *Outcome) {
	ep, connectFailed := a.endpoint, outcome.Result == ConnectFailed
	threshold := b.outliers.failureThreshold(outcome.Result) // by the failures before this one
	b.outliers.recordFailure(ep, b.now)
	if b.outliers.isSingleConnectionFailure(ep, outcome) {
		threshold = maxConsecutiveFailures
		if connectFailed {
			b.outliers.skipBriefly(ep, r.class, b.now)
		}
	}
	if ep.ejection.consecutiveFailures < threshold {
		return
	}
	if connectFailed || mayEjectForErrors(&b.endpoints, b.fleet, b.now) {
		if connectFailed || outcome.Result == Reset {
			ep.ejection.markUnreachable()
		}
		b.outliers.eject(a, r.class, b.now)
	}
}

// handleLocalFailure keeps an endpoint that cannot be reached from here from attracting the traffic, as one
// that fails fast is always idle. The cause may be this machine: the failure does not tell that the endpoint
// was restarted, and the bound on ejected endpoints holds.
func (b *Balancer) handleLocalFailure(r *request, a *attempt, outcome *Outcome) {
	b.outliers.skipBriefly(a.endpoint, r.class, b.now)
	if len(r.attempts) == 1 {
		b.traffic.undoSend() // nothing was sent that may have been wasted; nor does a retry count as sent
	}
	b.handleAttemptFailed(r, a, outcome)
}

// updateLimit lets the concurrency limit learn from a latency over its objective.
func (b *Balancer) updateLimit(ratio float64) {
	minDecreaseInterval := time.Duration(b.classes.reference().meanLatencyNs)
	b.limiter.observe(b.now, minDecreaseInterval, ratio, b.activeInFlight(), b.fleet)
}
