package balancer

import (
	"math"
	"time"
)

const (
	// trafficWindowObjectives is the time constant of decayed traffic counts, in objectives.
	trafficWindowObjectives = 20.0
	// excessAllowance is the number of requests that may be sent beyond the allowed multiple before they
	// count as excess.
	excessAllowance = 4.0
)

// trafficStats are counts of this agent's recent traffic, which decay exponentially.
type trafficStats struct {
	timeConstantNs float64 // time constant of the decay
	decayedAt      time.Duration
	sent           float64 // requests with a first attempt
	servedOnTime   float64 // requests served within their objective
	peakInFlight   float64 // decayed peak of the active attempts in flight, before each pick
}

func newTrafficStats(objective time.Duration) trafficStats {
	return trafficStats{timeConstantNs: trafficWindowObjectives * float64(objective)}
}

// decay brings the counts up to the time now.
func (t *trafficStats) decay(now time.Duration) {
	factor := math.Exp(-float64(now-t.decayedAt) / t.timeConstantNs)
	t.sent *= factor
	t.servedOnTime *= factor
	t.peakInFlight *= factor
	t.decayedAt = now
}

// recordInFlight notes the attempts in flight.
func (t *trafficStats) recordInFlight(attempts float64) {
	t.peakInFlight = max(t.peakInFlight, attempts)
}

// recordSent notes a request whose first attempt is being sent.
func (t *trafficStats) recordSent() { t.sent++ }

// recordServedOnTime notes a request that was served within its objective.
func (t *trafficStats) recordServedOnTime() { t.servedOnTime++ }

// revertSent takes back a request whose first attempt never left this machine.
func (t *trafficStats) revertSent() { t.sent = max(0, t.sent-1) }

// excessRequests is the number of requests sent beyond a multiple of those served on time, and beyond the
// allowance; negative: so many less.
func (t *trafficStats) excessRequests(sentPerOnTime float64) float64 {
	return t.sent - (sentPerOnTime*t.servedOnTime + excessAllowance)
}
