package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// a held request leaves when fewer than so many mean latencies remain to its aim
	queueMargin       = 2.0
	openReserve       = 0.125 // of the requests that may be open, kept free for those to come
	clientRetryFactor = 0.1   // value of a client's repeat against a first try: most of its aim has passed
)

// hold lets a request wait for room; one that finds some leaves in the same step.
func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue = append(b.queue, r)
}

func (b *Balancer) dequeue(r *request) {
	r.queued = false
	b.queue = slices.DeleteFunc(b.queue, func(h *request) bool { return h == r })
}

// dispatchQueue sends what is queued while there is capacity: first tries before clients' retries, the class
// of the highest priority first, within it the newest.
func (b *Balancer) dispatchQueue() {
	if len(b.queue) == 0 {
		return
	}
	for i := range b.classes {
		b.classes[i].currentPriority = b.classPriority(i)
	}
	for float64(b.inFlight-b.stalled) < b.inFlightLimit() && !b.isThrottled() {
		best, value := -1, 0.0
		for i, r := range b.queue {
			if r.skipped || !b.isNextOfKey(r) || b.isTooLate(r, b.now) {
				continue
			}
			if v := b.queuedPriority(r); best < 0 || v >= value {
				best, value = i, v
			}
		}
		if best < 0 {
			break
		}
		r := b.queue[best]
		if t := b.pick(r); t != nil {
			b.dequeue(r)
			b.send(r, t)
		} else {
			r.skipped = true
		}
	}
	for i := len(b.queue) - 1; i >= 0; i-- {
		r := b.queue[i]
		give := min(r.objectiveAt, r.deadline) - b.boundedLatency(r, queueMargin)
		r.skipped = false
		if r.clientRetry || give <= b.now {
			b.giveUp(r)
		} else if r.timerToken == 0 {
			b.setRequestTimer(r, give)
		}
	}
	b.shedQueue()
}

// keepSpare gives up the queued requests of the lowest value, oldest first, while the agent is close to its
// limit of open requests, so that new arrivals are still accepted and judged by their value.
func (b *Balancer) shedQueue() {
	for b.settings.MaxOpen > 0 && float64(b.openRequests) > (1-openReserve)*float64(b.settings.MaxOpen) &&
		len(b.queue) > 0 {
		b.giveUp(slices.MinFunc(b.queue, func(x, y *request) int {
			return cmp.Compare(b.queuedPriority(x), b.queuedPriority(y))
		}))
	}
}

// heldValue is what sending a held request now adds, against others.
func (b *Balancer) queuedPriority(r *request) float64 {
	v := b.classes[r.class].currentPriority
	if r.clientRetry {
		v *= clientRetryFactor
	}
	if r.objectiveAt-b.now < time.Duration(b.expectedLatency(r)/2) {
		v *= b.classes[r.class].LatePriority
	}
	return v
}
