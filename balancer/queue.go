package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// expiryLatencies is the time that a queued request must have left until its objective, in expected
	// latencies. With less time left it expires. See request.responseBudget for the upper bound.
	expiryLatencies = 2.0
	// reservedOpenShare is the share of Settings.MaxOpen that is reserved for new requests.
	reservedOpenShare = 0.125
)

// admissionQueue holds the requests that wait for an attempt, in the order in which they were queued. A
// request is queued again, at the end, after each backoff.
type admissionQueue struct {
	requests []*request
}

func (q *admissionQueue) len() int { return len(q.requests) }

// add adds a request at the end and moves it to phaseQueued.
func (q *admissionQueue) add(r *request) {
	r.phase = phaseQueued
	q.requests = append(q.requests, r)
}

// remove removes a request, if it is queued, and moves it to phaseActive.
func (q *admissionQueue) remove(r *request) {
	if r.phase != phaseQueued {
		return
	}
	r.phase = phaseActive
	q.requests = slices.DeleteFunc(q.requests, func(queued *request) bool { return queued == r })
}

// next returns the request of the highest priority that can be sent, or nil if there is none. Among requests
// of equal priority it returns the one queued last, which usually has the most time left.
func (q *admissionQueue) next(now time.Duration) *request {
	var next *request
	highest := 0.0
	for _, r := range q.requests {
		if r.hasNoEndpoint || !r.isNextForKey(now) || r.isTooLate(now, now) {
			continue
		}
		if priority := r.priority(now); next == nil || priority >= highest {
			next, highest = r, priority
		}
	}
	return next
}

// lowestPriority returns the request of the lowest priority. Among requests of equal priority it returns the
// one queued first. The queue must not be empty.
func (q *admissionQueue) lowestPriority(now time.Duration) *request {
	return slices.MinFunc(q.requests, func(x, y *request) int {
		return cmp.Compare(x.priority(now), y.priority(now))
	})
}

// expiresAt returns the time from which a queued request has too little time left to meet its objective. A
// client's retry must not wait: it expires in the first step that cannot send it.
func (r *request) expiresAt(now time.Duration) time.Duration {
	if r.isClientRetry {
		return now
	}
	return r.objectiveAt - r.responseBudget(expiryLatencies)
}

// processQueue sends the requests that the limits allow, expires those that have waited too long, and sheds
// load near the limit of open requests.
func (b *Balancer) processQueue() {
	if b.queue.len() == 0 {
		return
	}
	updatePriorities(b.classes, &b.settings)
	for b.mayStartAttempt() {
		r := b.queue.next(b.now)
		if r == nil {
			break
		}
		b.traffic.recordInFlight(b.activeInFlight())
		ep := b.picker.pick(r, b.now, b.fleet)
		if ep == nil {
			r.hasNoEndpoint = true
			continue
		}
		b.queue.remove(r)
		b.send(r, ep)
	}
	b.expireQueue()
	b.shedQueue()
}

// mayStartAttempt reports whether the concurrency limit and the throttle allow one more attempt.
func (b *Balancer) mayStartAttempt() bool {
	return b.activeInFlight() < b.limiter.limit(b.fleet) && !isThrottled(&b.limiter, &b.traffic, b.fleet)
}

// expireQueue removes the requests that have expired from the queue, and answers them unless they have an
// attempt in flight. It sets a timer for the expiry of each remaining request.
func (b *Balancer) expireQueue() {
	for _, r := range slices.Backward(b.queue.requests) { // in reverse, because expired requests are removed
		r.hasNoEndpoint = false // it holds for one step only
		expiresAt := r.expiresAt(b.now)
		if expiresAt <= b.now {
			b.rejectOrFailUnlessInFlight(r)
		} else if r.timerToken == 0 {
			b.setRequestTimer(r, expiresAt)
		}
	}
}

// shedQueue removes the requests of the lowest priority from the queue, and answers them unless they have an
// attempt in flight. This makes room for new requests, which would otherwise be rejected whatever their
// priority.
func (b *Balancer) shedQueue() {
	if b.settings.MaxOpen == 0 {
		return
	}
	maxOpenRequests := (1 - reservedOpenShare) * float64(b.settings.MaxOpen)
	for float64(b.openRequestCount) > maxOpenRequests && b.queue.len() > 0 {
		b.rejectOrFailUnlessInFlight(b.queue.lowestPriority(b.now))
	}
}
