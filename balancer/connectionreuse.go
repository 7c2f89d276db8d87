package balancer

import (
	"math"
	"time"
)

const (
	// minReuseDelay is the minimum time from the last response on a connection to its next request. Most
	// second responses follow the first one within it.
	minReuseDelay = 100 * time.Millisecond
	// reuseDelayMultiple is the reuse delay as a multiple of the longest time after which unrequested bytes
	// came.
	reuseDelayMultiple = 2.0
	// reuseDelayHalfLife is the time within which the reuse delay halves while no unrequested bytes come.
	reuseDelayHalfLife = time.Minute
)

// connectionReuse decides when a connection may carry its next request. A response does not name its request.
// If an endpoint, or a proxy in between, sends a second response late, it would be taken for the response to
// the next request on the connection: the client would get a wrong response, or the agent a false proof that
// the request did not run. A connection is therefore reused only after a delay within which such bytes would
// have come, and they show on the idle connection. The delay grows with the times after which they came.
type connectionReuse struct {
	delay     time.Duration // reuse delay at the time updatedAt; 0: minReuseDelay
	updatedAt time.Duration
}

// recordUnrequestedBytes records that unrequested bytes came after a connection had been idle for a time.
func (c *connectionReuse) recordUnrequestedBytes(now, idle time.Duration) {
	c.delay = max(c.currentDelay(now), time.Duration(reuseDelayMultiple*float64(idle)))
	c.updatedAt = now
}

// currentDelay returns the minimum time for which a connection must have been idle to be reused.
func (c *connectionReuse) currentDelay(now time.Duration) time.Duration {
	halvings := float64(now-c.updatedAt) / float64(reuseDelayHalfLife)
	return max(minReuseDelay, time.Duration(float64(c.delay)*math.Exp2(-halvings)))
}
