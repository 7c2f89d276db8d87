package balancer

import "time"

const (
	// overdueObjectiveShare is the least time without a response, as a share of the objective, that makes an
	// attempt overdue.
	overdueObjectiveShare = 0.35
	// overdueLatencies is the same in expected latencies, which are long where all endpoints are crowded.
	overdueLatencies = 6.0
	// minInformativeShare is the least time, as a share of the objective, for which a client must wait for
	// the result to carry information about the endpoint.
	minInformativeShare = overdueObjectiveShare
	// minExpectedLatencyNs keeps divisions by an expected latency finite.
	minExpectedLatencyNs = 1.0
)

// attempt is one try of a request at one endpoint.
type attempt struct {
	endpoint          *endpoint
	sentAt            time.Duration
	expectedLatencyNs float64       // at least minExpectedLatencyNs
	overdueAfter      time.Duration // without a response for longer, its endpoint may be unresponsive
	inFlight          bool
	newConnection     bool // the endpoint was not connected
}

func newAttempt(r *request, ep *endpoint, now time.Duration, newConnection bool) *attempt {
	expectedNs := r.expectedLatencyNs()
	overdueNs := max(overdueObjectiveShare*float64(r.class.Objective), overdueLatencies*expectedNs)
	return &attempt{
		endpoint:          ep,
		sentAt:            now,
		expectedLatencyNs: max(expectedNs, minExpectedLatencyNs),
		overdueAfter:      time.Duration(overdueNs),
		inFlight:          true,
		newConnection:     newConnection,
	}
}

func (a *attempt) isOverdue(now time.Duration) bool { return now-a.sentAt > a.overdueAfter }

// latencyRatio is a latency over the expected one.
func (a *attempt) latencyRatio(latency time.Duration) float64 {
	return float64(latency) / a.expectedLatencyNs
}

// hadLittleTime reports whether the client of an attempt waited for so short a time that the result carries
// no information about the endpoint.
func (a *attempt) hadLittleTime(r *request) bool {
	leastNs := minInformativeShare * float64(min(r.class.Objective, r.class.Deadline))
	return r.deadline-a.sentAt < time.Duration(leastNs)
}

// send starts an attempt. It is the only place that does. The queue and the picker have checked the rules for
// attempts; they are checked once more, so that a mistake there cannot break them.
func (b *Balancer) send(r *request, ep *endpoint) {
	allowed := b.attemptRules.allow(r, ep, b.now) && r.isNextForKey(b.now)
	if ep.State != Serving || !allowed || b.now >= r.deadline {
		b.rejectOrFail(r)
		return
	}
	notAfter := r.repeatWindowEnd() // before this attempt counts
	a := newAttempt(r, ep, b.now, !ep.isConnected(b.now, b.settings.IdleClose))
	r.addAttempt(a)
	b.endpoints.markObserved(ep)
	ep.addAttempt(a)
	b.inFlightCount++
	if len(r.attempts) == 1 {
		b.traffic.recordSent()
	}
	if ep.warmUp.active {
		b.slowStart.scheduleNextPermit(ep, b.now, a.expectedLatencyNs, b.fleet)
	}
	b.addAction(Send{Request: r.id, Endpoint: ep.ID, NotAfter: notAfter})
	r.timerToken = 0 // voids the timer that it was queued with
	b.scheduleHedge(r)
}

// endAttempt takes an attempt out of the counts of those in flight. One that may still be running starts the
// quiet period of its request's key.
func (b *Balancer) endAttempt(r *request, a *attempt, result Result) {
	r.finishAttempt(a, b.settings.MayHaveRun(result))
	a.endpoint.removeAttempt(a)
	b.inFlightCount--
	if result.MayStillRun() {
		r.keyQuietUntil = b.now + b.settings.KeyQuietPeriod
	}
}
