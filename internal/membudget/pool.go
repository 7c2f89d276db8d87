package membudget

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// pool is the memory of one kind. Reservations that wait get theirs in the order of their requests.
type pool struct {
	limit     int64
	available *semaphore.Weighted // one unit for each byte

	used, peak, refused, waiting atomic.Int64
}

func newPool(limit int64) *pool {
	return &pool{limit: limit, available: semaphore.NewWeighted(limit)}
}

// tryReserve reserves n bytes unless the pool has too few, or others wait for it.
func (p *pool) tryReserve(n int64) bool {
	if !p.available.TryAcquire(n) {
		return false
	}
	p.recordReserved(n)
	return true
}

// reserve reserves n bytes. It waits for them until ctx is done, and reports whether it has reserved them.
func (p *pool) reserve(ctx context.Context, n int64) bool {
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	if n > p.limit || p.available.Acquire(ctx, n) != nil {
		return false
	}
	p.recordReserved(n)
	return true
}

func (p *pool) recordReserved(n int64) {
	used := p.used.Add(n)
	for peak := p.peak.Load(); used > peak && !p.peak.CompareAndSwap(peak, used); peak = p.peak.Load() {
	}
}

func (p *pool) release(n int64) {
	p.used.Add(-n)
	p.available.Release(n)
}
