package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// rule names a rule that a run must keep.
type rule string

// The rules of a run.
const (
	ruleResponse   rule = "lost"           // a request gets its response, in time, and is not forwarded without need
	ruleDuplicate  rule = "duplicate"      // a request is repeated only as its class allows
	ruleAttempt    rule = "attempt"        // an attempt is a client's request
	ruleDrain      rule = "drain"          // a draining endpoint gets no attempt
	ruleTimeLeft   rule = "budget"         // an attempt has no more time than its client
	ruleIncomplete rule = "half a request" // a connection whose request does not come is closed
	ruleLog        rule = "log"            // there is no internal error
	ruleCrash      rule = "crash"          // the agent exits with status 0, or is killed
)

const (
	strictSlack = 50 * time.Millisecond // of each time of the protocol
	looseSlack  = 3 * time.Second       // on a busy machine: what never happens is still found

	// lateResponse is how long after its deadline a response only earns nothing.
	lateResponse = 500 * time.Millisecond
	// timeLeftSlack is how much more time than its client has an attempt may state.
	timeLeftSlack = 150 * time.Millisecond
	// drainGrace is how long after the notice a draining endpoint may still get attempts.
	drainGrace = 2 * time.Second
)

// soakRequest is a request and what came of it.
type soakRequest struct {
	id, class        string
	timeout          time.Duration
	bodyLength       int
	reusedConnection bool      // its connection had had a request before
	firstByteAt      time.Time // when its first byte was written
	sentAt           time.Time // when it was written whole; guarded by the judge
	disconnectedAt   time.Time // when its client left before the response

	// Guarded by the judge.

	respondedAt time.Time
	status      int
	closed      bool // its connection ended without a response
	closedAt    time.Time
	attempts    []*soakAttempt
}

// soakAttempt is a request as an endpoint got it.
type soakAttempt struct {
	endpoint   string
	cell       int
	begin, end time.Time     // end is zero while it is in flight
	timeLeft   time.Duration // of the client, as X-Budget-Ms states it
	ran        bool
}

// soakJudge records what happens in a run and checks it against the rules.
type soakJudge struct {
	t       *testing.T
	classes map[string]soakClass
	strict  bool // slack is strictSlack; the agent is killed
	slack   time.Duration

	mu         sync.Mutex // protects what follows, and requests
	requests   map[string]*soakRequest
	kills      []time.Time
	violations []string
}

func newSoakJudge(t *testing.T, classes []soakClass, strict bool) *soakJudge {
	t.Helper()
	j := &soakJudge{
		t:        t,
		classes:  map[string]soakClass{},
		strict:   strict,
		slack:    looseSlack,
		requests: map[string]*soakRequest{},
	}
	if strict {
		j.slack = strictSlack
	}
	for _, c := range classes {
		j.classes[c.name] = c
	}
	return j
}

// violated records that a rule was not kept.
func (j *soakJudge) violated(violated rule, details string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violatedLocked(violated, details)
}

// violatedLocked is violated for callers that hold the mutex.
func (j *soakJudge) violatedLocked(violated rule, details string) {
	j.violations = append(j.violations, string(violated)+": "+details)
}

// logged records a line of the agent's log with an internal error. On a busy machine that may be a late response.
func (j *soakJudge) logged(line string) {
	if j.strict || !strings.Contains(line, "no final answer by the deadline") {
		j.violated(ruleLog, line)
	}
}

// killed records that the agent was killed.
func (j *soakJudge) killed(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.kills = append(j.kills, at)
}

// sending records that the last part of a request is about to be written.
func (j *soakJudge) sending(r *soakRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sentAt = time.Now()
	j.requests[r.id] = r
}

// sent records that a request has been written whole. An attempt may have begun meanwhile.
func (j *soakJudge) sent(r *soakRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sentAt = time.Now()
}

// notSent drops a request that could not be written whole.
func (j *soakJudge) notSent(r *soakRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(r.attempts) > 0 {
		j.violatedLocked(ruleResponse, r.id+": forwarded, though it could not be written whole")
	}
	delete(j.requests, r.id)
}

// responded records the response to a request.
func (j *soakJudge) responded(r *soakRequest, status int, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.respondedAt, r.status = time.Now(), status
	if status == http.StatusOK && body != "did "+r.id {
		j.violatedLocked(ruleResponse, fmt.Sprintf("%s: served with %q", r.id, body))
	}
	if late := r.respondedAt.Sub(r.sentAt) - r.timeout; late > lateResponse+j.slack {
		j.violatedLocked(ruleResponse, fmt.Sprintf("%s: a response %v after its deadline", r.id, late))
	}
}

// closed records that a connection ended without a response, or that the client stopped waiting for one.
func (j *soakJudge) closed(r *soakRequest, timedOut bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.closed, r.closedAt = true, time.Now()
	if timedOut {
		j.violatedLocked(ruleResponse, r.id+": no response")
	}
}

// attempted records an attempt. drainsSince is when the agent was notified that its endpoint drains, or zero.
func (j *soakJudge) attempted(id string, a *soakAttempt, drainsSince time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		j.violatedLocked(ruleAttempt, id+" was never sent by a client")
		return
	}
	if late := a.begin.Sub(drainsSince); !drainsSince.IsZero() && late > drainGrace+j.slack {
		j.violatedLocked(ruleDrain, fmt.Sprintf("%s: %v after the notice", id, late))
	}
	timeLeft := r.sentAt.Add(r.timeout).Sub(a.begin)
	if a.timeLeft > timeLeft+timeLeftSlack+j.slack {
		j.violatedLocked(ruleTimeLeft, fmt.Sprintf("%s: states %v with %v left", id, a.timeLeft, timeLeft))
	}
	r.attempts = append(r.attempts, a)
}

// ended records the end of an attempt.
func (j *soakJudge) ended(a *soakAttempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.end = time.Now()
}
