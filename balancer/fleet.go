package balancer

import "time"

// fleetSummary sums up the endpoints. It is measured at the start of each step and after each endpoint list.
type fleetSummary struct {
	serving  int     // endpoints that are listed as serving
	warm     int     // of these, those whose warm-up was over before the measurement
	capacity float64 // usable endpoints, each counted by its warm-up fraction
	stalled  int     // attempts in flight that are overdue, or at endpoints that are not usable
}

// summarize measures the fleet. Unobserved endpoints are usable and warm: only their number counts, so that
// the cost does not grow with the fleet.
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

// activeInFlight is the number of attempts in flight that may still be served: those that the concurrency
// limit bounds. It is too low, even under zero, once stalled attempts have ended since the fleet was
// measured.
func (b *Balancer) activeInFlight() float64 { return float64(b.attemptsInFlight - b.fleet.stalled) }
