package balancer

import (
	"math"
	"time"
)

const (
	// maxEjectionLevel bounds the length of ejections: the longest is 2^(maxEjectionLevel-1) times the first.
	maxEjectionLevel = 5.0
	// levelRecoveryPerServed is the number of levels that a served attempt takes back: four make up for one
	// ejection.
	levelRecoveryPerServed = 0.25
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
	isUnreachable       bool          // connections failed or broke since it last served
	level               float64       // each ejection raises it, each served attempt lowers it
	ejectedAt           time.Duration
	ejectedUntil        time.Duration
	skippedUntil        time.Duration // it shed a request or refused a connection a moment ago
	byClass             []classEjection
}

// classEjection keeps an endpoint from the requests of one class.
type classEjection struct {
	ejectedUntil time.Duration
	level        float64 // as ejectionState.level, by time-outs of this class
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
	e.ejectedUntil = now + time.Duration(objectives*float64(objective))
}

// skipUntil keeps the endpoint from new attempts for a moment.
func (e *ejectionState) skipUntil(until time.Duration) { e.skippedUntil = until }

// markUnreachable notes that connections to the endpoint fail or break.
func (e *ejectionState) markUnreachable() { e.isUnreachable = true }

func (e *ejectionState) isEjected(now time.Duration) bool { return now < e.ejectedUntil }

// recordServed notes a served attempt of a class.
func (e *ejectionState) recordServed(class *classStats) {
	e.isUnreachable = false
	e.consecutiveFailures = 0
	e.level = max(0, e.level-levelRecoveryPerServed)
	e.byClass[class.index] = classEjection{}
}

// recordFailure notes a failed attempt and reports whether it is the first in a row.
func (e *ejectionState) recordFailure(now time.Duration) (isFirst bool) {
	e.consecutiveFailures++
	if e.consecutiveFailures > 1 {
		return false
	}
	e.firstFailureAt = now
	return true
}

// resetOnRestart ends the ejection, which was that of the process before, but not those for single classes.
func (e *ejectionState) resetOnRestart() {
	e.level, e.ejectedUntil, e.isUnreachable = 0, 0, false
}

// probationAllows reports whether an endpoint that recovers from an ejection may get a request of a class. A
// request that is not idempotent has to wait for as long again as the ejection took.
func (e *ejectionState) probationAllows(class *classStats, now time.Duration) bool {
	if class.Idempotency != NotIdempotent {
		return true
	}
	duration := e.ejectedUntil - e.ejectedAt
	return now >= e.ejectedAt+probationMultiple*duration
}

// isHealthyFor reports whether an endpoint may get a request of a class as ordinary traffic. After an
// ejection it gets one attempt at a time until it has recovered.
func (ep *endpoint) isHealthyFor(class *classStats, now time.Duration) bool {
	e := &ep.ejection
	if e.isEjected(now) || ep.isUnresponsive(now) || now < e.byClass[class.index].ejectedUntil {
		return false
	}
	return e.level == 0 || e.probationAllows(class, now) && len(ep.inFlight) == 0
}
