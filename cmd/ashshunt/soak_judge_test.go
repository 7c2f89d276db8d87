package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	strictSlack = 50 * time.Millisecond // of each time of the protocol
	looseSlack  = 3 * time.Second       // where the machine may be busy: what never happens is found all the same
	// lateAnswer is how long after its time an answer only earns nothing.
	lateAnswer = 500 * time.Millisecond
	// lateAttempt is how long after a client has left an attempt may begin.
	lateAttempt = 100 * time.Millisecond
	// budgetSlack is how much more than a client has left an attempt may tell.
	budgetSlack = 150 * time.Millisecond
	drainGrace  = 2 * time.Second
	// closeMoment is for how long a request may be on its way while the agent closes its connection.
	closeMoment = 50 * time.Millisecond
	// killMoment is how long before a kill a request may be on its way, and not taken.
	killMoment = 30 * time.Millisecond
)

// soakRequest is a request and what came of it.
type soakRequest struct {
	id, class  string
	timeout    time.Duration
	bodyLength int
	onKept     bool      // its connection had had a request before
	begunAt    time.Time // when its first byte was written
	sentAt     time.Time
	leftAt     time.Time // when its client left early

	// Guarded by the judge.
	answeredAt time.Time
	status     int
	unanswered bool // its connection ended without an answer
	endedAt    time.Time
	attempts   []*soakAttempt
}

// soakAttempt is a request as an endpoint got it.
type soakAttempt struct {
	endpoint   string
	cell       int
	begin, end time.Time // end is zero while it is out
	budget     time.Duration
	ran        bool
}

// soakJudge holds a run to the rules.
type soakJudge struct {
	t       *testing.T
	classes map[string]soakClass
	strict  bool
	slack   time.Duration

	mu       sync.Mutex // protects what follows, and requests
	requests map[string]*soakRequest
	kills    []time.Time
	breaks   []string
}

func newSoakJudge(t *testing.T, classes []soakClass, strict bool) *soakJudge {
	j := &soakJudge{t: t, classes: map[string]soakClass{}, strict: strict, slack: looseSlack, requests: map[string]*soakRequest{}}
	if strict {
		j.slack = strictSlack
	}
	for _, c := range classes {
		j.classes[c.name] = c
	}
	return j
}

// broken notes a broken rule.
func (j *soakJudge) broken(rule, what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breakLocked(rule, what)
}

func (j *soakJudge) breakLocked(rule, what string) { j.breaks = append(j.breaks, rule+": "+what) }

// logged notes a line of the agent's log that tells of an internal error. On a busy machine that may be a late answer.
func (j *soakJudge) logged(line string) {
	if j.strict || !strings.Contains(line, "no final answer by the deadline") {
		j.broken("log", line)
	}
}

func (j *soakJudge) killed(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.kills = append(j.kills, at)
}

func (j *soakJudge) sending(r *soakRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sentAt = time.Now()
	j.requests[r.id] = r
}

// sent notes that a request has been written whole. An attempt may have begun meanwhile.
func (j *soakJudge) sent(r *soakRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sentAt = time.Now()
}

// notTaken forgets a request that could not be written.
func (j *soakJudge) notTaken(r *soakRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(r.attempts) > 0 {
		j.breakLocked("lost", r.id+": forwarded, though it could not be written whole")
	}
	delete(j.requests, r.id)
}

func (j *soakJudge) answered(r *soakRequest, status int, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.answeredAt, r.status = time.Now(), status
	if status == http.StatusOK && body != "did "+r.id {
		j.breakLocked("lost", fmt.Sprintf("%s: served with %q", r.id, body))
	}
	if late := r.answeredAt.Sub(r.sentAt) - r.timeout; late > lateAnswer+j.slack {
		j.breakLocked("lost", fmt.Sprintf("%s: answered %v after its time", r.id, late))
	}
}

// closed notes that a connection ended without an answer, or that none came.
func (j *soakJudge) closed(r *soakRequest, never bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.unanswered, r.endedAt = true, time.Now()
	if never {
		j.breakLocked("lost", r.id+": never answered")
	}
}

// attempted notes an attempt. drainsSince is when the agent was notified that its endpoint drains, or zero.
func (j *soakJudge) attempted(id string, a *soakAttempt, drainsSince time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		j.breakLocked("attempt", id+" was never sent by a client")
		return
	}
	if !drainsSince.IsZero() && a.begin.Sub(drainsSince) > drainGrace+j.slack {
		j.breakLocked("drain", fmt.Sprintf("%s: %v after the notice", id, a.begin.Sub(drainsSince)))
	}
	left := r.sentAt.Add(r.timeout).Sub(a.begin)
	if a.budget > left+budgetSlack+j.slack {
		j.breakLocked("budget", fmt.Sprintf("%s: told %v with %v left", id, a.budget, left))
	}
	r.attempts = append(r.attempts, a)
}

func (j *soakJudge) ended(a *soakAttempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.end = time.Now()
}

// verdict judges all requests and fails the test for each broken rule.
func (j *soakJudge) verdict() {
	j.mu.Lock()
	defer j.mu.Unlock()
	statuses := map[int]int{}
	for _, r := range j.requests {
		statuses[r.status]++
		j.judgeAnswer(r)
		j.judgeAttempts(r)
	}
	j.t.Logf("%d requests by status: %v", len(j.requests), statuses)
	if len(j.requests) == 0 || statuses[http.StatusOK] == 0 {
		j.t.Error("nothing was served")
	}
	for _, text := range j.breaks {
		j.t.Error(text)
	}
}

// judgeAnswer checks that a request got its answer. A close that crosses a request which the agent has not read is
// allowed on a connection that had had one before; what was forwarded was read.
func (j *soakJudge) judgeAnswer(r *soakRequest) {
	crossed := r.onKept && len(r.attempts) == 0 && r.endedAt.Sub(r.begunAt) < closeMoment+j.slack
	if !r.unanswered || crossed && !j.openUntilKill(r) {
		return
	}
	if slices.ContainsFunc(j.kills, func(kill time.Time) bool { return kill.Sub(r.sentAt).Abs() < killMoment }) {
		return // it crossed the kill
	}
	j.breakLocked("lost", fmt.Sprintf("%s (%s, kept %v, %d attempts): its connection ended %v after it was sent",
		r.id, r.class, r.onKept, len(r.attempts), r.endedAt.Sub(r.sentAt)))
}

// openUntilKill reports whether a request's connection ended by a kill.
func (j *soakJudge) openUntilKill(r *soakRequest) bool {
	return slices.ContainsFunc(j.kills, func(kill time.Time) bool {
		since := r.endedAt.Sub(kill)
		return since >= 0 && since < killMoment
	})
}

// judgeAttempts checks that a request was repeated only as its class allows, and not after its end.
func (j *soakJudge) judgeAttempts(r *soakRequest) {
	class := j.classes[r.class]
	var first *soakAttempt // that may have run
	for i, a := range r.attempts {
		j.judgeTime(r, a)
		if i > 0 && (r.attempts[i-1].end.IsZero() || a.begin.Before(r.attempts[i-1].end.Add(-j.slack))) {
			j.breakLocked("duplicate", r.id+": two attempts were out")
		}
		if first != nil {
			j.judgeRepeat(r.id, class, first, a)
		} else if a.ran {
			first = a
		}
	}
	mayRunTwice := class.semantics == "repeatable" || class.semantics == "by_key" && class.group == "all"
	if r.status == http.StatusServiceUnavailable && first != nil && !mayRunTwice {
		j.breakLocked("duplicate", r.id+": rejected, though it may have run")
	}
}

// judgeTime checks that an attempt did not begin after its request's end.
func (j *soakJudge) judgeTime(r *soakRequest, a *soakAttempt) {
	if late := a.begin.Sub(r.leftAt); !r.leftAt.IsZero() && late > lateAttempt+j.slack {
		j.breakLocked("lost", fmt.Sprintf("%s: an attempt %v after its client left", r.id, late))
	}
	if late := a.begin.Sub(r.answeredAt); !r.answeredAt.IsZero() && late > j.slack {
		j.breakLocked("duplicate", fmt.Sprintf("%s: an attempt %v after its answer", r.id, late))
	}
}

// judgeRepeat checks an attempt of a request that may have run before.
func (j *soakJudge) judgeRepeat(id string, class soakClass, first, a *soakAttempt) {
	switch {
	case class.semantics == "once":
		j.breakLocked("duplicate", id+": may have run twice")
	case class.semantics != "by_key":
	case a.begin.Sub(first.begin) > class.window+j.slack:
		j.breakLocked("duplicate", fmt.Sprintf("%s: repeated after %v", id, a.begin.Sub(first.begin)))
	case class.group == "cell" && a.cell != first.cell:
		j.breakLocked("duplicate", id+": repeated in another cell")
	}
}
