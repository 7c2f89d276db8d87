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

// drawFloat draws a number from [0, 1).
func (r *lockedRand) drawFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// drawInt draws a whole number from [0, bound).
func (r *lockedRand) drawInt(bound int) int { return int(r.drawFloat() * float64(bound)) }

// drawDuration draws a time from [low, high).
func (r *lockedRand) drawDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.drawFloat()*float64(high-low))
}

// drawBool is true with a probability.
func (r *lockedRand) drawBool(probability float64) bool { return r.drawFloat() < probability }
