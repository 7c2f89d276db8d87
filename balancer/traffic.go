package balancer

import (
	"math"
	"time"
)

const (
	// trafficWindowObjectives is the time constant of the exponential decay of traffic counts, in objectives.
	trafficWindowObjectives = 20.0
	// excessAllowance is the number of requests that may be sent above the allowed ratio before further ones
	// count as excess.
	excessAllowance = 4.0
)

// trafficStats holds exponentially decayed counts of this agent's recent traffic.
type trafficStats struct {
	timeConstantNs float64       // time constant of the exponential decay
	decayedAt      time.Duration // time up to which the counts are decayed
	sent           float64       // decayed count of requests with a first attempt
	servedOnTime   float64       // decayed count of requests served within their objective
	peakInFlight   float64       // decayed peak of activeInFlight, sampled before each pick
}

func newTrafficStats(objective time.Duration) trafficStats {
	return trafficStats{timeConstantNs: trafficWindowObjectives * float64(objective)}
}

// decay applies the decay up to now.
func (t *trafficStats) decay(now time.Duration) {
	factor := math.Exp(-float64(now-t.decayedAt) / t.timeConstantNs)
	t.sent *= factor
	t.servedOnTime *= factor
	t.peakInFlight *= factor
	t.decayedAt = now
}

// recordInFlight raises the recorded peak to a number of attempts in flight, if that is higher.
func (t *trafficStats) recordInFlight(attempts float64) {
	t.peakInFlight = max(t.peakInFlight, attempts)
}

// recordSent counts a request whose first attempt is being sent.
func (t *trafficStats) recordSent() { t.sent++ }

// recordServedOnTime counts a request that was served within its objective.
func (t *trafficStats) recordServedOnTime() { t.servedOnTime++ }

// revertSent reverts recordSent for a request whose first attempt never left this machine.
func (t *trafficStats) revertSent() { t.sent = max(0, t.sent-1) }

// excessRequests returns by how many the requests sent exceed the allowed number: sentPerOnTime times the
// requests served on time, plus excessAllowance. A negative result is the number that may still be sent.
func (t *trafficStats) excessRequests(sentPerOnTime float64) float64 {
	return t.sent - (sentPerOnTime*t.servedOnTime + excessAllowance)
}
