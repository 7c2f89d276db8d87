package main

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// maxAttemptDelay is how long after the disconnect of its client an attempt may start.
	maxAttemptDelay = 100 * time.Millisecond
	// closeWindow is the maximum transit time of a request that crosses the agent's close of its connection.
	closeWindow = 50 * time.Millisecond
	// killWindow is the maximum time between a kill and the sending of a request that the agent has not read because of
	// the kill.
	killWindow = 30 * time.Millisecond
	// killEffect is how long after a kill a client that pauses may find its connection reset.
	killEffect = 500 * time.Millisecond
)

// verify verifies all recorded requests and fails the test for each violation.
func (v *soakVerifier) verify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.verifyRequestsLocked()
	for _, text := range v.violations {
		v.t.Error(text)
	}
}

// logViolations verifies all recorded requests and logs the number of violations of each kind.
func (v *soakVerifier) logViolations() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.verifyRequestsLocked()
	counts := map[string]int{}
	for _, text := range v.violations {
		counts[requestIDPattern.ReplaceAllString(text, "ID")]++
	}
	for text, count := range counts {
		v.t.Logf("%d times: %s", count, text)
	}
}

// requestIDPattern matches the ID of a request, and numbers, in the text of a violation.
var requestIDPattern = regexp.MustCompile(`[0-9a-f]{16}|stray|[0-9][0-9.]*(ms|s|µs)`)

// verifyRequestsLocked records the violations of all requests. The caller holds the mutex.
func (v *soakVerifier) verifyRequestsLocked() {
	statuses := map[int]int{}
	for _, r := range v.requests {
		statuses[r.status]++
		if !r.resetAt.IsZero() && !v.isNearKillLocked(r.resetAt) {
			v.recordViolationLocked(ruleResponse, fmt.Sprintf("%s: reset behind the response %d", r.id, r.status))
		}
		if r.isCut {
			v.verifyCut(r)
		} else {
			v.verifyResponse(r)
		}
		v.verifyAttempts(r)
	}
	for _, r := range v.invalid {
		v.verifyInvalidLocked(r)
	}
	if v.strict {
		v.verifyFinalAnswersLocked()
	}
	v.t.Logf("%d requests by status: %v", len(v.requests), statuses)
	if len(v.requests) == 0 || statuses[http.StatusOK] == 0 {
		v.t.Error("got no served requests, want some")
	}
}

// verifyInvalidLocked verifies that the client of an invalid request got its error, or the end of its connection,
// within maxInvalidDuration of the time for which the agent's process was not stopped. The caller holds the mutex.
func (v *soakVerifier) verifyInvalidLocked(r invalidRequest) {
	elapsed, stalled := r.endedAt.Sub(r.startedAt), v.stalledLocked(r.startedAt, r.endedAt)
	if elapsed-stalled > maxInvalidDuration+v.slack {
		v.recordViolationLocked(ruleInvalid,
			fmt.Sprintf("%q: closed after %v, of which the agent was stopped for %v", r.text, elapsed, stalled))
	}
}

// verifyFinalAnswersLocked verifies that each line of the log that reports a missing final answer was written at the
// end of a stall. The caller holds the mutex.
func (v *soakVerifier) verifyFinalAnswersLocked() {
	for _, line := range v.unanswered {
		text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
		at, err := time.Parse(time.RFC3339, text)
		sinceStall := v.sinceStallLocked(at)
		if err != nil || sinceStall > stallEffect {
			v.recordViolationLocked(ruleLog, fmt.Sprintf("%s: %v after the end of a stall", line, sinceStall))
		}
	}
}

// sinceStallLocked returns the time since the end of the last stall that started before at; it is negative during a
// stall. The caller holds the mutex.
func (v *soakVerifier) sinceStallLocked(at time.Time) time.Duration {
	since := time.Hour
	for _, s := range v.stalls {
		if !s.startedAt.After(at.Add(time.Millisecond)) { // the log has milliseconds
			since = min(since, at.Sub(s.endedAt))
		}
	}
	return since
}

// stalledLocked returns how long the agent's process was stopped within an interval. The caller holds the mutex.
func (v *soakVerifier) stalledLocked(from, to time.Time) time.Duration {
	total := time.Duration(0)
	for _, s := range v.stalls {
		start, end := s.startedAt, s.endedAt
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		total += max(0, end.Sub(start))
	}
	return total
}

// verifyResponse verifies that a request got its response. The agent may close a reused connection while the next
// request is in transit, but not after it has read the request. A forwarded request has been read.
func (v *soakVerifier) verifyResponse(r *soakRequest) {
	crossedClose := r.reusedConnection && len(r.attempts) == 0 && r.closedAt.Sub(r.firstByteAt) < closeWindow+v.slack
	shutUnread := r.mayBeShutUnread && len(r.attempts) == 0 && r.status == 0
	if !r.closed || (crossedClose || shutUnread) && !v.closedByKill(r) {
		return
	}
	if slices.ContainsFunc(v.kills, func(kill time.Time) bool { return kill.Sub(r.sentAt).Abs() < killWindow }) {
		return // the request crossed the kill
	}
	v.recordViolationLocked(ruleResponse, fmt.Sprintf(
		"%s (class %s, reused connection %v, %d attempts): the connection ended %v after the request was sent",
		r.id, r.class, r.reusedConnection, len(r.attempts), r.closedAt.Sub(r.sentAt)))
}

// closedByKill reports whether a request's connection was closed by a kill.
func (v *soakVerifier) closedByKill(r *soakRequest) bool {
	return slices.ContainsFunc(v.kills, func(kill time.Time) bool {
		since := r.closedAt.Sub(kill)
		return since >= 0 && since < killWindow
	})
}

// verifyAttempts verifies that a request was repeated only as its class allows, and not after it was finished.
func (v *soakVerifier) verifyAttempts(r *soakRequest) {
	class := v.classes[r.class]
	var first *soakAttempt // the first attempt that may have run
	for i, a := range r.attempts {
		v.verifyAttemptStart(r, a)
		if i > 0 && overlaps(r.attempts[i-1], a, v.slack) {
			v.recordViolationLocked(ruleDuplicate, r.id+": two attempts were in flight at the same time")
		}
		if first != nil {
			v.verifyRepeat(r.id, class, first, a)
		} else if a.mayHaveRun {
			first = a
		}
	}
	if r.status == http.StatusServiceUnavailable && first != nil && !class.isRepeatableAnywhere() {
		v.recordViolationLocked(ruleDuplicate, r.id+": rejected although it may have run")
	}
}

// overlaps reports whether the later of two attempts started before the earlier one was finished.
func overlaps(earlier, later *soakAttempt, slack time.Duration) bool {
	return earlier.finishedAt.IsZero() || later.startedAt.Before(earlier.finishedAt.Add(-slack))
}

// isRepeatableAnywhere reports whether requests of the class may be repeated at any endpoint.
func (c soakClass) isRepeatableAnywhere() bool {
	return c.idempotency == semanticsIdempotent ||
		c.idempotency == semanticsIdempotentWithKey && c.dedupScope == dedupEverywhere
}

// verifyAttemptStart verifies that an attempt did not start after its request was finished.
func (v *soakVerifier) verifyAttemptStart(r *soakRequest, a *soakAttempt) {
	if late := a.startedAt.Sub(r.disconnectedAt); !r.disconnectedAt.IsZero() && late > maxAttemptDelay+v.slack {
		v.recordViolationLocked(ruleResponse, fmt.Sprintf("%s: attempt %v after the client's disconnect", r.id, late))
	}
	if late := a.startedAt.Sub(r.respondedAt); !r.respondedAt.IsZero() && late > v.slack {
		v.recordViolationLocked(ruleDuplicate, fmt.Sprintf("%s: attempt %v after the response", r.id, late))
	}
}

// verifyRepeat verifies that an attempt was allowed after first, the first attempt of its request that may have run.
func (v *soakVerifier) verifyRepeat(id string, class soakClass, first, a *soakAttempt) {
	switch {
	case class.idempotency == semanticsNotIdempotent:
		v.recordViolationLocked(ruleDuplicate, id+": repeated although it may have run and is not idempotent")
	case class.idempotency != semanticsIdempotentWithKey:
	case a.startedAt.Sub(first.startedAt) > class.dedupWindow+v.slack:
		v.recordViolationLocked(ruleDuplicate,
			fmt.Sprintf("%s: repeated after %v, beyond the deduplication window", id, a.startedAt.Sub(first.startedAt)))
	case class.dedupScope == dedupInCell && a.cell != first.cell:
		v.recordViolationLocked(ruleDuplicate, id+": repeated in another cell than its deduplication scope")
	}
}
