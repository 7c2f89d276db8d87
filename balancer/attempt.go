package balancer

import "time"

const (
	// An attempt without a response is overdue after the longer of two times: overdueObjectiveShare times the
	// objective, and overdueExpectedLatencies times the expected latency. The second one is longer if all
	// endpoints are overloaded, so that latencies are high.
	overdueObjectiveShare    = 0.35
	overdueExpectedLatencies = 6.0
	// minInformativeTimeoutShare is a share of the objective or the deadline of a class, whichever is
	// shorter. If the client waits for less than this time after an attempt is sent, the result of the
	// attempt carries no information about the endpoint.
	minInformativeTimeoutShare = overdueObjectiveShare
	// minExpectedLatencyNs keeps divisions by an expected latency finite.
	minExpectedLatencyNs = 1.0
)

// attempt is one attempt of a request at one endpoint.
type attempt struct {
	endpoint          *endpoint
	sentAt            time.Duration
	expectedLatencyNs float64       // at least minExpectedLatencyNs
	overdueAfter      time.Duration // time since sentAt after which the attempt is overdue
	isInFlight        bool
	usesNewConnection bool // the endpoint was not connected when the attempt was sent
}

func newAttempt(r *request, ep *endpoint, now time.Duration, usesNewConnection bool) *attempt {
	expectedNs := r.expectedLatencyNs()
	overdueNs := max(overdueObjectiveShare*float64(r.class.Objective), overdueExpectedLatencies*expectedNs)
	return &attempt{
		endpoint:          ep,
		sentAt:            now,
		expectedLatencyNs: max(expectedNs, minExpectedLatencyNs),
		overdueAfter:      time.Duration(overdueNs),
		isInFlight:        true,
		usesNewConnection: usesNewConnection,
	}
}

func (a *attempt) isOverdue(now time.Duration) bool { return now-a.sentAt > a.overdueAfter }

// latencyRatio returns a latency over the expected latency of the attempt.
func (a *attempt) latencyRatio(latency time.Duration) float64 {
	return float64(latency) / a.expectedLatencyNs
}

// hasShortTimeout reports whether the request's deadline follows the sending of the attempt so soon that the
// result carries no information about the endpoint.
func (a *attempt) hasShortTimeout(r *request) bool {
	minTimeoutNs := minInformativeTimeoutShare * float64(min(r.class.Objective, r.class.Deadline))
	return r.deadline-a.sentAt < time.Duration(minTimeoutNs)
}

// send sends an attempt of a request to an endpoint. No other function does. The queue and the picker have
// already applied all conditions. send applies them again, so that a defect there cannot violate them, and
// answers the request without a response if one does not hold.
func (b *Balancer) send(r *request, ep *endpoint) {
	isAllowed := b.attemptRules.allows(r, ep, b.now) && r.isNextForKey(b.now)
	if ep.State != Serving || !isAllowed || b.now >= r.deadline {
		b.rejectOrFail(r)
		return
	}
	notAfter, sameProcess := r.dedupWindowEnd(), r.isBoundToScope() // before this attempt is added
	a := newAttempt(r, ep, b.now, !ep.isConnected(b.now, b.settings.IdleClose))
	r.addAttempt(a)
	b.endpoints.markObserved(ep)
	ep.addAttempt(a)
	b.inFlightCount++
	if len(r.attempts) == 1 {
		b.traffic.recordSent()
	}
	if ep.warmUp.isActive {
		b.slowStart.scheduleNextPermit(ep, b.now, a.expectedLatencyNs, b.fleet)
	}
	b.addAction(Send{
		Request:     r.id,
		Endpoint:    ep.ID,
		NotAfter:    notAfter,
		Reuse:       b.reuse.terms(b.now, r.expectedLatencyNs()),
		SameProcess: sameProcess,
	})
	r.timerToken = 0 // the timer set while it was queued no longer applies
	b.scheduleHedge(r)
}

// finishAttempt removes an attempt from the counts of attempts in flight. If the attempt may still be
// running, the key of its request has a quiet period from now on. keyQueues.remove applies it to the next
// request of the key.
func (b *Balancer) finishAttempt(r *request, a *attempt, result Result) {
	r.finishAttempt(a, b.settings.MayHaveRun(result))
	a.endpoint.removeAttempt(a)
	b.inFlightCount--
	if result.MayStillRun() {
		r.keyQuietUntil = b.now + b.settings.KeyQuietPeriod
	}
}
