package balancer

import (
	"slices"
	"time"
)

// timerResolution is how much too early the agent's timers may fire.
const timerResolution = time.Microsecond

// keyQueue holds the requests of one key that have not ended, oldest first: they run one at a time.
type keyQueue struct {
	key        string
	requests   []*request
	quietUntil time.Duration // no attempt of this key before
}

// isUnused reports whether the queue is empty and rests no more.
func (q *keyQueue) isUnused(now time.Duration) bool {
	return len(q.requests) == 0 && q.quietUntil <= now
}

// isNextForKey reports whether all earlier requests of its key have ended, and its quiet period is over.
func (r *request) isNextForKey(now time.Duration) bool {
	return r.keyQueue == nil || r.keyQueue.requests[0] == r && now >= r.keyQueue.quietUntil
}

// keyQueues are the queues of all keys that have open requests or a quiet period.
type keyQueues struct {
	byKey map[string]*keyQueue
	quiet []*keyQueue // those with a quiet period, in the order in which their requests ended
}

func newKeyQueues() keyQueues { return keyQueues{byKey: map[string]*keyQueue{}} }

// add puts a new request behind all others of its key.
func (qs *keyQueues) add(r *request, key string) {
	queue := qs.byKey[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		qs.byKey[key] = queue
	}
	queue.requests = append(queue.requests, r)
	r.keyQueue = queue
}

// remove takes out a request that has ended. The next one of its key may go at once, or after the returned
// wait if that is over 0.
func (qs *keyQueues) remove(r *request, now time.Duration) (wait time.Duration) {
	queue := r.keyQueue
	r.keyQueue = nil
	queue.requests = slices.DeleteFunc(queue.requests, func(other *request) bool { return other == r })
	if r.keyQuietUntil <= now {
		qs.removeIfUnused(queue, now)
		return 0
	}
	// The request has had an attempt, so that it was the head of the queue and no other quiet period is
	// running.
	queue.quietUntil = r.keyQuietUntil
	qs.quiet = append(qs.quiet, queue)
	return queue.quietUntil - now + timerResolution
}

// expire drops the queues that are unused since their quiet period is over. One behind a longer quiet period
// is dropped after that.
func (qs *keyQueues) expire(now time.Duration) {
	for len(qs.quiet) > 0 && qs.quiet[0].quietUntil <= now {
		queue := qs.quiet[0]
		qs.quiet = qs.quiet[1:]
		qs.removeIfUnused(queue, now)
	}
}

// removeIfUnused drops a queue that is empty and rests no more, unless another one has taken its place.
func (qs *keyQueues) removeIfUnused(queue *keyQueue, now time.Duration) {
	if queue.isUnused(now) && qs.byKey[queue.key] == queue {
		delete(qs.byKey, queue.key)
	}
}

// removeFromKeyQueue lets the next request of a key go once r has ended. If it has to wait, a timer makes the step
// in which it goes.
func (b *Balancer) removeFromKeyQueue(r *request) {
	if r.keyQueue == nil {
		return
	}
	if wait := b.keyQueues.remove(r, b.now); wait > 0 {
		b.setTimer(wait)
	}
}
