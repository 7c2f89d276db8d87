package balancer

import (
	"math"
	"time"
)

const (
	maxWarmingCost = 2.0 // a cold backend gets no request of more than so many times the mean work
)

// start notes that a backend's process started at a time learned now.
func (b *Balancer) startWarmUp(t *endpoint, at time.Duration) {
	t.startedAt, t.warmingUp, t.hasServed, t.slowness, t.slownessSamples, t.connected = at, true, false, 0,
		0, false
	t.permitAt = b.now + b.drawPermitDelay(t, b.classes[0].meanLatency)
}

// warmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) warmUpFraction(t *endpoint) float64 {
	if !t.warmingUp {
		return 1
	}
	age := b.now - t.startedAt
	if age >= b.settings.SlowStart {
		t.warmingUp = false
		return 1
	}
	return b.settings.ColdCapacity + (1-b.settings.ColdCapacity)*max(0,
		float64(age)/float64(b.settings.SlowStart))
}

// coldRoom reports whether a cold backend may get this request. Its turns come at random times, at the rate
// of a warm one times warmth times the root of the stated multiple. A turn lapses after half a window: if
// turns were saved up, agents that each send little could together push the backend over.
func (b *Balancer) hasSlowStartPermit(t *endpoint, r *request) bool {
	lapse := b.settings.ColdOverloadWindow / 2
	if b.warmUpFraction(t) == 1 || lapse == 0 {
		return true
	}
	mean := b.classes[r.class].meanLatency
	if t.permitAt+lapse <= b.now {
		t.permitAt = b.now - lapse + b.drawPermitDelay(t, mean)
	}
	return t.permitAt <= b.now && b.expectedLatency(r) <= maxWarmingCost*mean
}

// untilTurn draws how long a cold backend is left alone for so much work.
func (b *Balancer) drawPermitDelay(t *endpoint, work float64) time.Duration {
	rate := max(b.recentWarmWork()/float64(b.settings.ColdOverloadWindow+1), 1e-9)
	if b.warm == 0 { // no warm one to go by: its part of half the least limit, or nothing would ever go out
		rate = max(rate, minLimitPerEndpoint/2/float64(b.settings.Agents))
	}
	most := max(1, b.settings.ColdOverloadMultiple)
	share := b.warmUpFraction(t) * min(math.Sqrt(most), most/1.5)
	return time.Duration(min(b.rng.ExpFloat64()*work/(share*rate), float64(b.settings.SlowStart)))
}

// decayed is the work that a warm backend lately did for this balancer, over about one fall window. While
// none is warm it stays: it is what their like can do.
func (b *Balancer) recentWarmWork() float64 {
	if b.warm > 0 {
		b.warmWork *= math.Exp(-float64(b.now-b.warmWorkAt) / float64(b.settings.ColdOverloadWindow+1))
	}
	b.warmWorkAt = b.now
	return b.warmWork
}
