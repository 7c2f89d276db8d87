package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// minDelayBound is the lower bound of the backoff's unit and limit. Delays are drawn from zero on.
	minDelayBound = 10 * time.Millisecond
	// drainGraceDivisor is how many of the longest delays fit into the drain grace.
	drainGraceDivisor = 4
	// maxDoublings bounds the growth of the delay: all agents of a machine room lose their watches at once.
	maxDoublings = 3
)

// backoff gives the exponential, fully jittered delays before a watch is started again. It is not safe for concurrent
// use.
type backoff struct {
	baseDelay time.Duration // upper bound of the first delay
	maxDelay  time.Duration // upper bound of each delay
	failures  int           // watches that ended since one was last established
	random    *rand.Rand
}

// newBackoff returns a backoff whose delays start at the connect timeout.
func newBackoff(connectTimeout, drainGrace time.Duration, seed uint64) backoff {
	return backoff{
		baseDelay: max(connectTimeout, minDelayBound),
		maxDelay:  min(max(drainGrace/drainGraceDivisor, minDelayBound), maxRestartDelay),
		random:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// next returns the delay after one more failure: a random part of unit * 2^failures, bounded by limit.
func (b *backoff) next() time.Duration {
	bound := min(b.baseDelay<<min(b.failures, maxDoublings), b.maxDelay)
	b.failures++
	return time.Duration(b.random.Float64() * float64(bound))
}

// reset starts over, after a success.
func (b *backoff) reset() { b.failures = 0 }
