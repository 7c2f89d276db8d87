package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// lateAttempt is how long after its client has left an attempt may begin.
	lateAttempt = 100 * time.Millisecond
	// closeWindow is how long a request may be on its way while the agent closes its connection.
	closeWindow = 50 * time.Millisecond
	// killWindow is how long around a kill a request may be on its way, and is not read.
	killWindow = 30 * time.Millisecond
)

// verdict checks all requests, and fails the test for each violation.
func (j *soakJudge) verdict() {
	j.mu.Lock()
	defer j.mu.Unlock()
	statuses := map[int]int{}
	for _, r := range j.requests {
		statuses[r.status]++
		j.checkResponse(r)
		j.checkAttempts(r)
	}
	j.t.Logf("%d requests by status: %v", len(j.requests), statuses)
	if len(j.requests) == 0 || statuses[http.StatusOK] == 0 {
		j.t.Error("nothing was served")
	}
	for _, text := range j.violations {
		j.t.Error(text)
	}
}

// checkResponse checks that a request got its response. The agent may close a connection that had had a request before
// while the next one is on its way. A request that was forwarded had been read.
func (j *soakJudge) checkResponse(r *soakRequest) {
	crossedClose := r.reusedConnection && len(r.attempts) == 0 && r.closedAt.Sub(r.firstByteAt) < closeWindow+j.slack
	if !r.closed || crossedClose && !j.closedByKill(r) {
		return
	}
	if slices.ContainsFunc(j.kills, func(kill time.Time) bool { return kill.Sub(r.sentAt).Abs() < killWindow }) {
		return // it crossed the kill
	}
	j.violatedLocked(ruleResponse, fmt.Sprintf(
		"%s (%s, reused %v, %d attempts): its connection ended %v after it was sent",
		r.id, r.class, r.reusedConnection, len(r.attempts), r.closedAt.Sub(r.sentAt)))
}

// closedByKill reports whether a request's connection ended by a kill.
func (j *soakJudge) closedByKill(r *soakRequest) bool {
	return slices.ContainsFunc(j.kills, func(kill time.Time) bool {
		since := r.closedAt.Sub(kill)
		return since >= 0 && since < killWindow
	})
}

// checkAttempts checks that a request was repeated only as its class allows, and not after its end.
func (j *soakJudge) checkAttempts(r *soakRequest) {
	class := j.classes[r.class]
	var first *soakAttempt // that may have run
	for i, a := range r.attempts {
		j.checkTime(r, a)
		if i > 0 && overlaps(r.attempts[i-1], a, j.slack) {
			j.violatedLocked(ruleDuplicate, r.id+": two attempts were in flight")
		}
		if first != nil {
			j.checkRepeat(r.id, class, first, a)
		} else if a.ran {
			first = a
		}
	}
	if r.status == http.StatusServiceUnavailable && first != nil && !class.mayRunTwice() {
		j.violatedLocked(ruleDuplicate, r.id+": rejected, though it may have run")
	}
}

// overlaps reports whether an attempt began before the one before it had ended.
func overlaps(earlier, later *soakAttempt, slack time.Duration) bool {
	return earlier.end.IsZero() || later.begin.Before(earlier.end.Add(-slack))
}

// mayRunTwice reports whether a request may be repeated anywhere.
func (c soakClass) mayRunTwice() bool {
	return c.idempotency == wordIdempotent || c.idempotency == wordWithKey && c.dedupScope == wordEverywhere
}

// checkTime checks that an attempt did not begin after its request's end.
func (j *soakJudge) checkTime(r *soakRequest, a *soakAttempt) {
	if late := a.begin.Sub(r.disconnectedAt); !r.disconnectedAt.IsZero() && late > lateAttempt+j.slack {
		j.violatedLocked(ruleResponse, fmt.Sprintf("%s: an attempt %v after its client left", r.id, late))
	}
	if late := a.begin.Sub(r.respondedAt); !r.respondedAt.IsZero() && late > j.slack {
		j.violatedLocked(ruleDuplicate, fmt.Sprintf("%s: an attempt %v after its response", r.id, late))
	}
}

// checkRepeat checks an attempt of a request that may have run before.
func (j *soakJudge) checkRepeat(id string, class soakClass, first, a *soakAttempt) {
	switch {
	case class.idempotency == wordNotIdempotent:
		j.violatedLocked(ruleDuplicate, id+": may have run twice")
	case class.idempotency != wordWithKey:
	case a.begin.Sub(first.begin) > class.dedupWindow+j.slack:
		j.violatedLocked(ruleDuplicate, fmt.Sprintf("%s: repeated after %v", id, a.begin.Sub(first.begin)))
	case class.dedupScope == wordInCell && a.cell != first.cell:
		j.violatedLocked(ruleDuplicate, id+": repeated in another cell")
	}
}
