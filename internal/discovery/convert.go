package discovery

import (
	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
	"slices"
)

// converter returns the conversion of a listing to the module's event.
func converter(zones, kinds []string, clock clock.Clock) func(endpoint.List, balancer.ListKind) balancer.EndpointList {
	return func(l endpoint.List, kind balancer.ListKind) balancer.EndpointList {
		e := balancer.EndpointList{Kind: kind, Endpoints: make([]balancer.Endpoint, 0, len(l.Entries))}
		for _, s := range l.Entries {
			e.Endpoints = append(e.Endpoints, balancer.Endpoint{ID: s.ID, State: s.BalancerState(),
				Zone: slices.Index(zones, s.Zone), Cell: s.Cell, Kind: slices.Index(kinds, s.Kind),
				Weight: s.Weight, Started: clock.FromUnixMillis(s.StartedMs)})
		}
		return e
	}
}
