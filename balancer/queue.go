package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// expiryLatencies is how many expected latencies before its objective a queued request is given up.
	expiryLatencies = 2.0
	// openReserve is the share of Settings.MaxOpen that is kept free for new requests.
	openReserve = 0.125
)

// admissionQueue holds the requests that wait for an attempt, oldest first.
type admissionQueue struct {
	requests []*request
}

func (q *admissionQueue) len() int { return len(q.requests) }

func (q *admissionQueue) push(r *request) {
	r.phase = phaseQueued
	q.requests = append(q.requests, r)
}

// remove takes a request out, if it is queued.
func (q *admissionQueue) remove(r *request) {
	if r.phase != phaseQueued {
		return
	}
	r.phase = phaseActive
	q.requests = slices.DeleteFunc(q.requests, func(queued *request) bool { return queued == r })
}

// next is the request of the highest priority that can be sent, of equals the newest, which has the most time
// left; nil if there is none.
func (q *admissionQueue) next(now time.Duration) *request {
	var next *request
	highest := 0.0
	for _, r := range q.requests {
		if r.hasNoEndpoint || !r.isNextOfKey(now) || r.isTooLate(now, now) {
			continue
		}
		if priority := r.priority(now); next == nil || priority >= highest {
			next, highest = r, priority
		}
	}
	return next
}

// lowest is the request of the lowest priority, of equals the oldest. The queue is not empty.
func (q *admissionQueue) lowest(now time.Duration) *request {
	return slices.MinFunc(q.requests, func(x, y *request) int {
		return cmp.Compare(x.priority(now), y.priority(now))
	})
}

// expiry is when a queued request has too little time left to be served well. Clients' retries do not wait at
// all.
func (r *request) expiry(now time.Duration) time.Duration {
	if r.isClientRetry {
		return now
	}
	return min(r.objectiveAt, r.deadline) - r.responseTime(expiryLatencies)
}

// dispatchQueue sends what the limits allow, and gives up what can wait no longer.
func (b *Balancer) dispatchQueue() {
	if b.queue.len() == 0 {
		return
	}
	updatePriorities(b.classes, &b.settings)
	for b.mayDispatch() {
		r := b.queue.next(b.now)
		if r == nil {
			break
		}
		if ep := b.pick(r); ep != nil {
			b.queue.remove(r)
			b.send(r, ep)
		} else {
			r.hasNoEndpoint = true
		}
	}
	b.expireQueue()
	b.shedQueue()
}

// mayDispatch reports whether the concurrency limit and the throttle allow one more attempt.
func (b *Balancer) mayDispatch() bool {
	return b.activeInFlight() < b.limiter.limit(b.fleet) && !isThrottled(&b.limiter, &b.traffic, b.fleet)
}

// expireQueue gives up the requests that have expired, and sets a timer for the others.
func (b *Balancer) expireQueue() {
	for _, r := range slices.Backward(b.queue.requests) { // backward, since an answer removes its request
		r.hasNoEndpoint = false // that was for this step
		expiry := r.expiry(b.now)
		if expiry <= b.now {
			b.answerUnlessInFlight(r)
		} else if r.timer == 0 {
			b.setRequestTimer(r, expiry)
		}
	}
}

// shedQueue keeps places free for new requests, which would otherwise be rejected whatever their priority.
func (b *Balancer) shedQueue() {
	if b.settings.MaxOpen == 0 {
		return
	}
	mostOpen := (1 - openReserve) * float64(b.settings.MaxOpen)
	for float64(b.openRequests) > mostOpen && b.queue.len() > 0 {
		b.answerUnlessInFlight(b.queue.lowest(b.now))
	}
}
