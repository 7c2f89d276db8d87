package balancer

import (
	"errors"
	"fmt"
	"slices"
)

// StateSize counts what a Balancer keeps: requests, queued ones, timers, keys and attempts in flight.
func (b *Balancer) StateSize() int {
	n := len(b.requests) + b.queue.len() + len(b.timers.requests) + len(b.keyQueues.byKey) + len(b.keyQueues.quiet)
	for _, ep := range b.endpoints.all {
		n += len(ep.inFlight)
	}
	return n
}

// EndpointCount counts the endpoints that a Balancer keeps.
func (b *Balancer) EndpointCount() int {
	set := &b.endpoints
	return max(len(set.all), len(set.byID), len(set.observed)+set.unobserved.len())
}

// ValidateEndpointSet returns an error unless each endpoint is listed once, as observed or as unobserved, and
// the unobserved ones are in rank order.
func (b *Balancer) ValidateEndpointSet() error {
	set := &b.endpoints
	if len(set.all) != len(set.observed)+set.unobserved.len() || len(set.all) != len(set.byID) {
		return fmt.Errorf("%d endpoints, %d by ID, %d observed, %d unobserved", len(set.all),
			len(set.byID), len(set.observed), set.unobserved.len())
	}
	for _, ranked := range []rankedEndpoints{set.unobserved.ownZone, set.unobserved.otherZones} {
		if !slices.IsSortedFunc(ranked, compareUnobservedRank) {
			return errors.New("the unobserved endpoints are not in order")
		}
	}
	for _, ep := range set.all {
		list := []*endpoint(*set.unobserved.rankedListOf(ep))
		if ep.isObserved {
			list = set.observed
		} else if ep.State != Serving || len(ep.inFlight) > 0 || ep.warmUp.isActive {
			return fmt.Errorf("%s counts as unobserved", ep.ID)
		}
		if !slices.Contains(list, ep) {
			return fmt.Errorf("%s is not where it belongs", ep.ID)
		}
	}
	return nil
}

// EndpointsVisited counts the endpoints that a step and the pick for a new request look at one by one.
func (b *Balancer) EndpointsVisited() int {
	info := b.picker.newPickInfo(&request{class: b.classes[0]}, b.now, b.fleet, minSubsetSize)
	var candidates candidateSet
	b.picker.collectCandidates(&info, &candidates)
	return len(b.endpoints.observed) + len(candidates.members) + len(candidates.fallbacks)
}
