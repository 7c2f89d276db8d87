package balancer

import (
	"cmp"
	"math"
	"slices"
)

// maxDraws bounds the draws for one pick: each may meet an endpoint that is small, or that may not get the
// request.
const maxDraws = 50

// otherCandidate is a candidate that the pick does not look at by itself: neither in the subset nor
// connected.
type otherCandidate struct {
	endpoint *endpoint
	weight   float64 // in a random choice
}

// collectCandidates lists the endpoints that may get r. It returns the best of those that are ejected. Those
// of the subset and those that are connected become candidates, in the order of their preference. Of the
// others, which in a large fleet are nearly all, one is drawn only if the pick comes to that.
func (b *Balancer) collectCandidates(r *request, subset float64) (ejected *endpoint) {
	newcomerLoad, leastHarm := b.meanLoad(), math.Inf(1)
	maxLoad := max(fullLoad, maxEndpointShare*b.limit.perEndpoint/float64(b.settings.Agents))
	crossZoneFactor := b.crossZoneFactor()
	subsetSize := int(math.Ceil(subset))
	if b.settings.CacheAffinity { // a key draws from all endpoints
		subsetSize = len(b.endpoints)
	}
	b.candidates, b.connectedOthers, b.others = b.candidates[:0], b.connectedOthers[:0], b.others[:0]
	for _, ep := range b.touched {
		load, slowness := b.loadAndSlowness(ep)
		if load >= maxLoad || !b.isEligible(r, ep) {
			continue
		}
		if !b.isHealthy(ep, r) {
			if harm := ep.ejectionLevel + b.rng.Float64() + load; harm < leastHarm {
				ejected, leastHarm = ep, harm
			}
			continue
		}
		if !ep.hasServed {
			load = newcomerLoad
		}
		b.addCandidate(b.newCandidate(ep, load, slowness, crossZoneFactor), subset, subsetSize)
	}
	b.untouched.walk(crossZoneFactor, func(ep *endpoint, preference float64) bool {
		full := len(b.candidates) >= subsetSize
		if full && preference >= b.candidates[len(b.candidates)-1].preference {
			return false // nor is any that follows in the subset
		}
		if b.mayAttempt(r, ep) {
			b.addCandidate(b.newCandidate(ep, newcomerLoad, 1, crossZoneFactor), subset, subsetSize)
		}
		return true
	})
	b.candidates = append(b.candidates, b.connectedOthers...)
	slices.SortFunc(b.candidates, compareCandidates)
	return ejected
}

func compareCandidates(x, y candidate) int { return cmp.Compare(x.preference, y.preference) }

// addCandidate adds a candidate to the subset, which holds the first few in the order of preference, or to
// those outside.
func (b *Balancer) addCandidate(c candidate, subset float64, subsetSize int) {
	if len(b.candidates) < subsetSize {
		b.candidates = append(b.candidates, c)
		if len(b.candidates) == subsetSize {
			slices.SortFunc(b.candidates, compareCandidates)
		}
		return
	}
	last := len(b.candidates) - 1
	if c.preference < b.candidates[last].preference {
		position, _ := slices.BinarySearchFunc(b.candidates, c, compareCandidates)
		displaced := b.candidates[last]
		copy(b.candidates[position+1:], b.candidates[position:last])
		b.candidates[position] = c
		c = displaced
	}
	ep := c.endpoint
	switch {
	case !ep.touched: // still to be found among those
	case b.isConnected(ep) || ep.warmingUp && b.warmingJoinSubset(subset):
		b.connectedOthers = append(b.connectedOthers, c)
	default:
		b.others = append(b.others, otherCandidate{ep, c.weight})
	}
}

// warmingJoinSubset reports whether endpoints that warm up belong to the subset without a connection: in a
// fleet that is large for its subset most agents would else never send to them.
func (b *Balancer) warmingJoinSubset(subset float64) bool { return 2*subset < float64(b.fleet.serving) }

// drawOther draws one of the candidates outside the subset that are not connected, by weight; nil: none was
// found.
func (b *Balancer) drawOther(r *request) *endpoint {
	touched := 0.0
	for _, other := range b.others {
		touched += other.weight
	}
	crossZoneFactor := b.crossZoneFactor()
	own := float64(len(b.untouched.ownZone)) * b.untouched.largestSize
	otherZones := float64(len(b.untouched.otherZones)) * b.untouched.largestSize / crossZoneFactor
	for range maxDraws {
		target := b.rng.Float64() * (touched + own + otherZones)
		switch {
		case target < touched:
			return b.otherAt(target)
		case target < touched+own:
			if ep := b.drawUntouched(r, b.untouched.ownZone); ep != nil {
				return ep
			}
		default:
			if ep := b.drawUntouched(r, b.untouched.otherZones); ep != nil {
				return ep
			}
		}
	}
	return nil
}

// otherAt returns the one of the others at which the sum of their weights reaches target.
func (b *Balancer) otherAt(target float64) *endpoint {
	for _, other := range b.others {
		if target -= other.weight; target < 0 {
			return other.endpoint
		}
	}
	return b.others[len(b.others)-1].endpoint
}

// drawUntouched draws one of an order by size, or nil where it has to be drawn again.
func (b *Balancer) drawUntouched(r *request, order preferenceOrder) *endpoint {
	if len(order) == 0 {
		return nil
	}
	ep := order[b.rng.IntN(len(order))]
	if b.rng.Float64()*b.untouched.largestSize >= ep.size() || !b.mayAttempt(r, ep) {
		return nil
	}
	return ep
}
