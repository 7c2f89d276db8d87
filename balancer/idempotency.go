package balancer

import (
	"slices"
	"time"
)

// mayAttempt reports whether a first or further attempt of r may go to an endpoint.
func (b *Balancer) mayAttempt(r *request, ep *endpoint) bool {
	if r.ended || r.streaming || len(r.attempts) >= b.settings.MaxAttempts {
		return false
	}
	return (r.inFlight == 0 || b.settings.AllowHedging) && (r.mayHaveRun == 0 || b.mayRepeat(r, ep))
}

// mayRepeat reports whether a request that may have run has no further effect at an endpoint.
func (b *Balancer) mayRepeat(r *request, ep *endpoint) bool {
	class, first := r.class, r.firstMayHaveRun
	if class.Idempotency != IdempotentWithKey {
		return class.Idempotency == Idempotent
	}
	// A connection may take its time-out to come up, and the window must not end meanwhile.
	if b.now-first.sentAt >= class.DedupWindow-b.settings.ConnectTimeout {
		return false
	}
	switch class.DedupScope {
	case DedupInZone:
		return ep.Zone == first.endpoint.Zone
	case DedupInCell:
		return ep.Cell == first.endpoint.Cell
	}
	return true
}

// repeatWindowEnd is when endpoints no longer drop the next attempt of r as a repeat; 0: it repeats nothing.
func (b *Balancer) repeatWindowEnd(r *request) time.Duration {
	if r.class.Idempotency != IdempotentWithKey || r.mayHaveRun == 0 {
		return 0
	}
	return r.firstMayHaveRun.sentAt + r.class.DedupWindow
}

// keyQueue holds the requests of one key that are not over, oldest first: they run one at a time.
type keyQueue struct {
	key        string
	requests   []*request
	quietUntil time.Duration // nothing new of this key before
}

// isNextOfKey reports whether all earlier requests of its key, and the quiet period, are over.
func (b *Balancer) isNextOfKey(r *request) bool {
	return r.keyQueue == nil || r.keyQueue.requests[0] == r && b.now >= r.keyQueue.quietUntil
}

// joinKeyQueue puts a new request behind all others of its key, if its class is ordered.
func (b *Balancer) joinKeyQueue(r *request, key string) {
	if key == "" || !r.class.Ordered {
		return
	}
	queue := b.keyQueues[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		b.keyQueues[key] = queue
	}
	queue.requests = append(queue.requests, r)
	r.keyQueue = queue
}

// leaveKeyQueue takes out a request that is over. The next one goes in this step or after a quiet period.
func (b *Balancer) leaveKeyQueue(r *request) {
	queue := r.keyQueue
	if queue == nil {
		return
	}
	r.keyQueue = nil
	queue.requests = slices.DeleteFunc(queue.requests, func(other *request) bool { return other == r })
	if r.quietUntil > b.now { // then it was the head, since no other one was sent
		queue.quietUntil = r.quietUntil
		b.quietKeys = append(b.quietKeys, queue)
		b.setTimer(queue.quietUntil - b.now + time.Microsecond) // the agent's timers may be that coarse
		return
	}
	b.dropKeyQueueIfUnused(queue)
}

func (b *Balancer) expireQuietKeys() {
	for len(b.quietKeys) > 0 && b.quietKeys[0].quietUntil <= b.now {
		queue := b.quietKeys[0]
		b.quietKeys = b.quietKeys[1:]
		b.dropKeyQueueIfUnused(queue)
	}
}

func (b *Balancer) dropKeyQueueIfUnused(queue *keyQueue) {
	if len(queue.requests) == 0 && queue.quietUntil <= b.now && b.keyQueues[queue.key] == queue {
		delete(b.keyQueues, queue.key)
	}
}
