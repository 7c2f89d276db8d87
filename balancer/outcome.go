package balancer

import (
	"math"
	"time"
)

// handleOutcome handles the end of an attempt and decides how its request continues.
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
	if event.Result == Served && !r.isFinished() {
		b.handleServed(r)
	}
	b.endpoints.deleteIfPossible(a.endpoint)
	if event.Done || event.Result == Served || r.isFinished() {
		b.finishRequest(r)
		return
	}
	r.lastFailedEndpoint = a.endpoint
	// If another attempt of the request is backing off or queued, that one continues.
	if r.inFlightCount == 0 && r.phase == phaseActive {
		b.scheduleRetry(r, event.Result)
	}
}

// handleServed records that a request was served, and cancels its other attempts if Settings.AllowCancel is
// set.
func (b *Balancer) handleServed(r *request) {
	b.retryTokens.refill()
	if r.isOnTime(b.now) {
		r.class.recordServedOnTime()
		b.traffic.recordServedOnTime()
	}
	if !b.settings.AllowCancel {
		return
	}
	for number, other := range r.attempts {
		if other.isInFlight {
			b.addAction(Cancel{Request: r.id, Attempt: number})
		}
	}
}

// updateFromOutcome updates the statistics and the state of the endpoint from the end of an attempt.
func (b *Balancer) updateFromOutcome(r *request, a *attempt, outcome *Outcome) {
	if outcome.Result == TimedOut && a.hasShortTimeout(r) {
		return
	}
	if outcome.Result == LocalFailure {
		b.handleLocalFailure(r, a, outcome)
		return
	}
	if outcome.TooEarly {
		b.reuse.recordTooEarly()
	}
	r.class.updateOnTimeShares(outcome.Result == Served && r.isOnTime(b.now), a.usesNewConnection)
	b.updateConnection(a, outcome.Result)
	switch outcome.Result {
	case Served:
		b.handleAttemptServed(r, a, outcome.Latency)
	case Rejected:
		b.outliers.skipBriefly(a.endpoint, r.class, b.now)
		b.updateLimit(failedAttemptRatio)
	case TimedOut:
		b.handleAttemptTimedOut(r, a, outcome.Latency)
	case ServerError, Reset, ConnectFailed:
		b.handleAttemptFailed(r, a, outcome)
	case Withheld:
		a.endpoint.connection.recordBroken(b.now)
	case Cancelled, NotSent, LocalFailure:
	}
}

// updateConnection records whether the endpoint of an attempt is connected. Served and ServerError leave a
// connection. After any other result, Rejected, Cancelled and NotSent included, the endpoint is demoted in
// the order of weighted rank, so that it leaves the subset.
func (b *Balancer) updateConnection(a *attempt, result Result) {
	isAnswered := result == Served || result == ServerError
	a.endpoint.connection.recordResult(b.now, a, isAnswered)
	if !isAnswered {
		a.endpoint.demote(b.rng.ExpFloat64())
		a.endpoint.responses.recordUnanswered()
	}
}

// handleAttemptServed handles a response of an attempt.
func (b *Balancer) handleAttemptServed(r *request, a *attempt, latency time.Duration) {
	ep := a.endpoint
	if ep.hasProbablyRestartedBefore(a) {
		b.handleEndpointStarted(ep, b.now) // keeps the ejection level, since the restart is only inferred
	}
	ep.ejection.recordServed(r.class)
	ep.responses.recordServed(b.now)
	b.outliers.recordServed()
	if !ep.warmUp.isActive {
		b.slowStart.recordServed(b.now, a.expectedLatencyNs, b.fleet)
	}
	if a.hasShortTimeout(r) {
		return // only fast responses reach such a client: the latency is not representative
	}
	ep.responses.updateLatencyRatio(a.latencyRatio(latency))
	if !a.usesNewConnection {
		b.reuse.recordLatency(a.latencyRatio(latency))
	}
	deviation := r.class.updateLatency(b.now, latency, r.workNs)
	b.hedger.updateDeviation(math.Abs(deviation))
	b.updateLimit(r.class.objectiveRatio(latency))
}

// handleAttemptTimedOut handles a time-out. It ejects the endpoint for the class if the class lags behind the
// best one. It ejects the endpoint for all classes if it has served nothing since the attempt was sent.
// Otherwise it updates the limit and the latency ratio, as for a slow response.
func (b *Balancer) handleAttemptTimedOut(r *request, a *attempt, latency time.Duration) {
	ep := a.endpoint
	b.outliers.ejectForLaggingClass(ep, r.class, b.now)
	if ep.responses.lastServedAt < a.sentAt {
		b.outliers.eject(a, r.class, b.now)
		return
	}
	b.updateLimit(max(failedAttemptRatio, r.class.objectiveRatio(latency)))
	ep.responses.updateLatencyRatio(a.latencyRatio(latency)) // the latency so far is a lower bound
}

// handleAttemptFailed handles an error, or a connection that failed or broke. It ejects the endpoint after
// too many consecutive failures.
func (b *Balancer) handleAttemptFailed(r *request, a *attempt, outcome *Outcome) {
	ep, connectFailed := a.endpoint, outcome.Result == ConnectFailed
	threshold := b.outliers.failureThreshold(outcome.Result) // computed before this failure is recorded
	b.outliers.recordFailure(ep, b.now)
	if connectFailed || outcome.Result == Reset && !outcome.TooEarly {
		ep.connection.recordBroken(b.now)
	}
	if b.outliers.isSingleConnectionFailure(ep, outcome) {
		threshold = maxFailureThreshold
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

// handleLocalFailure handles a failed connection whose cause may be this machine. It makes the picker skip
// the endpoint for a short time: an endpoint that fails fast is always idle and would attract all traffic.
// The failure is no evidence that the endpoint was restarted, and maxEjectedShare applies.
func (b *Balancer) handleLocalFailure(r *request, a *attempt, outcome *Outcome) {
	b.outliers.skipBriefly(a.endpoint, r.class, b.now)
	if len(r.attempts) == 1 {
		// Nothing was sent that may have been wasted work. Only the first attempt of a request is recorded
		// as sent, so that only this one is reverted.
		b.traffic.revertSent()
	}
	b.handleAttemptFailed(r, a, outcome)
}

// updateLimit updates the concurrency limit with the objective ratio of an attempt.
func (b *Balancer) updateLimit(ratio float64) {
	minDecreaseInterval := time.Duration(b.classes.reference().meanLatencyNs)
	b.limiter.update(b.now, minDecreaseInterval, ratio, b.activeInFlight(), b.fleet)
}
