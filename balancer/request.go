package balancer

import "time"

// requestPhase is the state of a request.
type requestPhase uint8

// The phases of a request.
const (
	phaseActive     requestPhase = iota // waiting for outcomes of its attempts; also the initial phase
	phaseQueued                         // waiting in the admission queue
	phaseBackingOff                     // waiting for the backoff before a retry
	phaseFinished                       // has its final answer, or was abandoned
)

// request is a client's request that is open or has attempts in flight.
type request struct {
	id          string
	class       *classStats
	objectiveAt time.Duration // end of the latency objective: a later response is worth less
	deadline    time.Duration // time at which the client stops waiting
	workNs      float64       // expected service time; 0: unknown
	keyHash     uint64        // hash of the key; 0: no key

	phase         requestPhase
	isClientRetry bool // the client has tried before
	isStreaming   bool // part of the response has reached the client: no further attempt is allowed
	hasNoEndpoint bool // no endpoint may take the request in this step

	attempts        []*attempt // in the order of sending, including finished ones
	inFlightCount   int        // number of attempts without an outcome
	mayHaveRunCount int        // number of attempts that may have run, including those in flight
	// firstMayHaveRun is the attempt that determines the scope and window of deduplication: the first one
	// sent while no other may have run. It stays if it turns out not to have run but a later one may have,
	// which only shortens the window. nil: no attempt may have run.
	firstMayHaveRun    *attempt
	retryCount         int       // number of retries, including hedged attempts
	lastFailedEndpoint *endpoint // endpoint of the latest attempt that failed or was hedged; nil: none

	keyQueue      *keyQueue     // queue of the key; nil: the request is not ordered
	keyQuietUntil time.Duration // end of the quiet period that its attempts cause for the key; 0: none
	timerToken    int64         // token of the latest timer, which voids earlier ones; 0: none
}

func (r *request) isFinished() bool { return r.phase == phaseFinished }

// expectedLatencyNs returns the expected latency of an attempt.
func (r *request) expectedLatencyNs() float64 { return r.class.expectedLatencyNs(r.workNs) }

// responseBudget returns the time reserved for a response: a number of expected latencies, but at most
// maxResponseShare of the objective.
func (r *request) responseBudget(latencies float64) time.Duration {
	maxNs := maxResponseShare * float64(r.class.Objective)
	return time.Duration(min(latencies*r.expectedLatencyNs(), maxNs))
}

// isTooLate reports whether an attempt sent at sendAt will probably miss the deadline.
func (r *request) isTooLate(now, sendAt time.Duration) bool {
	if sendAt >= r.deadline {
		return true
	}
	return r.class.hasRecentLatency(now) && sendAt+r.responseBudget(medianOverMeanLatency) >= r.deadline
}

// isOnTime reports whether a response served at now is within the objective.
func (r *request) isOnTime(now time.Duration) bool { return now <= r.objectiveAt }

// addAttempt adds an attempt that is being sent.
func (r *request) addAttempt(a *attempt) {
	r.attempts = append(r.attempts, a)
	r.inFlightCount++
	r.mayHaveRunCount++
	if r.firstMayHaveRun == nil {
		r.firstMayHaveRun = a
	}
}

// finishAttempt records that an attempt has finished, and whether it may have run.
func (r *request) finishAttempt(a *attempt, mayHaveRun bool) {
	a.isInFlight = false
	r.inFlightCount--
	if mayHaveRun {
		return
	}
	r.mayHaveRunCount--
	if r.mayHaveRunCount == 0 {
		r.firstMayHaveRun = nil
	}
}

// rejectOrFail gives a request its final answer without a response. No other method does. The answer is a
// rejection, after which any client may retry, only if no attempt may have run.
func (b *Balancer) rejectOrFail(r *request) {
	if r.isFinished() {
		return
	}
	if r.mayHaveRunCount == 0 {
		b.addAction(Reject{Request: r.id, RetryAfter: b.drawRetryAfter(r)})
	} else {
		b.addAction(Fail{Request: r.id})
	}
	b.finishRequest(r)
}

// rejectOrFailUnlessInFlight stops further attempts for a request. It answers the request, unless an attempt
// in flight may still be served.
func (b *Balancer) rejectOrFailUnlessInFlight(r *request) {
	b.queue.remove(r)
	if r.inFlightCount == 0 {
		b.rejectOrFail(r)
	}
}

// finishRequest finishes a request. It removes the request unless attempts are still in flight.
func (b *Balancer) finishRequest(r *request) {
	if !r.isFinished() {
		b.openRequestCount--
	}
	b.queue.remove(r)
	r.phase = phaseFinished
	b.timers.remove(r.timerToken)
	if r.inFlightCount == 0 {
		delete(b.requests, r.id)
		b.removeFromKeyQueue(r)
	}
}
