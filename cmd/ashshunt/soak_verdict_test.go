package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// maxAttemptDelay is how long after its client has left an attempt may begin.
	maxAttemptDelay = 100 * time.Millisecond
	// closeWindow is how long a request may be on its way while the agent closes its connection.
	closeWindow = 50 * time.Millisecond
	// killWindow is how long around a kill a request may be on its way, and is not read.
	killWindow = 30 * time.Millisecond
)

// verify checks all requests, and fails the test for each violation.
func (v *soakVerifier) verify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	statuses := map[int]int{}
	for _, r := range v.requests {
		statuses[r.status]++
		v.verifyResponse(r)
		v.verifyAttempts(r)
	}
	v.t.Logf("%d requests by status: %v", len(v.requests), statuses)
	if len(v.requests) == 0 || statuses[http.StatusOK] == 0 {
		v.t.Error("nothing was served")
	}
	for _, text := range v.violations {
		v.t.Error(text)
	}
}

// verifyResponse checks that a request got its response. The agent may close a connection that had had a request before
// while the next one is on its way. A request that was forwarded had been read.
func (v *soakVerifier) verifyResponse(r *soakRequest) {
	crossedClose := r.reusedConnection && len(r.attempts) == 0 && r.closedAt.Sub(r.firstByteAt) < closeWindow+v.slack
	if !r.closed || crossedClose && !v.closedByKill(r) {
		return
	}
	if slices.ContainsFunc(v.kills, func(kill time.Time) bool { return kill.Sub(r.sentAt).Abs() < killWindow }) {
		return // it crossed the kill
	}
	v.recordViolationLocked(ruleResponse, fmt.Sprintf(
		"%s (%s, reused %v, %d attempts): its connection ended %v after it was sent",
		r.id, r.class, r.reusedConnection, len(r.attempts), r.closedAt.Sub(r.sentAt)))
}

// closedByKill reports whether a request's connection ended by a kill.
func (v *soakVerifier) closedByKill(r *soakRequest) bool {
	return slices.ContainsFunc(v.kills, func(kill time.Time) bool {
		since := r.closedAt.Sub(kill)
		return since >= 0 && since < killWindow
	})
}

// verifyAttempts checks that a request was repeated only as its class allows, and not after its end.
func (v *soakVerifier) verifyAttempts(r *soakRequest) {
	class := v.classes[r.class]
	var first *soakAttempt // that may have run
	for i, a := range r.attempts {
		v.verifyAttemptStart(r, a)
		if i > 0 && overlaps(r.attempts[i-1], a, v.slack) {
			v.recordViolationLocked(ruleDuplicate, r.id+": two attempts were in flight")
		}
		if first != nil {
			v.verifyRepeat(r.id, class, first, a)
		} else if a.mayHaveRun {
			first = a
		}
	}
	if r.status == http.StatusServiceUnavailable && first != nil && !class.isRepeatableAnywhere() {
		v.recordViolationLocked(ruleDuplicate, r.id+": rejected, though it may have run")
	}
}

// overlaps reports whether an attempt began before the one before it had ended.
func overlaps(earlier, later *soakAttempt, slack time.Duration) bool {
	return earlier.finishedAt.IsZero() || later.startedAt.Before(earlier.finishedAt.Add(-slack))
}

// isRepeatableAnywhere reports whether a request may be repeated anywhere.
func (c soakClass) isRepeatableAnywhere() bool {
	return c.idempotency == semanticsIdempotent || c.idempotency == semanticsIdempotentWithKey && c.dedupScope == dedupEverywhere
}

// verifyAttemptStart checks that an attempt did not begin after its request's end.
func (v *soakVerifier) verifyAttemptStart(r *soakRequest, a *soakAttempt) {
	if late := a.startedAt.Sub(r.disconnectedAt); !r.disconnectedAt.IsZero() && late > maxAttemptDelay+v.slack {
		v.recordViolationLocked(ruleResponse, fmt.Sprintf("%s: an attempt %v after its client left", r.id, late))
	}
	if late := a.startedAt.Sub(r.respondedAt); !r.respondedAt.IsZero() && late > v.slack {
		v.recordViolationLocked(ruleDuplicate, fmt.Sprintf("%s: an attempt %v after its response", r.id, late))
	}
}

// verifyRepeat checks an attempt of a request that may have run before.
func (v *soakVerifier) verifyRepeat(id string, class soakClass, first, a *soakAttempt) {
	switch {
	case class.idempotency == semanticsNotIdempotent:
		v.recordViolationLocked(ruleDuplicate, id+": may have run twice")
	case class.idempotency != semanticsIdempotentWithKey:
	case a.startedAt.Sub(first.startedAt) > class.dedupWindow+v.slack:
		v.recordViolationLocked(ruleDuplicate, fmt.Sprintf("%s: repeated after %v", id, a.startedAt.Sub(first.startedAt)))
	case class.dedupScope == dedupInCell && a.cell != first.cell:
		v.recordViolationLocked(ruleDuplicate, id+": repeated in another cell")
	}
}
