package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// minDelayBound is the minimum value of backoff.baseDelay and backoff.maxDelay, which are upper bounds of delays. A
	// delay itself may be as low as 0.
	minDelayBound = 10 * time.Millisecond
	// drainGraceDivisor is the number of maximum delays that must fit into the drain grace, unless minDelayBound is
	// higher than the resulting maximum.
	drainGraceDivisor = 4
	// maxDoublings is the maximum number of times that the upper bound of the delay is doubled. Delays grow because all
	// agents of a data center may lose their watches at the same time. The growth is bounded, here and by
	// backoff.maxDelay, because a change must be received before the drain grace expires.
	maxDoublings = 3
)

// backoff computes the delays between a failed watch and the next one: exponential backoff with full jitter. It is not
// safe for concurrent use.
type backoff struct {
	baseDelay time.Duration // upper bound of the first delay; also limited by maxDelay
	maxDelay  time.Duration // upper bound of all delays
	failures  int           // number of failures since the last reset
	random    *rand.Rand
}

// newBackoff returns a backoff whose base delay is the connect timeout. Its maximum delay is limited by the drain grace
// and by maxRestartDelay.
func newBackoff(connectTimeout, drainGrace time.Duration, seed uint64) backoff {
	return backoff{
		baseDelay: max(connectTimeout, minDelayBound),
		maxDelay:  min(max(drainGrace/drainGraceDivisor, minDelayBound), maxRestartDelay),
		random:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// next records a failure and returns the delay after it, a random duration between 0 and an upper bound. The bound is
// baseDelay after the first failure and doubles with each further one, at most maxDoublings times and up to maxDelay.
func (b *backoff) next() time.Duration {
	bound := min(b.baseDelay<<min(b.failures, maxDoublings), b.maxDelay)
	b.failures++
	return time.Duration(b.random.Float64() * float64(bound))
}

// reset resets the backoff after a success, so that the next delay is at most baseDelay.
func (b *backoff) reset() { b.failures = 0 }
