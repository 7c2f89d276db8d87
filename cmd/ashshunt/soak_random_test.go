package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// newLockedRand returns the generator of a run. The stream number separates it from other generators of the same seed.
func newLockedRand(seed int) *lockedRand {
	const stream = 3
	return &lockedRand{rng: rand.New(rand.NewPCG(uint64(seed), stream))}
}

// drawFloat draws a number from [0, 1).
func (r *lockedRand) drawFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// drawInt draws an integer from [0, bound).
func (r *lockedRand) drawInt(bound int) int { return int(r.drawFloat() * float64(bound)) }

// drawDuration draws a duration from [low, high).
func (r *lockedRand) drawDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.drawFloat()*float64(high-low))
}

// drawBool returns true with the given probability.
func (r *lockedRand) drawBool(probability float64) bool { return r.drawFloat() < probability }
