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
	ruleResponse       rule = "lost"           // a request gets its response, in time, and is not forwarded without need
	ruleDuplicate      rule = "duplicate"      // a request is repeated only as its class allows
	ruleAttempt        rule = "attempt"        // an attempt is a client's request
	ruleDrain          rule = "drain"          // a draining endpoint gets no attempt
	ruleAttemptTimeout rule = "budget"         // an attempt has no more time than its client
	ruleIncomplete     rule = "half a request" // a connection whose request does not come is closed
	ruleLog            rule = "log"            // there is no internal error
	ruleCrash          rule = "crash"          // the agent exits with status 0, or is killed
)

const (
	strictSlack = 50 * time.Millisecond // of each time of the protocol
	looseSlack  = 3 * time.Second       // on a busy machine: what never happens is still found

	// maxResponseDelay is how long after its deadline a response only earns nothing.
	maxResponseDelay = 500 * time.Millisecond
	// attemptTimeoutSlack is how much more time than its client has an attempt may state.
	attemptTimeoutSlack = 150 * time.Millisecond
	// drainGraceDuration is how long after the notice a draining endpoint may still get attempts.
	drainGraceDuration = 2 * time.Second
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
	endpoint              string
	cell                  int
	startedAt, finishedAt time.Time     // end is zero while it is in flight
	timeout               time.Duration // of the client, as X-Budget-Ms states it
	mayHaveRun            bool
}

// soakVerifier records what happens in a run and checks it against the rules.
type soakVerifier struct {
	t       *testing.T
	classes map[string]soakClass
	strict  bool // slack is strictSlack; the agent is killed
	slack   time.Duration

	mu         sync.Mutex // protects what follows, and requests
	requests   map[string]*soakRequest
	kills      []time.Time
	violations []string
}

func newSoakVerifier(t *testing.T, classes []soakClass, strict bool) *soakVerifier {
	t.Helper()
	v := &soakVerifier{
		t:        t,
		classes:  map[string]soakClass{},
		strict:   strict,
		slack:    looseSlack,
		requests: map[string]*soakRequest{},
	}
	if strict {
		v.slack = strictSlack
	}
	for _, c := range classes {
		v.classes[c.name] = c
	}
	return v
}

// recordViolation records that a rule was not kept.
func (v *soakVerifier) recordViolation(violated rule, details string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordViolationLocked(violated, details)
}

// recordViolationLocked is violated for callers that hold the mutex.
func (v *soakVerifier) recordViolationLocked(violated rule, details string) {
	v.violations = append(v.violations, string(violated)+": "+details)
}

// recordLogLine records a line of the agent's log with an internal error. On a busy machine that may be a late response.
func (v *soakVerifier) recordLogLine(line string) {
	if v.strict || !strings.Contains(line, "no final answer by the deadline") {
		v.recordViolation(ruleLog, line)
	}
}

// recordKill records that the agent was recordKill.
func (v *soakVerifier) recordKill(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.kills = append(v.kills, at)
}

// recordSendStart records that the last part of a request is about to be written.
func (v *soakVerifier) recordSendStart(r *soakRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.sentAt = time.Now()
	v.requests[r.id] = r
}

// recordSent records that a request has been written whole. An attempt may have begun meanwhile.
func (v *soakVerifier) recordSent(r *soakRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.sentAt = time.Now()
}

// recordSendFailure drops a request that could not be written whole.
func (v *soakVerifier) recordSendFailure(r *soakRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(r.attempts) > 0 {
		v.recordViolationLocked(ruleResponse, r.id+": forwarded, though it could not be written whole")
	}
	delete(v.requests, r.id)
}

// recordResponse records the response to a request.
func (v *soakVerifier) recordResponse(r *soakRequest, status int, body string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.respondedAt, r.status = time.Now(), status
	if status == http.StatusOK && body != "did "+r.id {
		v.recordViolationLocked(ruleResponse, fmt.Sprintf("%s: served with %q", r.id, body))
	}
	if late := r.respondedAt.Sub(r.sentAt) - r.timeout; late > maxResponseDelay+v.slack {
		v.recordViolationLocked(ruleResponse, fmt.Sprintf("%s: a response %v after its deadline", r.id, late))
	}
}

// recordClose records that a connection ended without a response, or that the client stopped waiting for one.
func (v *soakVerifier) recordClose(r *soakRequest, timedOut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.closed, r.closedAt = true, time.Now()
	if timedOut {
		v.recordViolationLocked(ruleResponse, r.id+": no response")
	}
}

// recordAttemptStart records an attempt. drainsSince is when the agent was notified that its endpoint drains, or zero.
func (v *soakVerifier) recordAttemptStart(id string, a *soakAttempt, drainNotifiedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.requests[id]
	if r == nil {
		v.recordViolationLocked(ruleAttempt, id+" was never sent by a client")
		return
	}
	if late := a.startedAt.Sub(drainNotifiedAt); !drainNotifiedAt.IsZero() && late > drainGraceDuration+v.slack {
		v.recordViolationLocked(ruleDrain, fmt.Sprintf("%s: %v after the notice", id, late))
	}
	requestTimeLeft := r.sentAt.Add(r.timeout).Sub(a.startedAt)
	if a.timeout > requestTimeLeft+attemptTimeoutSlack+v.slack {
		v.recordViolationLocked(ruleAttemptTimeout, fmt.Sprintf("%s: states %v with %v left", id, a.timeout, requestTimeLeft))
	}
	r.attempts = append(r.attempts, a)
}

// recordAttemptFinish records the end of an attempt.
func (v *soakVerifier) recordAttemptFinish(a *soakAttempt) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a.finishedAt = time.Now()
}
