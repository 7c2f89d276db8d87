package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// minDelayBound is the minimum value of backoff.baseDelay and backoff.maxDelay. A delay itself may be as low as 0.
	minDelayBound = 10 * time.Millisecond
	// drainGraceDivisor is the minimum ratio of the drain grace to backoff.maxDelay.
	drainGraceDivisor = 4
	// maxDoublings is the maximum number of times that the upper bound of the delay is doubled. All agents of a data
	// center may lose their watches at the same time.
	maxDoublings = 3
)

// backoff computes the delays before a watch is restarted: exponential backoff with full jitter. It is not safe for
// concurrent use.
type backoff struct {
	baseDelay time.Duration // upper bound of the first delay
	maxDelay  time.Duration // upper bound of all delays
	failures  int           // number of delays since the last reset
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

// next records a failure and returns the delay after it: a random number between 0 and baseDelay * 2^failures, at most
// maxDelay.
func (b *backoff) next() time.Duration {
	bound := min(b.baseDelay<<min(b.failures, maxDoublings), b.maxDelay)
	b.failures++
	return time.Duration(b.random.Float64() * float64(bound))
}

// reset resets the backoff after a success, so that the next delay is at most baseDelay.
func (b *backoff) reset() { b.failures = 0 }
