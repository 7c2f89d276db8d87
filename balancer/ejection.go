package balancer

import (
	"math"
	"time"
)

const (
	// maxEjectionLevel bounds the length of ejections: the longest is 2^(maxEjectionLevel-1) times the first.
	maxEjectionLevel = 5.0
	// ejectionRecovery is the number of levels that a served attempt takes back: four make up for one
	// ejection.
	ejectionRecovery = 0.25
	// classEjectionObjectives is the length of the first ejection for one class, in objectives.
	classEjectionObjectives = 8.0
	// probationMultiple is how long after its ejection began an endpoint gets no request that is not
	// idempotent, in lengths of the ejection.
	probationMultiple = 2
)

// ejectionState is the health of one endpoint: failures in a row, and the ejections that came of them.
type ejectionState struct {
	consecutiveFailures int
	firstFailureAt      time.Duration // the first of these
	unreachable         bool          // connections failed or broke since it last served
	level               float64       // each ejection raises it, each served attempt lowers it
	ejectedAt           time.Duration
	ejectedUntil        time.Duration
	avoidedUntil        time.Duration // it shed a request or refused a connection a moment ago
	byClass             []classEjection
}

// classEjection keeps an endpoint from the requests of one class.
type classEjection struct {
	until time.Duration
	level float64 // as ejectionState.level, by time-outs of this class
}

// eject keeps the endpoint from all requests for a number of objectives that doubles with each level.
func (e *ejectionState) eject(now, objective time.Duration, jitter float64) {
	e.level = min(e.level+1, maxEjectionLevel)
	objectives := math.Exp2(e.level-1) * jitter
	e.ejectedAt = now
	e.ejectedUntil = now + time.Duration(objectives*float64(objective))
}

// eject keeps the endpoint from the class for a number of objectives that doubles with each level.
func (e *classEjection) eject(now, objective time.Duration) {
	e.level = min(e.level+1, maxEjectionLevel)
	objectives := classEjectionObjectives * math.Exp2(e.level-1)
	e.until = now + time.Duration(objectives*float64(objective))
}

// avoidUntil keeps the endpoint from new attempts for a moment.
func (e *ejectionState) avoidUntil(until time.Duration) { e.avoidedUntil = until }

// markUnreachable notes that connections to the endpoint fail or break.
func (e *ejectionState) markUnreachable() { e.unreachable = true }

func (e *ejectionState) isEjected(now time.Duration) bool { return now < e.ejectedUntil }

// observeServed notes a served attempt of a class.
func (e *ejectionState) observeServed(class *classStats) {
	e.unreachable = false
	e.consecutiveFailures = 0
	e.level = max(0, e.level-ejectionRecovery)
	e.byClass[class.index] = classEjection{}
}

// observeFailure notes a failed attempt and reports whether it is the first in a row.
func (e *ejectionState) observeFailure(now time.Duration) (isFirst bool) {
	e.consecutiveFailures++
	if e.consecutiveFailures > 1 {
		return false
	}
	e.firstFailureAt = now
	return true
}

// observeStart ends the ejection, which was that of the process before, but not those for single classes.
func (e *ejectionState) observeStart() {
	e.level, e.ejectedUntil, e.unreachable = 0, 0, false
}

// probationAllows reports whether an endpoint that recovers from an ejection may get a request of a class. A
// request that is not idempotent has to wait for as long again as the ejection took.
func (e *ejectionState) probationAllows(class *classStats, now time.Duration) bool {
	if class.Idempotency != NotIdempotent {
		return true
	}
	ejection := e.ejectedUntil - e.ejectedAt
	return now >= e.ejectedAt+probationMultiple*ejection
}

// isHealthyFor reports whether an endpoint may get a request of a class as ordinary traffic. After an
// ejection it gets one attempt at a time until it has recovered.
func (ep *endpoint) isHealthyFor(class *classStats, now time.Duration) bool {
	e := &ep.ejection
	if e.isEjected(now) || ep.isUnresponsive(now) || now < e.byClass[class.index].until {
		return false
	}
	return e.level == 0 || e.probationAllows(class, now) && len(ep.inFlight) == 0
}
