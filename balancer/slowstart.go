package balancer

import (
	"math"
	"time"
)

const (
	maxWarmingCost = 2.0 // a cold backend gets no request of more than so many times the mean work
)

// start notes that a backend's process started at a time learned now.
func (b *Balancer) startWarmUp(ep *endpoint, at time.Duration) {
	ep.startedAt, ep.warmingUp, ep.hasServed, ep.slowness, ep.slownessSamples, ep.connected = at, true, false, 0,
		0, false
	ep.permitAt = b.now + b.drawPermitDelay(ep, b.classes[0].meanLatency)
}

// warmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) warmUpFraction(ep *endpoint) float64 {
	if !ep.warmingUp {
		return 1
	}
	age := b.now - ep.startedAt
	if age >= b.settings.SlowStart {
		ep.warmingUp = false
		return 1
	}
	return b.settings.ColdCapacity + (1-b.settings.ColdCapacity)*max(0,
		float64(age)/float64(b.settings.SlowStart))
}

// coldRoom reports whether a cold backend may get this request. Its turns come at random times, at the rate
// of a warm one times warmth times the root of the stated multiple. A turn lapses after half a window: if
// turns were saved up, agents that each send little could together push the backend over.
func (b *Balancer) hasSlowStartPermit(ep *endpoint, r *request) bool {
	lapse := b.settings.ColdOverloadWindow / 2
	if b.warmUpFraction(ep) == 1 || lapse == 0 {
		return true
	}
	mean := r.class.meanLatency
	if ep.permitAt+lapse <= b.now {
		ep.permitAt = b.now - lapse + b.drawPermitDelay(ep, mean)
	}
	return ep.permitAt <= b.now && b.expectedLatency(r) <= maxWarmingCost*mean
}

// untilTurn draws how long a cold backend is left alone for so much work.
func (b *Balancer) drawPermitDelay(ep *endpoint, work float64) time.Duration {
	rate := max(b.decayWarmWork()/float64(b.settings.ColdOverloadWindow+1), 1e-9)
	if b.fleet.warm == 0 { // no warm one to go by: its part of half the least limit, or nothing would ever go out
		rate = max(rate, minLimitPerEndpoint/2/float64(b.settings.Agents))
	}
	most := max(1, b.settings.ColdOverloadMultiple)
	share := b.warmUpFraction(ep) * min(math.Sqrt(most), most/1.5)
	return time.Duration(min(b.rng.ExpFloat64()*work/(share*rate), float64(b.settings.SlowStart)))
}

// decayed is the work that a warm backend lately did for this balancer, over about one fall window. While
// none is warm it stays: it is what their like can do.
func (b *Balancer) decayWarmWork() float64 {
	if b.fleet.warm > 0 {
		b.warmWork *= math.Exp(-float64(b.now-b.warmWorkAt) / float64(b.settings.ColdOverloadWindow+1))
	}
	b.warmWorkAt = b.now
	return b.warmWork
}
