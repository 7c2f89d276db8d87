package balancer

import (
	"slices"
	"time"
)

// endpointSet holds the endpoints that are listed or still have attempts in flight.
type endpointSet struct {
	byID       map[string]*endpoint
	all        []*endpoint // in the order in which they were first listed
	observed   []*endpoint // in the order in which they became observed; each step iterates over them
	unobserved unobservedEndpoints
}

func newEndpointSet(ownZone int) endpointSet {
	return endpointSet{byID: map[string]*endpoint{}, unobserved: unobservedEndpoints{zone: ownZone}}
}

// add adds an endpoint that is new in the list.
func (s *endpointSet) add(ep *endpoint) {
	s.byID[ep.ID] = ep
	s.all = append(s.all, ep)
	s.unobserved.add(ep)
}

// markObserved moves an endpoint to the observed ones, which each step iterates over. It must be called
// before the state of the endpoint changes.
func (s *endpointSet) markObserved(ep *endpoint) {
	if ep.isObserved {
		return
	}
	s.unobserved.remove(ep)
	ep.isObserved = true
	s.observed = append(s.observed, ep)
}

// update replaces the list entry of an endpoint.
func (s *endpointSet) update(ep *endpoint, entry Endpoint) {
	needsReorder := !ep.isObserved && (entry.Zone != ep.Zone || entry.Weight != ep.Weight)
	if needsReorder {
		s.unobserved.remove(ep)
	}
	ep.Endpoint = entry
	if needsReorder {
		s.unobserved.add(ep)
	}
}

// deleteIfPossible deletes an endpoint if canBeDeleted holds for it. Such an endpoint is observed.
func (s *endpointSet) deleteIfPossible(ep *endpoint) {
	if !ep.canBeDeleted() {
		return
	}
	s.all = deleteEndpoint(s.all, ep)
	s.observed = deleteEndpoint(s.observed, ep)
	delete(s.byID, ep.ID)
}

// removeUnlisted marks the endpoints that a complete list does not contain as removed. It deletes those
// without attempts in flight, in one pass.
func (s *endpointSet) removeUnlisted(entries []Endpoint) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for _, ep := range s.all {
		if listed[ep.ID] {
			continue
		}
		s.markObserved(ep)
		ep.markRemoved()
		if ep.canBeDeleted() {
			delete(s.byID, ep.ID)
		}
	}
	s.all = slices.DeleteFunc(s.all, (*endpoint).canBeDeleted)
	s.observed = slices.DeleteFunc(s.observed, (*endpoint).canBeDeleted)
}

// ejectedCount returns the number of serving endpoints that are ejected.
func (s *endpointSet) ejectedCount(now time.Duration) int {
	count := 0
	for _, ep := range s.observed {
		if ep.State == Serving && ep.ejection.isEjected(now) {
			count++
		}
	}
	return count
}

// deleteEndpoint returns endpoints without ep.
func deleteEndpoint(endpoints []*endpoint, ep *endpoint) []*endpoint {
	i := slices.Index(endpoints, ep)
	if i < 0 {
		return endpoints
	}
	return slices.Delete(endpoints, i, i+1)
}

// handleEndpointList handles an endpoint list, or the failure to get one.
func (b *Balancer) handleEndpointList(list EndpointList) {
	if delay, ok := b.subscriber.handleList(list.Kind); ok {
		b.timers.setSubscribe(b.setTimer(delay))
	}
	if list.Kind.isFailure() {
		return
	}
	for _, entry := range list.Endpoints {
		b.applyEntry(entry)
	}
	if list.Kind != ListDelta {
		b.endpoints.removeUnlisted(list.Endpoints)
	}
}

// applyEntry applies one entry of an endpoint list. A later start time than before means that the endpoint's
// process was restarted.
func (b *Balancer) applyEntry(entry Endpoint) {
	ep := b.endpoints.byID[entry.ID]
	if ep == nil {
		if entry.State == Removed {
			return
		}
		ep = newEndpoint(entry, b.rng.ExpFloat64(), len(b.classes))
		b.endpoints.add(ep)
	}
	if entry.State != Serving {
		b.endpoints.markObserved(ep)
	}
	if entry.StartedAt > ep.StartedAt {
		b.handleEndpointStarted(ep, min(max(entry.StartedAt, ep.warmUp.startedAt), b.now))
		ep.ejection.resetOnRestart()
	}
	b.endpoints.update(ep, entry)
	ep.listedAt = b.now
	b.endpoints.deleteIfPossible(ep)
}
