package balancer

import (
	"slices"
	"time"
)

// endpointSet holds the endpoints that are listed or still have attempts in flight.
type endpointSet struct {
	byID       map[string]*endpoint
	all        []*endpoint // in the order in which they were first listed
	observed   []*endpoint // in the order in which they became so; a step looks at each
	unobserved unobservedEndpoints
}

func newEndpointSet(ownZone int) endpointSet {
	return endpointSet{byID: map[string]*endpoint{}, unobserved: unobservedEndpoints{zone: ownZone}}
}

// add adds an endpoint that has just been listed.
func (s *endpointSet) add(ep *endpoint) {
	s.byID[ep.ID] = ep
	s.all = append(s.all, ep)
	s.unobserved.add(ep)
}

// markObserved moves an endpoint to those that each step looks at, before anything about it changes.
func (s *endpointSet) markObserved(ep *endpoint) {
	if ep.isObserved {
		return
	}
	s.unobserved.remove(ep)
	ep.isObserved = true
	s.observed = append(s.observed, ep)
}

// update takes over what the list now says of an endpoint.
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

// removeIfUnused drops an endpoint that was removed and has no attempt in flight. Such an endpoint is observed.
func (s *endpointSet) removeIfUnused(ep *endpoint) {
	if !ep.isUnused() {
		return
	}
	s.all = deleteEndpoint(s.all, ep)
	s.observed = deleteEndpoint(s.observed, ep)
	delete(s.byID, ep.ID)
}

// removeUnlisted removes the endpoints that a complete list does not name, in one pass.
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
		if ep.isUnused() {
			delete(s.byID, ep.ID)
		}
	}
	s.all = slices.DeleteFunc(s.all, (*endpoint).isUnused)
	s.observed = slices.DeleteFunc(s.observed, (*endpoint).isUnused)
}

// ejectedCount is the number of serving endpoints that are ejected.
func (s *endpointSet) ejectedCount(now time.Duration) int {
	count := 0
	for _, ep := range s.observed {
		if ep.State == Serving && ep.ejection.isEjected(now) {
			count++
		}
	}
	return count
}

// deleteEndpoint removes an endpoint, if it is there.
func deleteEndpoint(endpoints []*endpoint, ep *endpoint) []*endpoint {
	i := slices.Index(endpoints, ep)
	if i < 0 {
		return endpoints
	}
	return slices.Delete(endpoints, i, i+1)
}

// handleEndpointList applies an endpoint list, or the failure to get one.
func (b *Balancer) handleEndpointList(list EndpointList) {
	if delay, ok := b.subscriber.handleList(list.Kind); ok {
		b.timers.registerSubscribe(b.setTimer(delay))
	}
	if list.Kind.hasFailed() {
		return
	}
	for _, entry := range list.Endpoints {
		b.applyEntry(entry)
	}
	if list.Kind != ListDelta {
		b.endpoints.removeUnlisted(list.Endpoints)
	}
}

// applyEntry applies one entry of a list.
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
	b.endpoints.removeIfUnused(ep)
}
