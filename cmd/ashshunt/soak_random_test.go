package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// newLockedRand returns the source of a run. The stream number keeps it apart from other sources of the same seed.
func newLockedRand(seed int) *lockedRand {
	const stream = 3
	return &lockedRand{rng: rand.New(rand.NewPCG(uint64(seed), stream))}
}

// float draws a number from [0, 1).
func (r *lockedRand) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// below draws a whole number from [0, bound).
func (r *lockedRand) below(bound int) int { return int(r.float() * float64(bound)) }

// between draws a time from [low, high).
func (r *lockedRand) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.float()*float64(high-low))
}

// chance is true with a probability.
func (r *lockedRand) chance(probability float64) bool { return r.float() < probability }
