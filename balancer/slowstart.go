package balancer

import (
	"math"
	"time"
)

const maxWarmingCost = 2.0 // mean latencies: no heavier request goes to an endpoint that warms up

func (b *Balancer) startWarmUp(ep *endpoint, at time.Duration) {
	b.touch(ep)
	ep.startedAt, ep.warmingUp, ep.hasServed, ep.connected = at, true, false, false
	ep.slowness, ep.slownessSamples = 0, 0
	ep.permitAt = b.now + b.drawPermitDelay(ep, b.classes[0].meanLatency)
}

// warmUpFraction is the share of its full capacity that an endpoint surely has by now.
func (b *Balancer) warmUpFraction(ep *endpoint) float64 {
	age := b.now - ep.startedAt
	if !ep.warmingUp || age >= b.settings.SlowStartDuration {
		ep.warmingUp = false
		return 1
	}
	least := b.settings.SlowStartMinCapacity
	return least + (1-least)*max(0, float64(age)/float64(b.settings.SlowStartDuration))
}

// hasSlowStartPermit reports whether an endpoint that warms up may get this request. A permit lapses after
// half a window: agents that each send little must not save them up and use them together.
func (b *Balancer) hasSlowStartPermit(ep *endpoint, r *request) bool {
	lapse := b.settings.SlowStartOverloadWindow / 2
	if b.warmUpFraction(ep) == 1 || lapse == 0 {
		return true
	}
	mean := r.class.meanLatency
	if ep.permitAt+lapse <= b.now {
		ep.permitAt = b.now - lapse + b.drawPermitDelay(ep, mean)
	}
	return ep.permitAt <= b.now && b.expectedLatency(r) <= maxWarmingCost*mean
}

// drawPermitDelay draws the time until the next permit of an endpoint that gets some work now, at the rate of
// a warm one, times the warm-up fraction, times the root of the allowed multiple.
func (b *Balancer) drawPermitDelay(ep *endpoint, work float64) time.Duration {
	rate := max(b.decayWarmWork()/float64(b.settings.SlowStartOverloadWindow+1), 1e-9)
	if b.fleet.warm == 0 { // nothing to go by: its part of half the least limit
		rate = max(rate, minLimitPerEndpoint/2/float64(b.settings.Agents))
	}
	multiple := max(1, b.settings.SlowStartOverloadMultiple)
	// Permits of one and a half windows may be used within one, since they lapse only after half a window.
	share := b.warmUpFraction(ep) * min(math.Sqrt(multiple), multiple/1.5)
	return time.Duration(min(b.rng.ExpFloat64()*work/(share*rate), float64(b.settings.SlowStartDuration)))
}

// decayWarmWork brings the recent work up to now. It stays while no endpoint is warm.
func (b *Balancer) decayWarmWork() float64 {
	if b.fleet.warm > 0 {
		window := float64(b.settings.SlowStartOverloadWindow + 1)
		b.warmWork *= math.Exp(-float64(b.now-b.warmWorkAt) / window)
	}
	b.warmWorkAt = b.now
	return b.warmWork
}
