package balancer

import (
	"math"
	"time"
)

// onOutcome applies the end of an attempt and decides how its request goes on.
func (b *Balancer) onOutcome(event Outcome) {
	r := b.requests[event.Request]
	if r == nil || event.Attempt < 0 || event.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[event.Attempt]
	if !a.inFlight {
		return
	}
	b.endAttempt(r, a, event.Result)
	b.learnFromOutcome(r, a, &event)
	if event.Result == Served && !r.isFinished() {
		b.onServed(r)
	}
	b.endpoints.removeIfGone(a.endpoint)
	if event.Done || event.Result == Served || r.isFinished() {
		b.finishRequest(r)
		return
	}
	r.lastFailedEndpoint = a.endpoint
	// A second attempt that is backing off or queued goes on by itself.
	if r.inFlightCount == 0 && r.phase == phaseActive {
		b.retry(r, event.Result)
	}
}

// onServed notes that a request got its response, and withdraws its other attempts.
func (b *Balancer) onServed(r *request) {
	b.retryTokens.refill()
	if r.isOnTime(b.now) {
		r.class.recordServedOnTime()
		b.traffic.recordServedOnTime()
	}
	if !b.settings.AllowCancel {
		return
	}
	for number, other := range r.attempts {
		if other.inFlight {
			b.addAction(Cancel{Request: r.id, Attempt: number})
		}
	}
}

// learnFromOutcome lets each part learn from the end of an attempt.
func (b *Balancer) learnFromOutcome(r *request, a *attempt, outcome *Outcome) {
	if outcome.Result == TimedOut && a.hadLittleTime(r) {
		return
	}
	if outcome.Result == LocalFailure {
		b.onLocalFailure(r, a, outcome)
		return
	}
	r.class.updateOnTimeShares(outcome.Result == Served && r.isOnTime(b.now), a.newConnection)
	b.observeConnection(a, outcome.Result)
	switch outcome.Result {
	case Served:
		b.onAttemptServed(r, a, outcome.Latency)
	case Rejected:
		b.outliers.avoid(a.endpoint, r.class, b.now)
		b.adjustLimit(failedAttemptRatio)
	case TimedOut:
		b.onAttemptTimedOut(r, a, outcome.Latency)
	case ServerError, Reset, ConnectFailed:
		b.onAttemptFailed(r, a, outcome)
	case Cancelled, NotSent, LocalFailure:
	}
}

// observeConnection learns whether the endpoint of an attempt is connected: a response, also an error, leaves
// a connection. After any other end, also of an attempt that was cancelled or not sent, the endpoint moves
// back in the order of weighted rank, so that it leaves the subset.
func (b *Balancer) observeConnection(a *attempt, result Result) {
	answered := result == Served || result == ServerError
	a.endpoint.connection.observe(b.now, a, answered)
	if !answered {
		a.endpoint.demote(b.rng.ExpFloat64())
		a.endpoint.responses.observeNoResponse()
	}
}

// onAttemptServed learns from a response.
func (b *Balancer) onAttemptServed(r *request, a *attempt, latency time.Duration) {
	ep := a.endpoint
	if ep.probablyRestartedBefore(a) {
		b.onEndpointStarted(ep, b.now) // its ejection level stays, since the restart is only inferred
	}
	ep.ejection.observeServed(r.class)
	ep.responses.observeServed(b.now)
	b.outliers.observeServed()
	if !ep.warmUp.active {
		b.slowStart.observeServed(b.now, a.expectedLatencyNs, b.fleet)
	}
	if a.hadLittleTime(r) {
		return // only fast responses reach such a client, so that their latency is not typical
	}
	ep.responses.observeRatio(a.latencyRatio(latency))
	deviation := r.class.updateLatency(b.now, latency, r.workNs)
	b.hedger.observe(math.Abs(deviation))
	b.adjustLimit(r.class.objectiveRatio(latency))
}

// onAttemptTimedOut learns from an attempt without a response. The endpoint is ejected if it has served
// nothing since the attempt was sent; otherwise it counts as slow.
func (b *Balancer) onAttemptTimedOut(r *request, a *attempt, latency time.Duration) {
	ep := a.endpoint
	b.outliers.ejectForClassIfWorse(ep, r.class, b.now)
	if ep.responses.lastServedAt < a.sentAt {
		b.outliers.eject(a, r.class, b.now)
		return
	}
	b.adjustLimit(max(failedAttemptRatio, r.class.objectiveRatio(latency)))
	ep.responses.observeRatio(a.latencyRatio(latency)) // a lower bound of its latency
}

// onAttemptFailed learns from an error, or from a connection that failed or broke, and ejects the endpoint
// after too many in a row.
func (b *Balancer) onAttemptFailed(r *request, a *attempt, outcome *Outcome) {
	ep, connectFailed := a.endpoint, outcome.Result == ConnectFailed
	threshold := b.outliers.failureThreshold(outcome.Result) // by the failures before this one
	b.outliers.observeFailure(ep, b.now)
	if b.outliers.survivedFailedConnection(ep, outcome) {
		threshold = maxRun
		if connectFailed {
			b.outliers.avoid(ep, r.class, b.now)
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

// onLocalFailure keeps an endpoint that cannot be reached from here from attracting the traffic, as one
// that fails fast is always idle. The cause may be this machine: the failure does not tell that the endpoint
// was restarted, and the bound on ejected endpoints holds.
func (b *Balancer) onLocalFailure(r *request, a *attempt, outcome *Outcome) {
	b.outliers.avoid(a.endpoint, r.class, b.now)
	if len(r.attempts) == 1 {
		b.traffic.revertSent() // nothing was sent that may have been wasted; nor does a retry count as sent
	}
	b.onAttemptFailed(r, a, outcome)
}

// adjustLimit lets the concurrency limit learn from a latency over its objective.
func (b *Balancer) adjustLimit(ratio float64) {
	minDecreaseInterval := time.Duration(b.classes.reference().meanLatencyNs)
	b.limiter.update(b.now, minDecreaseInterval, ratio, b.activeInFlight(), b.fleet)
}
