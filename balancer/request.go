package balancer

import "time"

// requestPhase says what a request waits for.
type requestPhase uint8

// The phases of a request.
const (
	phaseActive     requestPhase = iota // the outcome of its attempts, if any; also before it is queued
	phaseQueued                         // the admission queue lets it go
	phaseBackingOff                     // the backoff before its retry is over
	phaseEnded                          // nothing: it has its final answer, or is owed none any longer
)

// request is a client's request that is open, or still has attempts in flight.
type request struct {
	id          string
	class       *classStats
	objectiveAt time.Duration // a response after this time earns less
	deadline    time.Duration
	workNs      float64 // expected service time; 0: unknown
	keyHash     uint64  // 0: no key

	phase         requestPhase
	isClientRetry bool // the client has tried before
	isStreaming   bool // part of a response has reached the client: no further attempt
	hasNoEndpoint bool // no endpoint may take it in this step

	attempts        []*attempt
	inFlight        int // attempts without an outcome
	mayHaveRunCount int // attempts that may have run, those in flight included
	// firstMayHaveRun sets the scope and window of deduplication: the first attempt since none may have run.
	// It stays if it turns out not to have run while another one may have, which only shortens the window.
	firstMayHaveRun *attempt
	retries         int
	lastFailed      *endpoint // the endpoint of the latest attempt that failed, or was hedged

	keyQueue      *keyQueue
	keyQuietUntil time.Duration // end of its key's quiet period, after an attempt whose end is unknown
	timer         int64         // token of its latest timer, which voids earlier ones; 0: none
}

func (r *request) hasEnded() bool { return r.phase == phaseEnded }

// expectedLatencyNs is the expected latency of an attempt.
func (r *request) expectedLatencyNs() float64 { return r.class.expectedLatencyNs(r.workNs) }

// responseTime is the time of a number of expected latencies, bounded by a share of the objective.
func (r *request) responseTime(latencies float64) time.Duration {
	longest := maxResponseShare * float64(r.class.Objective)
	return time.Duration(min(latencies*r.expectedLatencyNs(), longest))
}

// isTooLate reports whether an attempt that is sent at the time sendAt is more likely to miss the deadline
// than to meet it.
func (r *request) isTooLate(now, sendAt time.Duration) bool {
	if sendAt >= r.deadline {
		return true
	}
	return r.class.latencyIsRecent(now) && sendAt+r.responseTime(medianOverMeanLatency) >= r.deadline
}

// isOnTime reports whether a response that is served now is within the objective.
func (r *request) isOnTime(now time.Duration) bool { return now <= r.objectiveAt }

// addAttempt notes an attempt that is being sent.
func (r *request) addAttempt(a *attempt) {
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.mayHaveRunCount++
	if r.firstMayHaveRun == nil {
		r.firstMayHaveRun = a
	}
}

// endAttempt notes the end of an attempt.
func (r *request) endAttempt(a *attempt, mayHaveRun bool) {
	a.isInFlight = false
	r.inFlight--
	if mayHaveRun {
		return
	}
	r.mayHaveRunCount--
	if r.mayHaveRunCount == 0 {
		r.firstMayHaveRun = nil
	}
}

// answerUnserved gives a request its final answer without a response; it is the only place that does. The
// answer is a rejection, after which any client may retry, only if no attempt may have run.
func (b *Balancer) answerUnserved(r *request) {
	if r.hasEnded() {
		return
	}
	if r.mayHaveRunCount == 0 {
		b.act(Reject{Request: r.id, RetryAfter: b.drawRetryAfter(r)})
	} else {
		b.act(Fail{Request: r.id})
	}
	b.closeRequest(r)
}

// answerUnlessInFlight makes no further attempts for a request. It answers the request, unless an attempt in
// flight may still be served.
func (b *Balancer) answerUnlessInFlight(r *request) {
	b.queue.remove(r)
	if r.inFlight == 0 {
		b.answerUnserved(r)
	}
}

// closeRequest ends a request, and removes it once its attempts have ended too.
func (b *Balancer) closeRequest(r *request) {
	if !r.hasEnded() {
		b.openRequests--
	}
	b.queue.remove(r)
	r.phase = phaseEnded
	b.timers.drop(r.timer)
	if r.inFlight == 0 {
		delete(b.requests, r.id)
		b.leaveKeyQueue(r)
	}
}
