package membudget

import (
	"context"
	"sync"
)

// Reservation is memory that is reserved for one purpose, such as a request. It has one holder at first; each Hold adds
// one. The memory is released when all holders have called Release. A nil *Reservation reserves nothing and always
// succeeds. Reservation is safe for concurrent use.
type Reservation struct {
	budget *Budget

	mu      sync.Mutex // protects the fields below
	holders int
	amounts [kindCount]int64 // reserved bytes by kind
}

// NewReservation returns an empty reservation with one holder.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b, holders: 1} }

// TryGrow reserves n further bytes of a kind without waiting. It reports whether it did so.
func (r *Reservation) TryGrow(kind Kind, n int64) bool {
	if r == nil {
		return true
	}
	if !r.budget.pools[kind].tryReserve(n) {
		return false
	}
	r.add(kind, n)
	return true
}

// Grow reserves n further bytes of a kind. It waits for them until ctx is done, and then returns a *ShortageError.
func (r *Reservation) Grow(ctx context.Context, kind Kind, n int64) error {
	if r == nil {
		return nil
	}
	p := r.budget.pools[kind]
	if !p.tryReserve(n) {
		r.budget.logShortage(kind)
		if !p.reserve(ctx, n) {
			p.refused.Add(1)
			return &ShortageError{Kind: kind}
		}
	}
	r.add(kind, n)
	return nil
}

// add records n reserved bytes. If the reservation has no holder any more, they are released at once.
func (r *Reservation) add(kind Kind, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders == 0 {
		r.budget.pools[kind].release(n)
		return
	}
	r.amounts[kind] += n
}

// Shrink releases n of the reserved bytes of a kind, or all of them if they are fewer.
func (r *Reservation) Shrink(kind Kind, n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(n, r.amounts[kind])
	if n > 0 {
		r.amounts[kind] -= n
		r.budget.pools[kind].release(n)
	}
}

// Amount returns the number of reserved bytes of a kind.
func (r *Reservation) Amount(kind Kind) int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.amounts[kind]
}

// Hold adds a holder. The caller must be a holder itself.
func (r *Reservation) Hold() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders++
}

// Release ends the part of one holder. After the last one all memory is released. Further calls do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders > 0 {
		r.holders--
	}
	if r.holders > 0 {
		return
	}
	for kind, n := range r.amounts {
		if n > 0 {
			r.budget.pools[kind].release(n)
			r.amounts[kind] = 0
		}
	}
}
