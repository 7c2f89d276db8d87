package balancer

import (
	"slices"
	"time"
)

// line is the order of a key: the requests taken for it that are not over, oldest first.
type keyQueue struct {
	key        string
	requests   []*request
	quietUntil time.Duration // nothing new of this key before
}

// mayRepeat is the repeat rule: whether a (further) attempt of r may go to t.
func (b *Balancer) mayAttempt(r *request, ep *endpoint) bool {
	if r.ended || r.streaming || len(r.attempts) >= b.settings.MaxAttempts || r.inFlight > 0 &&
		!b.settings.AllowHedging {
		return false
	}
	c := r.class
	if c.Idempotency == Idempotent || r.mayHaveRun == 0 {
		return true
	}
	// The connection may take its time-out to come up, and must do so within the window.
	if c.Idempotency == NotIdempotent ||
		b.now-r.firstMayHaveRun.sentAt >= c.DedupWindow-b.settings.ConnectTimeout {
		return false
	}
	switch c.DedupScope {
	case DedupInZone:
		return ep.Zone == r.firstMayHaveRun.endpoint.Zone
	case DedupInCell:
		return ep.Cell == r.firstMayHaveRun.endpoint.Cell
	}
	return true
}

// inTurn is the order rule: whether all that was taken for the key of r before it is over, each
// attempt of it has its outcome, and the key has rested.
func (b *Balancer) isNextOfKey(r *request) bool {
	return r.keyQueue == nil || r.keyQueue.requests[0] == r && b.now >= r.keyQueue.quietUntil
}

// lineUp puts a new request behind all others of its key.
func (b *Balancer) joinKeyQueue(r *request, key string) {
	if key == "" || !r.class.Ordered {
		return
	}
	if r.keyQueue = b.keyQueues[key]; r.keyQueue == nil {
		r.keyQueue = &keyQueue{key: key}
		b.keyQueues[key] = r.keyQueue
	}
	r.keyQueue.requests = append(r.keyQueue.requests, r)
}

// leaveLine takes out a request that is over. The next one goes in this step, or after the rest.
func (b *Balancer) leaveKeyQueue(r *request) {
	l := r.keyQueue
	if l == nil {
		return
	}
	r.keyQueue = nil
	l.requests = slices.Delete(l.requests, slices.Index(l.requests, r), slices.Index(l.requests, r)+1)
	switch {
	// the head, since no other was sent; rests end in the order in which they begin
	case r.quietUntil > b.now:
		l.quietUntil = r.quietUntil
		b.quietKeys = append(b.quietKeys, l)
		b.setTimer(l.quietUntil - b.now + time.Microsecond) // the agent's timers may be that coarse
	case len(l.requests) == 0 && l.quietUntil <= b.now:
		delete(b.keyQueues, l.key)
	}
}

// endRests forgets keys that have rested and are not asked for.
func (b *Balancer) expireQuietKeys() {
	for len(b.quietKeys) > 0 && b.quietKeys[0].quietUntil <= b.now {
		l := b.quietKeys[0]
		b.quietKeys = b.quietKeys[1:]
		if len(l.requests) == 0 && l.quietUntil <= b.now && b.keyQueues[l.key] == l {
			delete(b.keyQueues, l.key)
		}
	}
}
