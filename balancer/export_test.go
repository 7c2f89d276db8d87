package balancer

import (
	"errors"
	"fmt"
	"slices"
)

// StateSize returns the number of objects that a Balancer keeps: requests, queued requests, timers, key
// queues and attempts in flight.
func (b *Balancer) StateSize() int {
	n := len(b.requests) + b.queue.len() + len(b.timers.requests) + len(b.keyQueues.byKey) + len(b.keyQueues.quiet)
	for _, ep := range b.endpoints.all {
		n += len(ep.inFlight)
	}
	return n
}

// EndpointCount returns the number of endpoints that a Balancer keeps.
func (b *Balancer) EndpointCount() int {
	set := &b.endpoints
	return max(len(set.all), len(set.byID), len(set.observed)+set.unobserved.len())
}

// ValidateEndpointSet returns an error unless each endpoint is either observed, or in the ranked list of its
// zone among the unobserved ones.
func (b *Balancer) ValidateEndpointSet() error {
	set := &b.endpoints
	if len(set.all) != len(set.observed)+set.unobserved.len() || len(set.all) != len(set.byID) {
		return fmt.Errorf("endpoint set has %d endpoints, %d by ID, %d observed, %d unobserved", len(set.all),
			len(set.byID), len(set.observed), set.unobserved.len())
	}
	for _, ranked := range []rankedEndpoints{set.unobserved.ownZone, set.unobserved.otherZones} {
		if !slices.IsSortedFunc(ranked, compareUnobservedRank) {
			return errors.New("the unobserved endpoints are not in the order of weighted rank")
		}
	}
	for _, ep := range set.all {
		list := []*endpoint(*set.unobserved.rankedListOf(ep))
		if ep.isObserved {
			list = set.observed
		} else if ep.State != Serving || len(ep.inFlight) > 0 || ep.warmUp.isActive {
			return fmt.Errorf("endpoint %s is unobserved, want it observed because of its state", ep.ID)
		}
		if !slices.Contains(list, ep) {
			return fmt.Errorf("endpoint %s is missing from its list of observed or unobserved endpoints", ep.ID)
		}
	}
	return nil
}

// EndpointsVisited returns the number of endpoints over which a step and the pick for a new request iterate.
func (b *Balancer) EndpointsVisited() int {
	info := b.picker.newPickInfo(&request{class: b.classes[0]}, b.now, b.fleet, minSubsetSize)
	var candidates candidateSet
	b.picker.collectCandidates(&info, &candidates)
	return len(b.endpoints.observed) + len(candidates.members) + len(candidates.fallbacks)
}
