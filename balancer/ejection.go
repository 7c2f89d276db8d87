package balancer

import (
	"math"
	"time"
)

const (
	// maxEjectionLevel bounds the ejection level: the longest ejection is 2^(maxEjectionLevel-1) times the
	// first.
	maxEjectionLevel = 5.0
	// levelRecoveryPerServed is subtracted from the ejection level for each served attempt: four of them
	// offset one ejection.
	levelRecoveryPerServed = 0.25
	// classEjectionObjectives is the duration of the first ejection for one class, in objectives.
	classEjectionObjectives = 8.0
	// probationMultiple is the time from the start of an ejection until the endpoint may get non-idempotent
	// requests again, as a multiple of the duration of the ejection.
	probationMultiple = 2
)

// ejectionState holds the consecutive failures of one endpoint and its ejections.
type ejectionState struct {
	consecutiveFailures int
	firstFailureAt      time.Duration // time of the first of the consecutive failures
	isUnreachable       bool          // connections fail or break; see markUnreachable
	level               float64       // raised by each ejection, lowered by each served attempt
	ejectedAt           time.Duration
	ejectedUntil        time.Duration
	skippedUntil        time.Duration   // end of the short time for which the picker skips the endpoint
	byClass             []classEjection // ejections for single classes, by class index
}

// classEjection is the ejection of an endpoint for one class.
type classEjection struct {
	ejectedUntil time.Duration
	level        float64 // raised by each ejection, reset by a served attempt of the class
}

// eject ejects the endpoint for a number of objectives that doubles with each level, multiplied by jitter. At
// level 1 the number is 1.
func (e *ejectionState) eject(now, objective time.Duration, jitter float64) {
	e.level = min(e.level+1, maxEjectionLevel)
	objectives := math.Exp2(e.level-1) * jitter
	e.ejectedAt = now
	e.ejectedUntil = now + time.Duration(objectives*float64(objective))
}

// eject ejects the endpoint for the class, for a number of objectives that doubles with each level.
func (e *classEjection) eject(now, objective time.Duration) {
	e.level = min(e.level+1, maxEjectionLevel)
	objectives := classEjectionObjectives * math.Exp2(e.level-1)
	e.ejectedUntil = now + time.Duration(objectives*float64(objective))
}

// skipUntil makes the picker skip the endpoint until the given time.
func (e *ejectionState) skipUntil(until time.Duration) { e.skippedUntil = until }

// markUnreachable records that connections to the endpoint fail or break, after as many consecutive failures
// as eject it. The record is reset when the endpoint serves an attempt or restarts.
func (e *ejectionState) markUnreachable() { e.isUnreachable = true }

func (e *ejectionState) isEjected(now time.Duration) bool { return now < e.ejectedUntil }

// recordServed records a served attempt of a class.
func (e *ejectionState) recordServed(class *classStats) {
	e.isUnreachable = false
	e.consecutiveFailures = 0
	e.level = max(0, e.level-levelRecoveryPerServed)
	e.byClass[class.index] = classEjection{}
}

// recordFailure records a failed attempt and reports whether it is the first in a row.
func (e *ejectionState) recordFailure(now time.Duration) (isFirst bool) {
	e.consecutiveFailures++
	if e.consecutiveFailures > 1 {
		return false
	}
	e.firstFailureAt = now
	return true
}

// resetOnRestart ends the ejection, which applied to the previous process. Ejections for single classes stay.
func (e *ejectionState) resetOnRestart() {
	e.level, e.ejectedUntil, e.isUnreachable = 0, 0, false
}

// probationAllows reports whether an endpoint that recovers from an ejection may get a request of a class.
// Non-idempotent requests are allowed only when probationMultiple times the duration of the ejection has
// passed since its start.
func (e *ejectionState) probationAllows(class *classStats, now time.Duration) bool {
	if class.Idempotency != NotIdempotent {
		return true
	}
	duration := e.ejectedUntil - e.ejectedAt
	return now >= e.ejectedAt+probationMultiple*duration
}

// isHealthyFor reports whether an endpoint may get regular traffic of a class. After an ejection it gets one
// attempt at a time until its ejection level is 0.
func (ep *endpoint) isHealthyFor(class *classStats, now time.Duration) bool {
	e := &ep.ejection
	if e.isEjected(now) || ep.isUnresponsive(now) || now < e.byClass[class.index].ejectedUntil {
		return false
	}
	return e.level == 0 || e.probationAllows(class, now) && len(ep.inFlight) == 0
}
