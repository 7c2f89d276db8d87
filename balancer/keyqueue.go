package balancer

import (
	"slices"
	"time"
)

// timerResolution is the maximum time by which a timer of the agent may fire early. It is added to the wait
// for the end of a quiet period, so that the period has ended when the timer fires.
const timerResolution = time.Microsecond

// keyQueue holds the requests of one key that are open or have attempts in flight, oldest first. They run one
// at a time.
type keyQueue struct {
	key      string
	requests []*request
	// quietUntil is the end of the quiet period, in which no attempt is sent; 0: none. A quiet period gives
	// an attempt that may still be running time to finish before the next request of the key is sent.
	quietUntil time.Duration
}

// isUnused reports whether the queue is empty and has no quiet period.
func (q *keyQueue) isUnused(now time.Duration) bool {
	return len(q.requests) == 0 && q.quietUntil <= now
}

// isNextForKey reports whether the request is the first of its key's queue and the key has no quiet period.
// It is true for requests that are in no key queue.
func (r *request) isNextForKey(now time.Duration) bool {
	return r.keyQueue == nil || r.keyQueue.requests[0] == r && now >= r.keyQueue.quietUntil
}

// keyQueues holds the queues of all keys that have requests or a quiet period.
type keyQueues struct {
	byKey map[string]*keyQueue
	quiet []*keyQueue // queues with a quiet period, in the order in which remove added them
}

func newKeyQueues() keyQueues { return keyQueues{byKey: map[string]*keyQueue{}} }

// add adds a new request at the end of its key's queue.
func (qs *keyQueues) add(r *request, key string) {
	queue := qs.byKey[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		qs.byKey[key] = queue
	}
	queue.requests = append(queue.requests, r)
	r.keyQueue = queue
}

// remove removes a finished request that has no attempts in flight. The next request of its key may be sent
// after the returned wait; 0 means at once.
func (qs *keyQueues) remove(r *request, now time.Duration) (wait time.Duration) {
	queue := r.keyQueue
	r.keyQueue = nil
	queue.requests = slices.DeleteFunc(queue.requests, func(other *request) bool { return other == r })
	if r.keyQuietUntil <= now {
		qs.removeIfUnused(queue, now)
		return 0
	}
	// An attempt of this request caused the quiet period. Only the head of a queue has attempts, and no
	// attempt is sent in a quiet period of its key. So the request was the head, and its key has no other
	// quiet period.
	queue.quietUntil = r.keyQuietUntil
	qs.quiet = append(qs.quiet, queue)
	return queue.quietUntil - now + timerResolution
}

// expire removes unused queues whose quiet period has ended. The quiet periods need not end in the order of
// qs.quiet. A queue is removed only after the quiet periods before its own have ended.
func (qs *keyQueues) expire(now time.Duration) {
	for len(qs.quiet) > 0 && qs.quiet[0].quietUntil <= now {
		queue := qs.quiet[0]
		qs.quiet = qs.quiet[1:]
		qs.removeIfUnused(queue, now)
	}
}

// removeIfUnused removes a queue that is unused, unless its key has a newer queue.
func (qs *keyQueues) removeIfUnused(queue *keyQueue, now time.Duration) {
	if queue.isUnused(now) && qs.byKey[queue.key] == queue {
		delete(qs.byKey, queue.key)
	}
}

// removeFromKeyQueue removes a finished request without attempts in flight from its key's queue, so that the
// next request of the key can be sent. If that request has to wait, a timer triggers the step that sends it.
func (b *Balancer) removeFromKeyQueue(r *request) {
	if r.keyQueue == nil {
		return
	}
	if wait := b.keyQueues.remove(r, b.now); wait > 0 {
		b.setTimer(wait)
	}
}
