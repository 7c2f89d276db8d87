package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	double    = 2   // attempts that one gets before a connection to a further one is opened
	leastSet  = 2.0 // backends an agent keeps to, if its traffic needs no more: a choice ...
	spreadOut = 0.5 // ... and so many more for each attempt of the most that it had out lately
	stay      = 0.5 // place of a connected backend in its order, against what it would be else
	// Where keys draw the choice, backends outside the working set count alike while they answer in
	// time about as often; else some trouble is about, and those known to answer come first.
	trustGap    = 0.1
	crossWeight = 200.0 // an idle backend in another zone counts less by so many times the price of crossing
	crowdAt     = 1.15  // ... and above so many, zones are crossed freely ...
	backCap     = 3.0   // no backend holds more than so many mean shares of the limit
)

// choice is a backend that may be picked.
type choice struct {
	t          *endpoint
	load, slow float64
	weight     float64 // in a draw
	place      float64 // in this balancer's own order, the least first
}

// pick chooses a backend: one where this balancer has nothing in flight, at random; else the one with the
// fewest in flight; never the one that just failed unless it is the only one. nil: none may be used now.
func (b *Balancer) pick(r *request) *endpoint {
	mean, seen := 0.0, 0
	for _, t := range b.backends {
		if t.State == Serving && t.seen {
			mean += b.load(t)
			seen++
		}
	}
	mean /= float64(max(seen, 1))
	b.peak = max(b.peak, float64(b.inFlight-b.stuck))
	most := max(double, backCap*b.perBack/float64(b.s.Agents))
	crowded := b.now-b.cutAt <= b.s.SlowStart // then crossing is worth its price
	if b.sparse(1) {
		crowded = b.sent > crowdAt*b.inTime+throttleFree
	}
	trusted := b.s.CacheAffinity && b.classes[r.class].freshOK >= b.classes[r.class].knownOK-trustGap
	var few, last *endpoint
	far, least, mild := math.Inf(1), math.Inf(1), math.Inf(1)
	b.choices = b.choices[:0]
	for _, t := range b.backends {
		load := b.load(t)
		if t.State != Serving || !b.mayRepeat(r, t) || t == r.failed && b.up > 1 || b.now < t.fullTill ||
			load >= most || !b.coldRoom(t, r) {
			continue
		}
		if !b.healthy(t, r) {
			if m := t.strikes + b.rng.Float64() + load; m < mild {
				last, mild = t, m
			}
			continue
		}
		if !t.seen {
			load = mean // a new one gets no rush
		}
		// Departure: an even choice among idle backends would load slow ones as much as fast ones; each
		// counts by the inverse cube of its observed slowness. Acts when speeds differ.
		slow := b.slowness(t)
		w := cmp.Or(max(0, t.Weight), 1) * b.warmth(t) / (slow * slow * slow) // without sizes all are alike
		if t.Zone != b.s.Zone && !crowded {
			w /= 1 + crossWeight*b.s.CrossZonePrice
		}
		place := t.rank / w
		if b.isLinked(t) {
			place *= stay
		}
		b.choices = append(b.choices, choice{t, load, slow, w, place})
	}
	// Departure: an even choice among all idle backends would open a connection from every agent to every
	// one, which each takes only so many of. So an agent keeps to a working set: those first in an order
	// of its own, in which newcomers find a place like any other. Guards against backends that join, or
	// come back, while all agents are connected elsewhere: eleven of sixteen got nothing in five seconds.
	slices.SortFunc(b.choices, func(x, y choice) int { return cmp.Compare(x.place, y.place) })
	set := b.workingSet()
	var idle [3]*endpoint // in the set; connected outside of it; others
	first := [3]float64{far, far, far}
	for i, c := range b.choices {
		linked := b.isLinked(c.t)
		if c.load >= 1 && linked {
			// In-flight counts are weighed by slowness for the same reason.
			if score := (c.load + 1) * c.slow / b.warmth(c.t) * (1 + 0.01*b.rng.Float64()); score < least {
				few, least = c.t, score
			}
			continue
		}
		// Departure: where backends serve a key that they lately met with less work, the draw comes
		// from the key: all agents choose alike, with no word between them, among those idle.
		u := b.rng.Float64()
		if b.s.CacheAffinity && r.key != 0 {
			u = keyedDraw(c.t.hash, r.key)
		}
		kind := 2
		if float64(i) < set || trusted || c.t.cold && (linked || 2*set < float64(b.up)) { // not a wide one
			kind = 0
		} else if linked {
			kind = 1
		}
		if wait := -math.Log(max(u, 1e-12)) / c.weight; wait < first[kind] { // a choice by weight
			idle[kind], first[kind] = c.t, wait
		}
	}
	for kind, t := range idle {
		if t != nil && (kind < 2 || few == nil || b.load(few) >= double) {
			return t
		}
	}
	return cmp.Or(few, last) // the latter where all are ejected: a first attempt still goes out
}

// workingSet is how many backends this agent keeps connections to, if they answer well.
func (b *Balancer) workingSet() float64 { return leastSet + spreadOut*b.peak }

// isLinked reports whether t is in the working set: an attempt needs no new connection there.
func (b *Balancer) isLinked(t *endpoint) bool {
	return len(t.out) > 0 || t.linked && (b.s.IdleClose == 0 || b.now-t.usedAt < b.s.IdleClose)
}
