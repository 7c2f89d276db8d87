package balancer

import "time"

const (
	// overdueObjectiveShare is the least time without a response, as a share of the objective, that makes an
	// attempt overdue.
	overdueObjectiveShare = 0.35
	// overdueExpectedLatencies is the same in expected latencies, which are long where all endpoints are crowded.
	overdueExpectedLatencies = 6.0
	// minInformativeTimeoutShare is the least time, as a share of the objective, for which a client must wait for
	// the result to carry information about the endpoint.
	minInformativeTimeoutShare = overdueObjectiveShare
	// minExpectedLatencyNs keeps divisions by an expected latency finite.
	minExpectedLatencyNs = 1.0
)

// attempt is one try of a request at one endpoint.
type attempt struct {
	endpoint          *endpoint
	sentAt            time.Duration
	expectedLatencyNs float64       // at least minExpectedLatencyNs
	overdueAfter      time.Duration // without a response for longer, its endpoint may be unresponsive
	isInFlight        bool
	usesNewConnection bool // the endpoint was not connected
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

// latencyRatio is a latency over the expected one.
func (a *attempt) latencyRatio(latency time.Duration) float64 {
	return float64(latency) / a.expectedLatencyNs
}

// hasShortTimeout reports whether the client of an attempt waited for so short a time that the result carries
// no information about the endpoint.
func (a *attempt) hasShortTimeout(r *request) bool {
	minTimeoutNs := minInformativeTimeoutShare * float64(min(r.class.Objective, r.class.Deadline))
	return r.deadline-a.sentAt < time.Duration(minTimeoutNs)
}

// send starts an attempt. It is the only place that does. The queue and the picker have checked the rules for
// attempts; they are checked once more, so that a mistake there cannot break them.
func (b *Balancer) send(r *request, ep *endpoint) {
	isAllowed := b.attemptRules.allows(r, ep, b.now) && r.isNextOfKey(b.now)
	if ep.State != Serving || !isAllowed || b.now >= r.deadline {
		b.answerUnserved(r)
		return
	}
	notAfter := r.dedupWindowEnd() // before this attempt counts
	a := newAttempt(r, ep, b.now, !ep.isConnected(b.now, b.settings.IdleClose))
	r.addAttempt(a)
	b.endpoints.markObserved(ep)
	ep.addAttempt(a)
	b.attemptsInFlight++
	if len(r.attempts) == 1 {
		b.traffic.observeSent()
	}
	if ep.warmUp.isActive {
		b.slowStart.scheduleNextPermit(ep, b.now, a.expectedLatencyNs, b.fleet)
	}
	b.act(Send{Request: r.id, Endpoint: ep.ID, NotAfter: notAfter})
	r.timer = 0 // voids the timer that it was queued with
	b.scheduleHedge(r)
}

// finishAttempt takes an attempt out of the counts of those in flight. One that may still be running starts the
// quiet period of its request's key.
func (b *Balancer) finishAttempt(r *request, a *attempt, result Result) {
	r.endAttempt(a, b.settings.MayHaveRun(result))
	a.endpoint.removeAttempt(a)
	b.attemptsInFlight--
	if result.MayStillRun() {
		r.keyQuietUntil = b.now + b.settings.KeyQuietPeriod
	}
}
