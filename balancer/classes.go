package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	smoothing    = 0.1  // weight of a new sample in a running mean, about the last 20 samples
	maxWaitShare = 0.75 // of the aim: the most that either asks for, however heavy the request
	medianFactor = 0.7  // mean latencies within which half of the answers come: an exponential's median
)

type classState struct {
	Class
	meanLatency     float64       // running mean of served latency, ns
	latencyAt       time.Duration // when that last learnt
	newOnTime       float64       // share answered in time by backends outside the working set ...
	connectedOnTime float64       // ... and by those within
	currentPriority float64       // what a unit of work adds to the goal, in this step
	usualTimeout    time.Duration // the usual patience of a client's try
	meanWork        float64       // running mean of the expected work told with requests, ns
	arrived         float64       // decayed count of requests
	onTime          float64       // decayed count of requests answered within the aim
}

// share is the share of a class that was lately answered within its aim.
func (c *classState) onTimeShare() float64 { return (c.onTime + 1) / (c.arrived + 1) }

// value is what a unit of work spent on a class now adds to the operator's goal.
func (b *Balancer) classPriority(class int) float64 {
	total, worst, low := 0.0, -1, math.Inf(1)
	for i := range b.classes {
		c := &b.classes[i]
		total += c.arrived * c.Priority * b.workUnit(c)
		if share := c.onTimeShare(); share < low {
			worst, low = i, share
		}
	}
	c := &b.classes[class]
	v := (b.settings.WeightOverall + b.settings.WeightWorstWindow) * c.Priority * b.workUnit(c) /
		c.meanLatency / max(total, 1e-9)
	if class == worst {
		v += b.settings.WeightWorstClass / (max(c.arrived, 1) * c.meanLatency)
	}
	return v
}

func (b *Balancer) workUnit(c *classState) float64 {
	if b.settings.PriorityByWork {
		return c.meanLatency
	}
	return 1
}

// expected is the mean latency for a request of this class and told work.
func (b *Balancer) expectedLatency(r *request) float64 {
	c := &b.classes[r.class]
	if r.work > 0 && c.meanWork > 0 {
		return c.meanLatency * r.work / c.meanWork
	}
	return c.meanLatency
}

// need is the time of so many mean latencies of r, within bounds.
func (b *Balancer) boundedLatency(r *request, means float64) time.Duration {
	return time.Duration(min(means*b.expectedLatency(r), maxWaitShare*float64(b.classes[r.class].Objective)))
}

// hopeless reports whether an attempt that goes out then would likelier be in vain than answered before the
// client leaves.
func (b *Balancer) isTooLate(r *request, then time.Duration) bool {
	c := &b.classes[r.class]
	// What is known may be long past.
	known := b.now-c.latencyAt <= time.Duration(trafficWindow*float64(c.Objective))
	return then >= r.deadline || known && then+b.boundedLatency(r, medianFactor) >= r.deadline
}

func movingAverage(mean, sample float64) float64 {
	mean = cmp.Or(mean, sample)
	return mean + smoothing*(sample-mean)
}
