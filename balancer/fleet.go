package balancer

import "time"

// fleetSummary summarizes the endpoints. It is updated at the start of each step and after each endpoint
// list.
type fleetSummary struct {
	serving  int     // endpoints listed as serving
	warm     int     // serving endpoints that were not warming up before this update
	capacity float64 // sum of the warm-up fractions of the usable endpoints
	stalled  int     // attempts in flight that are overdue, or at endpoints that are not usable
}

// summarize returns the summary of the endpoints. Unobserved endpoints are usable and warm, and only their
// number is needed, so that the cost does not grow with the fleet.
func (s *endpointSet) summarize(now time.Duration, slowStart *slowStart) fleetSummary {
	unobserved := s.unobserved.len()
	fleet := fleetSummary{serving: unobserved, warm: unobserved, capacity: float64(unobserved)}
	for _, ep := range s.observed {
		if ep.State == Serving {
			fleet.serving++
			if !ep.warmUp.isActive {
				fleet.warm++
			}
		}
		isUsable := ep.isUsable(now)
		if isUsable {
			fleet.capacity += slowStart.updateWarmUp(ep, now)
		}
		for _, a := range ep.inFlight {
			if !isUsable || a.isOverdue(now) {
				fleet.stalled++
			}
		}
	}
	return fleet
}

func (b *Balancer) updateFleet() { b.fleet = b.endpoints.summarize(b.now, &b.slowStart) }

// activeInFlight returns the number of attempts in flight that may still be served, which the concurrency
// limit bounds. It is too low, and may be negative, if stalled attempts have finished since the latest
// updateFleet.
func (b *Balancer) activeInFlight() float64 { return float64(b.inFlightCount - b.fleet.stalled) }
