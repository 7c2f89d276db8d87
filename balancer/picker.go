package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	newConnectionLoad = 2   // attempts that one gets before a connection to a further one is opened
	minSubset         = 2.0 // backends an agent keeps to, if its traffic needs no more: a choice ...
	subsetPerAttempt  = 0.5 // ... and so many more for each attempt of the most that it had out lately
	connectedFactor   = 0.5 // place of a connected backend in its order, against what it would be else
	// A difference between two shares of requests answered in time that counts as real.
	significantGap = 0.1
	// an idle backend in another zone counts less by so many times the price of crossing
	crossZoneWeight  = 200.0
	crowdedRatio     = 1.15 // ... and above so many, zones are crossed freely ...
	maxEndpointShare = 3.0  // no backend holds more than so many mean shares of the limit
)

// choice is a backend that may be picked.
type candidate struct {
	endpoint       *endpoint
	load, slowness float64
	weight         float64 // in a draw
	preference     float64 // in this balancer's own order, the least first
}

// pick chooses a backend: one where this balancer has nothing in flight, at random; else the one with the
// fewest in flight; never the one that just failed unless it is the only one. nil: none may be used now.
func (b *Balancer) pick(r *request) *endpoint {
	mean, seen := 0.0, 0
	for _, t := range b.endpoints {
		if t.State == Serving && t.hasServed {
			mean += b.load(t)
			seen++
		}
	}
	mean /= float64(max(seen, 1))
	b.peakInFlight = max(b.peakInFlight, float64(b.inFlight-b.stalled))
	most := max(newConnectionLoad, maxEndpointShare*b.limitPerEndpoint/float64(b.settings.Agents))
	crowded := b.now-b.limitCutAt <= b.settings.SlowStart // then crossing is worth its price
	if b.minLimitBelow(1) {
		crowded = b.sentRecently > crowdedRatio*b.onTimeRecently+throttleAllowance
	}
	trusted := b.settings.CacheAffinity &&
		b.classes[r.class].newOnTime >= b.classes[r.class].connectedOnTime-significantGap
	var few, last *endpoint
	far, least, mild := math.Inf(1), math.Inf(1), math.Inf(1)
	b.candidates = b.candidates[:0]
	for _, t := range b.endpoints {
		load := b.load(t)
		if t.State != Serving || !b.mayAttempt(r, t) || t == r.lastFailed && b.serving > 1 ||
			b.now < t.rejectingUntil ||
			load >= most || !b.hasSlowStartPermit(t, r) {
			continue
		}
		if !b.isHealthy(t, r) {
			if m := t.ejectionLevel + b.rng.Float64() + load; m < mild {
				last, mild = t, m
			}
			continue
		}
		if !t.hasServed {
			load = mean // a new one gets no rush
		}
		// Each counts by the inverse cube of its observed slowness.
		slow := b.slowness(t)
		// without sizes all are alike
		w := cmp.Or(max(0, t.Weight), 1) * b.warmUpFraction(t) / (slow * slow * slow)
		if t.Zone != b.settings.Zone && !crowded {
			w /= 1 + crossZoneWeight*b.settings.CrossZonePrice
		}
		place := t.preference / w
		if b.isConnected(t) {
			place *= connectedFactor
		}
		b.candidates = append(b.candidates, candidate{t, load, slow, w, place})
	}
	// An agent keeps to a subset, so that not every agent opens a connection to every endpoint.
	slices.SortFunc(b.candidates, func(x, y candidate) int { return cmp.Compare(x.preference, y.preference) })
	set := b.subsetSize()
	var idle [3]*endpoint // in the set; connected outside of it; others
	first := [3]float64{far, far, far}
	for i, c := range b.candidates {
		linked := b.isConnected(c.endpoint)
		if c.load >= 1 && linked {
			if score := (c.load + 1) * c.slowness / b.warmUpFraction(c.endpoint) * (1 +
				0.01*b.rng.Float64()); score < least {
				few, least = c.endpoint, score
			}
			continue
		}
		// With cache affinity the draw comes from the key: all agents choose alike.
		u := b.rng.Float64()
		if b.settings.CacheAffinity && r.keyHash != 0 {
			u = keyedDraw(c.endpoint.hash, r.keyHash)
		}
		kind := 2
		// not a wide one
		if float64(i) < set || trusted || c.endpoint.warmingUp && (linked || 2*set < float64(b.serving)) {
			kind = 0
		} else if linked {
			kind = 1
		}
		if wait := -math.Log(max(u, 1e-12)) / c.weight; wait < first[kind] { // a choice by weight
			idle[kind], first[kind] = c.endpoint, wait
		}
	}
	for kind, t := range idle {
		if t != nil && (kind < 2 || few == nil || b.load(few) >= newConnectionLoad) {
			return t
		}
	}
	return cmp.Or(few, last) // the latter where all are ejected: a first attempt still goes out
}

// workingSet is how many backends this agent keeps connections to, if they answer well.
func (b *Balancer) subsetSize() float64 { return minSubset + subsetPerAttempt*b.peakInFlight }

// isLinked reports whether t is in the working set: an attempt needs no new connection there.
func (b *Balancer) isConnected(t *endpoint) bool {
	return len(t.inFlight) > 0 || t.connected && (b.settings.IdleClose == 0 ||
		b.now-t.connectionUsedAt < b.settings.IdleClose)
}
