package balancer

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// unobservedEndpoints are the serving endpoints that are as they were first listed. In a large fleet these
// are nearly all, and the cost of a pick must not grow with their number: they are kept in the order of their
// preference. Those of the agent's own zone are kept apart from the others, since the price of crossing zones
// changes.
type unobservedEndpoints struct {
	zone        int // the agent's own
	ownZone     preferenceOrder
	otherZones  preferenceOrder
	largestSize float64 // that any of them has had
}

// preferenceOrder holds endpoints in the order of their preference, the least first.
type preferenceOrder []*endpoint

// unobservedPreference is the preference of an unobserved endpoint, without the price of crossing zones.
func (ep *endpoint) unobservedPreference() float64 { return ep.rank / ep.size() }

func compareUnobserved(x, y *endpoint) int {
	return cmp.Compare(x.unobservedPreference(), y.unobservedPreference())
}

func (o *preferenceOrder) add(ep *endpoint) {
	position, _ := slices.BinarySearchFunc(*o, ep, compareUnobserved)
	*o = slices.Insert(*o, position, ep)
}

func (o *preferenceOrder) remove(ep *endpoint) {
	position, _ := slices.BinarySearchFunc(*o, ep, compareUnobserved)
	for ; position < len(*o); position++ { // endpoints of equal preference are next to each other
		if (*o)[position] == ep {
			*o = slices.Delete(*o, position, position+1)
			return
		}
	}
}

// leastPreference is the preference of the first endpoint; infinite if there is none.
func (o preferenceOrder) leastPreference() float64 {
	if len(o) == 0 {
		return math.Inf(1)
	}
	return o[0].unobservedPreference()
}

func (u *unobservedEndpoints) len() int { return len(u.ownZone) + len(u.otherZones) }

// orderOf is the order that an endpoint belongs to while it is unobserved.
func (u *unobservedEndpoints) orderOf(ep *endpoint) *preferenceOrder {
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

// byPreference yields the endpoints with their preferences, the least first. crossZoneFactor multiplies the
// preferences of endpoints in other zones.
func (u *unobservedEndpoints) byPreference(crossZoneFactor float64) iter.Seq2[*endpoint, float64] {
	return func(yield func(*endpoint, float64) bool) {
		own, other := u.ownZone, u.otherZones
		for len(own)+len(other) > 0 {
			next, preference := &own, own.leastPreference()
			if least := other.leastPreference() * crossZoneFactor; len(own) == 0 || least < preference {
				next, preference = &other, least
			}
			ep := (*next)[0]
			*next = (*next)[1:]
			if !yield(ep, preference) {
				return
			}
		}
	}
}
