package discovery

import (
	"slices"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

// converter turns endpoint lists into the decision module's events. It is not safe for concurrent use.
type converter struct {
	zones  []string // in the order of the module's numbers
	kinds  []string
	starts *startTimes
}

// toEvent converts a list whose start times have been recorded.
func (c converter) toEvent(list endpoint.List, kind balancer.ListKind) balancer.EndpointList {
	event := balancer.EndpointList{Kind: kind, Endpoints: make([]balancer.Endpoint, 0, len(list.Entries))}
	for _, entry := range list.Entries {
		event.Endpoints = append(event.Endpoints, balancer.Endpoint{
			ID:        entry.ID,
			State:     entry.BalancerState(),
			Zone:      slices.Index(c.zones, entry.Zone),
			Cell:      entry.Cell,
			Kind:      slices.Index(c.kinds, entry.Kind),
			Weight:    entry.Weight,
			StartedAt: c.starts.startedAt(entry.ID),
		})
	}
	return event
}
