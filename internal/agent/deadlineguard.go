package agent

import (
	"net/http"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/telemetry"
)

const (
	// attemptMargin is how long before a request's deadline its attempts end. The decision module gets a deadline that
	// is earlier by it, so that its final answer is written in time.
	attemptMargin = 20 * time.Millisecond
	// minAttemptMargin is how long before the deadline attempts end at the latest, where a late step has used up a part
	// of attemptMargin. Their outcomes come before the deadline guard fires.
	minAttemptMargin = 2 * guardMargin
	// guardMargin is how long before the deadline the deadline guard answers, so that the last byte is written in time.
	guardMargin = 5 * time.Millisecond
)

// prepareRequest returns the event of a request with the timeout that the decision module gets, and sets the end of the
// request's attempts.
func (l *eventLoop) prepareRequest(now time.Duration, event balancer.Request) balancer.Request {
	r := l.requests.find(event.ID)
	if r == nil {
		return event
	}
	event.Timeout = l.moduleTimeout(now, r.inbound)
	// An attempt that times out with the request must not do so before the module's deadline for that: the module
	// would wait for a retry that can't come, until the deadline guard answers.
	r.attemptsUntil = min(now+event.Timeout, r.inbound.Deadline-minAttemptMargin)
	return event
}

// moduleTimeout is the timeout that the decision module gets for a request in a step at now. It is not positive if the
// client gave attemptMargin or less.
func (l *eventLoop) moduleTimeout(now time.Duration, inbound *frontend.Request) time.Duration {
	// A step comes within a tick of an arrival. A longer delay is this machine's, and the module would treat a client
	// with a shorter timeout as one that retries.
	stepDelay := min(now-inbound.ArrivedAt, l.tick)
	return inbound.Deadline - attemptMargin - inbound.ArrivedAt - stepDelay
}

// setDeadlineGuard sets or moves the deadline guard of a request: the timer that answers it if the decision module has
// not done so in time.
func (l *eventLoop) setDeadlineGuard(r *openRequest) {
	if r.isFinished() {
		return
	}
	at := r.inbound.Deadline - guardMargin
	if l.isShuttingDown() {
		at = min(at, l.shutdownDeadline)
	}
	l.removeDeadlineGuard(r)
	r.deadlineGuard = &timer{dueAt: at, request: r}
	l.timers.add(r.deadlineGuard)
}

// removeDeadlineGuard removes the timer, which would otherwise hold the request and its body until the deadline.
func (l *eventLoop) removeDeadlineGuard(r *openRequest) {
	if r.deadlineGuard != nil {
		l.timers.remove(r.deadlineGuard)
		r.deadlineGuard = nil
	}
}

// handleDeadlineGuard answers a request whose deadline guard has fired, cancels its attempts, and tells the decision module. The
// lack of an answer is expected in a shutdown, and for a client that gave attemptMargin or less; otherwise it is an
// internal error. If it is expected, a request without an attempt (one that was never sent counts too) is rejected, so
// that its client may come again. All others fail.
func (l *eventLoop) handleDeadlineGuard(r *openRequest) {
	if r.isFinished() {
		return
	}
	expected := l.isShuttingDown() || r.inbound.Event.Timeout <= attemptMargin
	if !expected {
		l.log.Error(telemetry.MsgNoFinalAnswer, telemetry.Request(r.id()),
			"attempts", r.attemptCount(), "in_flight", r.inFlight)
	}
	status := http.StatusBadGateway
	if expected && r.attemptCount() == 0 {
		status = http.StatusServiceUnavailable
	}
	l.answer(r, frontend.Response{Status: status})
	r.cancelAttempts()
	l.addEvent(balancer.Abandoned{Request: r.id()})
}
