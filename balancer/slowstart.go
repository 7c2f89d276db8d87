package balancer

import (
	"math"
	"time"
)

const (
	heavy = 2.0 // a cold backend gets no request of more than so many times the mean work
)

// start notes that a backend's process started at a time learned now.
func (b *Balancer) start(t *endpoint, at time.Duration) {
	t.warmFrom, t.cold, t.seen, t.slow, t.samples, t.linked = at, true, false, 0, 0, false
	t.turn = b.now + b.untilTurn(t, b.classes[0].latency)
}

// warmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) warmth(t *endpoint) float64 {
	if !t.cold {
		return 1
	}
	age := b.now - t.warmFrom
	if age >= b.s.SlowStart {
		t.cold = false
		return 1
	}
	return b.s.ColdCapacity + (1-b.s.ColdCapacity)*max(0, float64(age)/float64(b.s.SlowStart))
}

// coldRoom reports whether a cold backend may get this request. Its turns come at random times, at the rate
// of a warm one times warmth times the root of the stated multiple. A turn lapses after half a window: if
// turns were saved up, agents that each send little could together push the backend over.
func (b *Balancer) coldRoom(t *endpoint, r *request) bool {
	lapse := b.s.ColdOverloadWindow / 2
	if b.warmth(t) == 1 || lapse == 0 {
		return true
	}
	mean := b.classes[r.class].latency
	if t.turn+lapse <= b.now {
		t.turn = b.now - lapse + b.untilTurn(t, mean)
	}
	return t.turn <= b.now && b.expected(r) <= heavy*mean
}

// untilTurn draws how long a cold backend is left alone for so much work.
func (b *Balancer) untilTurn(t *endpoint, work float64) time.Duration {
	rate := max(b.decayed()/float64(b.s.ColdOverloadWindow+1), 1e-9)
	if b.warm == 0 { // no warm one to go by: its part of half the least limit, or nothing would ever go out
		rate = max(rate, floorPerBack/2/float64(b.s.Agents))
	}
	most := max(1, b.s.ColdOverloadMultiple)
	share := b.warmth(t) * min(math.Sqrt(most), most/1.5)
	return time.Duration(min(b.rng.ExpFloat64()*work/(share*rate), float64(b.s.SlowStart)))
}

// decayed is the work that a warm backend lately did for this balancer, over about one fall window. While
// none is warm it stays: it is what their like can do.
func (b *Balancer) decayed() float64 {
	if b.warm > 0 {
		b.doneWork *= math.Exp(-float64(b.now-b.doneAt) / float64(b.s.ColdOverloadWindow+1))
	}
	b.doneAt = b.now
	return b.doneWork
}
