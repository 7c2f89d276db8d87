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
	b.observeOutcome(r, a, &event)
	if event.Result == Served && !r.hasEnded() {
		b.onServed(r)
	}
	b.endpoints.removeIfGone(a.endpoint)
	if event.Done || event.Result == Served || r.hasEnded() {
		b.closeRequest(r)
		return
	}
	r.lastFailed = a.endpoint
	if r.inFlight == 0 && r.phase == phaseActive {
		b.retry(r, event.Result)
	}
}

// onServed notes that a request got its response, and withdraws its other attempts.
func (b *Balancer) onServed(r *request) {
	b.retryTokens.refill()
	if r.isOnTime(b.now) {
		r.class.observeServedOnTime()
		b.traffic.observeServedOnTime()
	}
	if !b.settings.AllowCancel {
		return
	}
	for number, other := range r.attempts {
		if other.inFlight {
			b.act(Cancel{Request: r.id, Attempt: number})
		}
	}
}

// observeOutcome lets each part learn from the end of an attempt.
func (b *Balancer) observeOutcome(r *request, a *attempt, outcome *Outcome) {
	if outcome.Result == TimedOut && a.hadLittleTime(r) {
		return
	}
	if outcome.Result == LocalFailure {
		b.observeLocalFailure(r, a, outcome)
		return
	}
	r.class.observeAttempt(outcome.Result == Served && r.isOnTime(b.now), a.newConnection)
	b.observeConnection(a, outcome.Result)
	switch outcome.Result {
	case Served:
		b.observeServed(r, a, outcome.Latency)
	case Rejected:
		b.outliers.avoid(a.endpoint, r.class, b.now)
		b.adjustLimit(rejectedRatio)
	case TimedOut:
		b.observeTimeout(r, a, outcome.Latency)
	case ServerError, Reset, ConnectFailed:
		b.observeFailure(r, a, outcome)
	case Cancelled, NotSent, LocalFailure:
	}
}

// observeConnection learns whether the endpoint of an attempt is connected. One that did not respond, or shed
// the request, moves back in the order of preference, so that it leaves the subset.
func (b *Balancer) observeConnection(a *attempt, result Result) {
	answered := result == Served || result == ServerError
	a.endpoint.connection.observe(b.now, a, answered)
	if !answered {
		a.endpoint.demote(b.rng.ExpFloat64())
		a.endpoint.responses.observeNoResponse()
	}
}

func (b *Balancer) observeServed(r *request, a *attempt, latency time.Duration) {
	ep := a.endpoint
	if ep.wasRestartedBefore(a) {
		b.startWarmUp(ep, b.now)
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
	deviation := r.class.observeLatency(b.now, latency, r.workNs)
	b.hedger.observe(math.Abs(deviation))
	b.adjustLimit(r.class.objectiveRatio(latency))
}

// wasRestartedBefore reports whether an endpoint that serves an attempt was restarted before the attempt was
// sent, though the list has not said so yet.
func (ep *endpoint) wasRestartedBefore(a *attempt) bool {
	return ep.ejection.unreachable && ep.warmUp.startedAt < a.sentAt && ep.ejection.firstFailureAt < a.sentAt
}

// observeTimeout learns from an attempt without a response. The endpoint is ejected if it has served nothing
// since the attempt was sent; otherwise it counts as slow.
func (b *Balancer) observeTimeout(r *request, a *attempt, latency time.Duration) {
	ep := a.endpoint
	b.outliers.ejectForClass(ep, r.class, b.now)
	if ep.responses.lastServedAt < a.sentAt {
		b.outliers.eject(a, r.class, b.now)
		return
	}
	b.adjustLimit(max(rejectedRatio, r.class.objectiveRatio(latency)))
	ep.responses.observeRatio(a.latencyRatio(latency)) // a lower bound of its latency
}

// observeFailure learns from an error or a broken connection, and ejects the endpoint after too many in a
// row.
func (b *Balancer) observeFailure(r *request, a *attempt, outcome *Outcome) {
	ep, connectFailed := a.endpoint, outcome.Result == ConnectFailed
	threshold := b.outliers.failureThreshold(outcome.Result) // by the failures before this one
	b.outliers.observeFailure(ep, b.now)
	if b.outliers.isAlive(ep, outcome) {
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

// observeLocalFailure keeps an endpoint that cannot be reached from here from attracting the traffic, as one
// that fails fast is always idle. The cause may be this machine: the failure does not tell that the endpoint
// was restarted, and the bound on ejected endpoints holds.
func (b *Balancer) observeLocalFailure(r *request, a *attempt, outcome *Outcome) {
	b.outliers.avoid(a.endpoint, r.class, b.now)
	if len(r.attempts) == 1 {
		b.traffic.undoSend() // nothing was sent that may have been wasted
	}
	b.observeFailure(r, a, outcome)
}

// adjustLimit lets the concurrency limit learn from a latency over its objective.
func (b *Balancer) adjustLimit(ratio float64) {
	b.limiter.observe(b.now, ratio, b.activeInFlight(), b.classes.reference().meanLatencyNs, b.fleet)
}
