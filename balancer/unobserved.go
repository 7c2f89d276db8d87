package balancer

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// unobservedEndpoints holds the serving endpoints of which the agent has only the list entry. In a large
// fleet these are nearly all endpoints, and the cost of a pick must not grow with their number. They are
// therefore kept in the order of weighted rank. The endpoints of the agent's own zone are kept apart from the
// others because the cross-zone divisor, which applies to the others only, changes with the load.
type unobservedEndpoints struct {
	zone       int // the agent's own zone
	ownZone    rankedEndpoints
	otherZones rankedEndpoints
	maxWeight  float64 // maximum listed weight among all endpoints added so far
}

// rankedEndpoints holds endpoints in ascending order of weighted rank.
type rankedEndpoints []*endpoint

// unobservedRank returns the weighted rank of an unobserved endpoint, without the cross-zone divisor.
func (ep *endpoint) unobservedRank() float64 { return ep.rank / ep.listedWeight() }

// compareUnobservedRank orders unobserved endpoints by weighted rank.
func compareUnobservedRank(x, y *endpoint) int {
	return cmp.Compare(x.unobservedRank(), y.unobservedRank())
}

func (r *rankedEndpoints) add(ep *endpoint) {
	position, _ := slices.BinarySearchFunc(*r, ep, compareUnobservedRank)
	*r = slices.Insert(*r, position, ep)
}

func (r *rankedEndpoints) remove(ep *endpoint) {
	position, _ := slices.BinarySearchFunc(*r, ep, compareUnobservedRank)
	for ; position < len(*r); position++ { // endpoints of equal weighted rank are adjacent
		if (*r)[position] == ep {
			*r = slices.Delete(*r, position, position+1)
			return
		}
	}
}

// minWeightedRank returns the weighted rank of the first endpoint, or +Inf if there is none.
func (r rankedEndpoints) minWeightedRank() float64 {
	if len(r) == 0 {
		return math.Inf(1)
	}
	return r[0].unobservedRank()
}

func (u *unobservedEndpoints) len() int { return len(u.ownZone) + len(u.otherZones) }

// rankedListOf returns the list that an endpoint belongs to while it is unobserved.
func (u *unobservedEndpoints) rankedListOf(ep *endpoint) *rankedEndpoints {
	if ep.Zone == u.zone {
		return &u.ownZone
	}
	return &u.otherZones
}

func (u *unobservedEndpoints) add(ep *endpoint) {
	u.maxWeight = max(u.maxWeight, ep.listedWeight())
	u.rankedListOf(ep).add(ep)
}

func (u *unobservedEndpoints) remove(ep *endpoint) { u.rankedListOf(ep).remove(ep) }

// byWeightedRank yields the endpoints and their weighted ranks in ascending order. crossZoneDivisor divides
// the weights of endpoints in other zones and so multiplies their weighted ranks.
func (u *unobservedEndpoints) byWeightedRank(crossZoneDivisor float64) iter.Seq2[*endpoint, float64] {
	return func(yield func(*endpoint, float64) bool) {
		own, other := u.ownZone, u.otherZones
		for len(own)+len(other) > 0 {
			next, weightedRank := &own, own.minWeightedRank()
			if otherRank := other.minWeightedRank() * crossZoneDivisor; len(own) == 0 ||
				otherRank < weightedRank {
				next, weightedRank = &other, otherRank
			}
			ep := (*next)[0]
			*next = (*next)[1:]
			if !yield(ep, weightedRank) {
				return
			}
		}
	}
}
