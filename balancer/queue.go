package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// expiryLatencies is how many expected latencies before its objective a queued request is given up.
	expiryLatencies = 2.0
	// reservedOpenShare is the share of Settings.MaxOpen that is kept free for new requests.
	reservedOpenShare = 0.125
)

// admissionQueue holds the requests that wait for an attempt, in the order in which they were queued, which
// is anew after a backoff.
type admissionQueue struct {
	requests []*request
}

func (q *admissionQueue) len() int { return len(q.requests) }

// add adds a request and moves it to phaseQueued.
func (q *admissionQueue) add(r *request) {
	r.phase = phaseQueued
	q.requests = append(q.requests, r)
}

// remove takes a request out and moves it to phaseActive, if it is queued.
func (q *admissionQueue) remove(r *request) {
	if r.phase != phaseQueued {
		return
	}
	r.phase = phaseActive
	q.requests = slices.DeleteFunc(q.requests, func(queued *request) bool { return queued == r })
}

// next is the request of the highest priority that can be sent, of equals the one queued last, which usually
// has the most time left; nil if there is none.
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

// lowestPriority is the request of the lowestPriority priority, of equals the one queued first. The queue is not empty.
func (q *admissionQueue) lowestPriority(now time.Duration) *request {
	return slices.MinFunc(q.requests, func(x, y *request) int {
		return cmp.Compare(x.priority(now), y.priority(now))
	})
}

// expiresAt is when a queued request has too little time left to be served well. Clients' retries do not wait at
// all.
func (r *request) expiresAt(now time.Duration) time.Duration {
	if r.isClientRetry {
		return now
	}
	return r.objectiveAt - r.responseBudget(expiryLatencies)
}

// processQueue sends what the limits allow, gives up what can wait no longer, and sheds load near the limit
// of open requests.
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

// expireQueue gives up the requests that have expired, and sets a timer for the others.
func (b *Balancer) expireQueue() {
	for _, r := range slices.Backward(b.queue.requests) { // backward, since an answer removes its request
		r.hasNoEndpoint = false // that was for this step
		expiresAt := r.expiresAt(b.now)
		if expiresAt <= b.now {
			b.rejectOrFailUnlessInFlight(r)
		} else if r.timerToken == 0 {
			b.setRequestTimer(r, expiresAt)
		}
	}
}

// shedQueue keeps places free for new requests, which would otherwise be rejected whatever their priority.
func (b *Balancer) shedQueue() {
	if b.settings.MaxOpen == 0 {
		return
	}
	maxQueuedOpen := (1 - reservedOpenShare) * float64(b.settings.MaxOpen)
	for float64(b.openRequestCount) > maxQueuedOpen && b.queue.len() > 0 {
		b.rejectOrFailUnlessInFlight(b.queue.lowestPriority(b.now))
	}
}
