package balancer

import "time"

const (
	// clientRetryPriorityFactor is the priority of a client's retry against a first try: most of its objective has
	// passed.
	clientRetryPriorityFactor = 0.1
	// minRemainingLatencyShare is the share of the expected latency that must be left for a response to count as on
	// time.
	minRemainingLatencyShare = 0.5
	// minDemand keeps a division by the demand of all classes finite.
	minDemand = 1e-9
)

// updatePriorities sets what a unit of work that is spent on each class adds to the operator's goal. The goal
// is a weighted sum of the share of the priority that is served, and of the on-time share of the worst class;
// a unit of work is a nanosecond of an endpoint's time.
func updatePriorities(classes classList, settings *Settings) {
	demand := 0.0 // priority that arrived recently
	for _, class := range classes {
		demand += class.arrivals * class.Priority * unitsPerRequest(class, settings)
	}
	worst := classes.worst()
	goalWeight := settings.GoalOverall + settings.GoalWorstWindow
	for _, class := range classes {
		gain := goalWeight * class.Priority * unitsPerRequest(class, settings)
		class.goalGainPerWork = gain / class.meanLatencyNs / max(demand, minDemand)
		if class == worst { // one more request on time raises its share by one over those that arrived
			class.goalGainPerWork += settings.GoalWorstClass / (max(class.arrivals, 1) * class.meanLatencyNs)
		}
	}
}

// unitsPerRequest is what a request counts for in its class's priority: its work in nanoseconds, or 1.
func unitsPerRequest(class *classStats, settings *Settings) float64 {
	if settings.PriorityByWork {
		return class.meanLatencyNs
	}
	return 1
}

// priority is what a unit of work that is spent on a queued request adds to the operator's goal.
func (r *request) priority(now time.Duration) float64 {
	priority := r.class.goalGainPerWork
	if r.isClientRetry {
		priority *= clientRetryPriorityFactor
	}
	if r.objectiveAt-now < time.Duration(minRemainingLatencyShare*r.expectedLatencyNs()) {
		priority *= r.class.LatePriority
	}
	return priority
}
