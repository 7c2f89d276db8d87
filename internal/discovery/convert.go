package discovery

import (
	"slices"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

// converter converts endpoint lists to events of the decision module. It is not safe for concurrent use.
type converter struct {
	zones  []string // zone names; the index is the decision module's zone number
	kinds  []string // kind names; the index is the decision module's kind number
	starts *startTimes
}

// toEvent converts a list to an event. The start times of the list must have been recorded with starts.update before.
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
