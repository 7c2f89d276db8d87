package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smoothing is the weight of a new sample in a moving average, which covers about the last 20 samples.
	smoothing = 0.1
	// slowSmoothing is the weight of a new sample in a moving average that must change slowly.
	slowSmoothing = smoothing / 10
	// arrivalDecay is the share that decayed counts lose with each arrival. They cover the last few hundred
	// arrivals.
	arrivalDecay = smoothing / 20

	// initialLatencyShare is the initial mean latency of a class, as a share of its objective.
	initialLatencyShare = 0.25
	// medianOverMeanLatency is the ratio of median to mean latency, about that of an exponential
	// distribution.
	medianOverMeanLatency = 0.7
	// maxResponseShare is the maximum time reserved for a response, as a share of the objective.
	maxResponseShare = 0.75
	// significantOnTimeGap is the minimum difference between two on-time shares that counts as significant.
	significantOnTimeGap = 0.1

	// retryTimeoutTicks is the deviation from the median timeout, in ticks, above which a request counts as a
	// client's retry.
	retryTimeoutTicks = 2
	// timeoutStepsPerTick divides a tick into steps. Each request changes the median timeout by one step at
	// most.
	timeoutStepsPerTick = 4
)

// classStats holds the settings and the statistics of one class of requests.
type classStats struct {
	Class
	index                   int           // position in Settings.Classes
	meanLatencyNs           float64       // moving average of latencies, scaled to a request of mean work
	latencyUpdatedAt        time.Duration // time of the latest update of meanLatencyNs
	meanWorkNs              float64       // moving average of the expected work of requests; 0: none known
	medianTimeout           time.Duration // running estimate of the median timeout of first tries
	arrivals                float64       // decayed count of requests
	servedOnTime            float64       // decayed count of requests served within their objective
	newConnOnTimeShare      float64       // moving on-time share of attempts over new connections
	existingConnOnTimeShare float64       // moving on-time share of attempts over existing connections
	goalGainPerWork         float64       // gain in the operator's goal per nanosecond of work, in this step
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

// onTimeShare returns the share of recent requests that were served within their objective.
func (c *classStats) onTimeShare() float64 { return (c.servedOnTime + 1) / (c.arrivals + 1) }

// updateTimeout updates the median timeout with that of a new request. It reports whether the timeout
// identifies the request as a client's retry: clients give all first tries the same timeout, and a last try
// only the time left until their deadline.
func (c *classStats) updateTimeout(timeout, tick time.Duration, isMarkedRetry bool) (isRetry bool) {
	c.medianTimeout = cmp.Or(c.medianTimeout, timeout)
	difference := timeout - c.medianTimeout
	if !isMarkedRetry {
		// Steps of equal size in both directions converge to the median.
		step := tick / timeoutStepsPerTick
		c.medianTimeout += min(max(difference, -step), step)
	}
	return difference.Abs() > retryTimeoutTicks*tick
}

// recordServedOnTime counts a request that was served within its objective.
func (c *classStats) recordServedOnTime() { c.servedOnTime++ }

// updateWork updates the mean work with the expected work of a new request. 0 means unknown and is ignored.
func (c *classStats) updateWork(workNs float64) {
	if workNs > 0 {
		c.meanWorkNs = movingAverage(c.meanWorkNs, workNs)
	}
}

// updateLatency updates the mean latency with that of a served request, scaled to a request of mean work. It
// returns the deviation of the scaled latency from the previous mean, as a multiple of that mean.
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

// updateOnTimeShares updates the on-time shares of attempts over new and over existing connections.
func (c *classStats) updateOnTimeShares(isOnTime, usesNewConnection bool) {
	sample := 0.0
	if isOnTime {
		sample = 1
	}
	if usesNewConnection {
		c.newConnOnTimeShare += smoothing * (sample - c.newConnOnTimeShare)
		return
	}
	c.existingConnOnTimeShare += smoothing * (sample - c.existingConnOnTimeShare)
	// New connections may be too rare to keep their share current. Existing ones therefore update it too,
	// slowly.
	c.newConnOnTimeShare += slowSmoothing * (sample - c.newConnOnTimeShare)
}

// hasOnTimeNewConnections reports whether attempts over new connections are served on time about as often as
// attempts over existing ones.
func (c *classStats) hasOnTimeNewConnections() bool {
	return c.newConnOnTimeShare >= c.existingConnOnTimeShare-significantOnTimeGap
}

// expectedLatencyNs returns the expected latency of a request with the given expected work (0: unknown).
func (c *classStats) expectedLatencyNs(workNs float64) float64 {
	if workNs > 0 && c.meanWorkNs > 0 {
		return c.meanLatencyNs * workNs / c.meanWorkNs
	}
	return c.meanLatencyNs
}

// objectiveRatio returns a latency divided by the objective.
func (c *classStats) objectiveRatio(latency time.Duration) float64 {
	return float64(latency) / float64(c.Objective)
}

// hasRecentLatency reports whether the mean latency is recent enough to predict the next latencies.
func (c *classStats) hasRecentLatency(now time.Duration) bool {
	return now-c.latencyUpdatedAt <= time.Duration(trafficWindowObjectives*float64(c.Objective))
}

// classList holds all classes, in the order of Settings.Classes. It is never empty.
type classList []*classStats

// reference returns the class whose objective and latency are the time scale for state that all classes
// share.
func (l classList) reference() *classStats { return l[0] }

// recordArrival counts a new request of a class, and decays the counts of all classes.
func (l classList) recordArrival(class *classStats) {
	for _, c := range l {
		c.arrivals *= 1 - arrivalDecay
		c.servedOnTime *= 1 - arrivalDecay
	}
	class.arrivals++
}

// worst returns the class with the lowest on-time share.
func (l classList) worst() *classStats { return slices.MinFunc(l, compareOnTimeShare) }

// best returns the class with the highest on-time share.
func (l classList) best() *classStats { return slices.MaxFunc(l, compareOnTimeShare) }

func compareOnTimeShare(x, y *classStats) int { return cmp.Compare(x.onTimeShare(), y.onTimeShare()) }

// movingAverage returns the exponential moving average after one more sample. A mean of 0 means no sample
// yet.
func movingAverage(mean, sample float64) float64 {
	mean = cmp.Or(mean, sample)
	return mean + smoothing*(sample-mean)
}
