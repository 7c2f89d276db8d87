package balancer

import (
	"cmp"
	"time"
)

const (
	smoothing        = 0.1            // weight of a new sample in a moving average: about the last 20 count
	slowSmoothing    = smoothing / 10 // and in one that is to change slowly
	arrivalSmoothing = smoothing / 20 // decay of counts with each arrival: the last few hundred count
	significantGap   = 0.1            // a difference of on-time shares that is no chance
	medianFactor     = 0.7            // median over mean latency: that of an exponential distribution
	maxWaitShare     = 0.75           // of the objective: the most that is set aside for a response
)

// classState is a class and what was learnt of its requests.
type classState struct {
	Class
	index           int
	meanLatency     float64       // of served requests, ns
	latencyAt       time.Duration // when that was last updated
	meanWork        float64       // of the expected work of requests that tell it, ns
	usualTimeout    time.Duration // of a client's first try
	arrived, onTime float64       // decayed counts: requests, and those served within their objective
	newOnTime       float64       // share served within the objective over new connections ...
	connectedOnTime float64       // ... and at endpoints already connected
	currentPriority float64       // what a unit of work adds to the operator's goal, in this step
}

func (c *classState) onTimeShare() float64 { return (c.onTime + 1) / (c.arrived + 1) }

func compareOnTime(x, y *classState) int { return cmp.Compare(x.onTimeShare(), y.onTimeShare()) }

// observeArrival learns from a new request, and tells a client's retry by its time-out: a client gives its
// first tries a usual one, and its last one all that is left of its deadline.
func (b *Balancer) observeArrival(r *request, event Request) {
	r.class.usualTimeout = cmp.Or(r.class.usualTimeout, event.Timeout)
	difference, tick := event.Timeout-r.class.usualTimeout, b.settings.Tick
	if difference > 2*tick || difference < -2*tick {
		r.clientRetry = true
		r.objectiveAt -= max(0, r.class.Deadline-event.Timeout)
	}
	if !event.ClientRetry { // small steps lead to the median
		r.class.usualTimeout += min(max(difference, -tick/4), tick/4)
	}
	if r.work > 0 {
		r.class.meanWork = movingAverage(r.class.meanWork, r.work)
	}
	for _, class := range b.classes {
		class.arrived *= 1 - arrivalSmoothing
		class.onTime *= 1 - arrivalSmoothing
	}
	r.class.arrived++
}

func (b *Balancer) expectedLatency(r *request) float64 {
	if r.work > 0 && r.class.meanWork > 0 {
		return r.class.meanLatency * r.work / r.class.meanWork
	}
	return r.class.meanLatency
}

// responseTime is the time of so many expected latencies of r, bounded by its objective.
func (b *Balancer) responseTime(r *request, latencies float64) time.Duration {
	return time.Duration(min(latencies*b.expectedLatency(r), maxWaitShare*float64(r.class.Objective)))
}

// isTooLate reports whether an attempt sent then would likelier miss the deadline than meet it.
func (b *Balancer) isTooLate(r *request, then time.Duration) bool {
	known := b.now-r.class.latencyAt <= time.Duration(trafficWindow*float64(r.class.Objective))
	return then >= r.deadline || known && then+b.responseTime(r, medianFactor) >= r.deadline
}

func movingAverage(mean, sample float64) float64 {
	mean = cmp.Or(mean, sample)
	return mean + smoothing*(sample-mean)
}
