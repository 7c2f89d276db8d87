package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smoothing is the weight of a new sample in a moving average: about the last 20 samples count.
	smoothing = 0.1
	// slowSmoothing is the weight of a new sample in a moving average that has to change slowly.
	slowSmoothing = smoothing / 10
	// arrivalDecay is the share that decayed counts lose with each arrival: the last few hundred arrivals
	// count.
	arrivalDecay = smoothing / 20

	// initialLatencyShare is the mean latency before any response, as a share of the objective.
	initialLatencyShare = 0.25
	// medianOverMeanLatency is the median latency over the mean latency, as in an exponential distribution.
	medianOverMeanLatency = 0.7
	// maxResponseShare is the most time that is set aside for a response, as a share of the objective.
	maxResponseShare = 0.75
	// significantOnTimeGap is the least difference between two on-time shares that does not count as chance.
	significantOnTimeGap = 0.1

	// retryTimeoutTicks is the deviation from the median timeout, in ticks, that identifies a client's retry.
	retryTimeoutTicks = 2
	// timeoutStepsPerTick divides a tick into the steps by which the median timeout changes.
	timeoutStepsPerTick = 4
)

// classStats is a class of requests and what has been learned of its requests.
type classStats struct {
	Class
	index                   int           // position in Settings.Classes
	meanLatencyNs           float64       // of served requests
	latencyUpdatedAt        time.Duration // when meanLatencyNs was last updated
	meanWorkNs              float64       // of the requests that tell their expected work
	medianTimeout           time.Duration // of clients' first tries
	arrivals                float64       // decayed count of requests
	servedOnTime            float64       // decayed count of requests served within their objective
	newConnOnTimeShare      float64       // share of attempts served on time over new connections
	existingConnOnTimeShare float64       // share of attempts served on time over existing connections
	goalGainPerWork         float64       // what a unit of work adds to the operator's goal, in this step
}

func newClassStats(class Class, index int) *classStats {
	return &classStats{
		Class:                   class,
		index:                   index,
		meanLatencyNs:           initialLatencyShare * float64(class.Objective),
		newConnOnTimeShare:      1,
		existingConnOnTimeShare: 1,
	}
}

// onTimeShare is the share of recent requests that were served within their objective.
func (c *classStats) onTimeShare() float64 { return (c.servedOnTime + 1) / (c.arrivals + 1) }

// updateTimeout updates the median timeout with that of a new request, and reports whether the request is a
// client's retry: clients give their first tries the same timeout, and their last try what is left of their
// deadline.
func (c *classStats) updateTimeout(timeout, tick time.Duration, markedRetry bool) (isRetry bool) {
	c.medianTimeout = cmp.Or(c.medianTimeout, timeout)
	difference := timeout - c.medianTimeout
	if !markedRetry {
		// Steps of constant size lead to the median.
		step := tick / timeoutStepsPerTick
		c.medianTimeout += min(max(difference, -step), step)
	}
	return difference.Abs() > retryTimeoutTicks*tick
}

// recordServedOnTime notes a request that was served within its objective.
func (c *classStats) recordServedOnTime() { c.servedOnTime++ }

// updateWork updates the mean work with that of a new request; 0: unknown.
func (c *classStats) updateWork(workNs float64) {
	if workNs > 0 {
		c.meanWorkNs = movingAverage(c.meanWorkNs, workNs)
	}
}

// updateLatency updates the mean latency with that of a served request, scaled to a request of mean work. It
// returns the deviation of the scaled latency from the mean, as a multiple of the mean.
func (c *classStats) updateLatency(now, latency time.Duration, workNs float64) (deviation float64) {
	sampleNs := float64(latency)
	if workNs > 0 && c.meanWorkNs > 0 {
		sampleNs *= c.meanWorkNs / workNs
	}
	deviation = sampleNs/c.meanLatencyNs - 1
	c.meanLatencyNs = movingAverage(c.meanLatencyNs, max(sampleNs, 1))
	c.latencyUpdatedAt = now
	return deviation
}

// updateOnTimeShares updates the shares of attempts on time, over new connections and over existing ones.
func (c *classStats) updateOnTimeShares(onTime, newConnection bool) {
	sample := 0.0
	if onTime {
		sample = 1
	}
	if newConnection {
		c.newConnOnTimeShare += smoothing * (sample - c.newConnOnTimeShare)
		return
	}
	c.existingConnOnTimeShare += smoothing * (sample - c.existingConnOnTimeShare)
	// New connections may be too rare to update their own share, which therefore follows the other slowly.
	c.newConnOnTimeShare += slowSmoothing * (sample - c.newConnOnTimeShare)
}

// hasOnTimeNewConnections reports whether attempts over new connections are served on time as often as
// others.
func (c *classStats) hasOnTimeNewConnections() bool {
	return c.newConnOnTimeShare >= c.existingConnOnTimeShare-significantOnTimeGap
}

// expectedLatencyNs is the expected latency of a request with the given expected work (0: unknown).
func (c *classStats) expectedLatencyNs(workNs float64) float64 {
	if workNs > 0 && c.meanWorkNs > 0 {
		return c.meanLatencyNs * workNs / c.meanWorkNs
	}
	return c.meanLatencyNs
}

// objectiveRatio is a latency over the objective.
func (c *classStats) objectiveRatio(latency time.Duration) float64 {
	return float64(latency) / float64(c.Objective)
}

// hasRecentLatency reports whether a latency was observed recently enough to predict the next ones.
func (c *classStats) hasRecentLatency(now time.Duration) bool {
	return now-c.latencyUpdatedAt <= time.Duration(trafficWindowObjectives*float64(c.Objective))
}

// classList holds all classes, in the order of the settings. There is at least one.
type classList []*classStats

// reference is the class whose objective and latency are the time scale of what concerns all classes.
func (l classList) reference() *classStats { return l[0] }

// recordArrival counts a request of a class.
func (l classList) recordArrival(class *classStats) {
	for _, c := range l {
		c.arrivals *= 1 - arrivalDecay
		c.servedOnTime *= 1 - arrivalDecay
	}
	class.arrivals++
}

// worst is the class with the lowest share of requests on time.
func (l classList) worst() *classStats { return slices.MinFunc(l, compareOnTimeShare) }

// best is the class with the highest share of requests on time.
func (l classList) best() *classStats { return slices.MaxFunc(l, compareOnTimeShare) }

func compareOnTimeShare(x, y *classStats) int { return cmp.Compare(x.onTimeShare(), y.onTimeShare()) }

// movingAverage returns the exponential moving average after a sample. A mean of 0 has had no sample yet.
func movingAverage(mean, sample float64) float64 {
	mean = cmp.Or(mean, sample)
	return mean + smoothing*(sample-mean)
}
