package balancer

import "time"

const (
	// clientRetryPriorityFactor is the priority of a client's retry, relative to a first try. It is low
	// because most of the objective has passed.
	clientRetryPriorityFactor = 0.1
	// minRemainingLatencyShare is the minimum time until the objective with which a request counts as on
	// time, as a share of its expected latency.
	minRemainingLatencyShare = 0.5
	// minDemand keeps the division by the demand of all classes finite.
	minDemand = 1e-9
)

// updatePriorities updates the goal gain per unit of work of each class. The operator's goal is a weighted
// sum of the share of all priority that is served, and of the on-time share of the worst class. A unit of
// work is one nanosecond of an endpoint's time.
func updatePriorities(classes classList, settings *Settings) {
	demand := 0.0 // sum of the priorities of recent requests
	for _, class := range classes {
		demand += class.arrivals * class.Priority * unitsPerRequest(class, settings)
	}
	worst := classes.worst()
	goalWeight := settings.GoalOverall + settings.GoalWorstWindow
	for _, class := range classes {
		gain := goalWeight * class.Priority * unitsPerRequest(class, settings)
		class.goalGainPerWork = gain / class.meanLatencyNs / max(demand, minDemand)
		if class == worst { // one more request on time raises its on-time share by 1/arrivals
			class.goalGainPerWork += settings.GoalWorstClass / (max(class.arrivals, 1) * class.meanLatencyNs)
		}
	}
}

// unitsPerRequest returns how many times Class.Priority counts for one request: its mean latency in
// nanoseconds, an estimate of its work, if priorities are per unit of work, and 1 otherwise.
func unitsPerRequest(class *classStats, settings *Settings) float64 {
	if settings.PriorityByWork {
		return class.meanLatencyNs
	}
	return 1
}

// priority returns the expected gain in the operator's goal, per nanosecond of work, from serving the
// request.
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
