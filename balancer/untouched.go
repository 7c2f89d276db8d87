package balancer

import (
	"cmp"
	"slices"
)

// untouchedEndpoints are the endpoints that serve and are as they were first listed. In a large fleet these
// are nearly all, and the cost of a pick must not grow with their number: they are kept in the order of their
// preference, those of this agent's zone apart from the others, since the price of crossing zones changes.
type untouchedEndpoints struct {
	ownZone, otherZones preferenceOrder
	largestSize         float64 // that any of them had
}

// preferenceOrder holds endpoints by their preference at equal zones, the least first.
type preferenceOrder []*endpoint

// orderKey is the preference of an untouched endpoint, but for the price of crossing zones.
func (ep *endpoint) orderKey() float64 { return ep.preference / ep.size() }

func (o *preferenceOrder) add(ep *endpoint) {
	position, _ := slices.BinarySearchFunc(*o, ep, comparePreference)
	*o = slices.Insert(*o, position, ep)
}

func (o *preferenceOrder) remove(ep *endpoint) {
	position, _ := slices.BinarySearchFunc(*o, ep, comparePreference)
	for ; position < len(*o); position++ { // equal keys are next to each other
		if (*o)[position] == ep {
			*o = slices.Delete(*o, position, position+1)
			return
		}
	}
}

func comparePreference(x, y *endpoint) int { return cmp.Compare(x.orderKey(), y.orderKey()) }

// orderOf is the order that an endpoint belongs to while it is untouched.
func (b *Balancer) orderOf(ep *endpoint) *preferenceOrder {
	if ep.Zone == b.settings.Zone {
		return &b.untouched.ownZone
	}
	return &b.untouched.otherZones
}

func (b *Balancer) addUntouched(ep *endpoint) {
	b.untouched.largestSize = max(b.untouched.largestSize, ep.size())
	b.orderOf(ep).add(ep)
}

// touch moves an endpoint of which something is learnt to those that are looked at one by one.
func (b *Balancer) touch(ep *endpoint) {
	if ep.touched {
		return
	}
	b.orderOf(ep).remove(ep)
	ep.touched = true
	b.touched = append(b.touched, ep)
}

// relist takes over what the list now says of an endpoint.
func (b *Balancer) relist(ep *endpoint, entry Endpoint) {
	// Another size or zone is another place in the order.
	moves := !ep.touched && (entry.Zone != ep.Zone || entry.Weight != ep.Weight)
	if moves {
		b.orderOf(ep).remove(ep)
	}
	ep.Endpoint = entry
	if moves {
		b.addUntouched(ep)
	}
}

func (u *untouchedEndpoints) count() int { return len(u.ownZone) + len(u.otherZones) }

// walk calls visit for the untouched endpoints in the order of their preference, which it passes on, until
// visit returns false.
func (u *untouchedEndpoints) walk(crossZoneFactor float64,
	visit func(ep *endpoint, preference float64) bool) {
	own, other := u.ownZone, u.otherZones
	for len(own)+len(other) > 0 {
		next, preference := &own, 0.0
		if len(own) > 0 {
			preference = own[0].orderKey()
		}
		if len(own) == 0 || len(other) > 0 && other[0].orderKey()*crossZoneFactor < preference {
			next, preference = &other, other[0].orderKey()*crossZoneFactor
		}
		ep := (*next)[0]
		*next = (*next)[1:]
		if !visit(ep, preference) {
			return
		}
	}
}
