package balancer

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// unobservedEndpoints are the serving endpoints of which nothing is known but their entries in the list. In a
// large fleet these are nearly all, and the cost of a pick must not grow with their number: they are kept in
// the order of their weighted rank. Those of the agent's own zone are kept apart from the others, since the
// price of crossing zones changes.
type unobservedEndpoints struct {
	zone        int // the agent's own
	ownZone     rankOrder
	otherZones  rankOrder
	largestSize float64 // that any of them has had
}

// rankOrder holds endpoints in the order of their weighted rank, the least first.
type rankOrder []*endpoint

// unobservedRank is the weighted rank of an unobserved endpoint, without the price of crossing zones.
func (ep *endpoint) unobservedRank() float64 { return ep.rank / ep.size() }

// compareUnobserved orders unobserved endpoints by their rank.
func compareUnobserved(x, y *endpoint) int {
	return cmp.Compare(x.unobservedRank(), y.unobservedRank())
}

func (o *rankOrder) add(ep *endpoint) {
	position, _ := slices.BinarySearchFunc(*o, ep, compareUnobserved)
	*o = slices.Insert(*o, position, ep)
}

func (o *rankOrder) remove(ep *endpoint) {
	position, _ := slices.BinarySearchFunc(*o, ep, compareUnobserved)
	for ; position < len(*o); position++ { // endpoints of equal weighted rank are next to each other
		if (*o)[position] == ep {
			*o = slices.Delete(*o, position, position+1)
			return
		}
	}
}

// leastWeightedRank is the weighted rank of the first endpoint; infinite if there is none.
func (o rankOrder) leastWeightedRank() float64 {
	if len(o) == 0 {
		return math.Inf(1)
	}
	return o[0].unobservedRank()
}

func (u *unobservedEndpoints) len() int { return len(u.ownZone) + len(u.otherZones) }

// orderOf is the order that an endpoint belongs to while it is unobserved.
func (u *unobservedEndpoints) orderOf(ep *endpoint) *rankOrder {
	if ep.Zone == u.zone {
		return &u.ownZone
	}
	return &u.otherZones
}

func (u *unobservedEndpoints) add(ep *endpoint) {
	u.largestSize = max(u.largestSize, ep.size())
	u.orderOf(ep).add(ep)
}

func (u *unobservedEndpoints) remove(ep *endpoint) { u.orderOf(ep).remove(ep) }

// byWeightedRank yields the endpoints with their weighted ranks, the least first. crossZoneDivisor multiplies
// the weighted ranks of endpoints in other zones.
func (u *unobservedEndpoints) byWeightedRank(crossZoneDivisor float64) iter.Seq2[*endpoint, float64] {
	return func(yield func(*endpoint, float64) bool) {
		own, other := u.ownZone, u.otherZones
		for len(own)+len(other) > 0 {
			next, weightedRank := &own, own.leastWeightedRank()
			if least := other.leastWeightedRank() * crossZoneDivisor; len(own) == 0 || least < weightedRank {
				next, weightedRank = &other, least
			}
			ep := (*next)[0]
			*next = (*next)[1:]
			if !yield(ep, weightedRank) {
				return
			}
		}
	}
}
