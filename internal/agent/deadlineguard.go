package agent

import (
	"net/http"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/telemetry"
)

const (
	// attemptMargin is the time between the end of a request's attempts and the client's deadline, or the shutdown
	// deadline if that is earlier. The decision module gets a deadline that is attemptMargin before the client's, so
	// that its final answer is written in time.
	attemptMargin = 20 * time.Millisecond
	// minAttemptMargin is the minimum time between the end of a request's attempts and the client's deadline when a
	// delayed step has used up part of attemptMargin. The outcomes then still arrive before the deadline guard fires.
	minAttemptMargin = 2 * guardMargin
	// guardMargin is the time between the firing of the deadline guard and the client's deadline. It is the time for
	// writing the response. A guard that fires at the shutdown deadline needs no margin: finalWriteTimeout follows.
	guardMargin = 5 * time.Millisecond
)

// setRequestTimeout returns the event of a request with the timeout for the decision module, and sets the request's
// attemptsUntil.
func (l *eventLoop) setRequestTimeout(now time.Duration, event balancer.Request) balancer.Request {
	r := l.requests.find(event.ID)
	if r == nil {
		return event
	}
	event.Timeout = l.moduleTimeout(now, r.inbound)
	event.Delay = max(0, now-r.inbound.ArrivedAt-l.tick)
	// Attempts must not time out before the module's deadline for the request. Otherwise the module would schedule a
	// retry for which no time is left, and the request would stay open until the deadline guard fires.
	r.attemptsUntil = min(now-event.Delay+event.Timeout, r.inbound.Deadline-minAttemptMargin)
	return event
}

// moduleTimeout returns the timeout that the decision module gets for a request in a step at now. The result is 0 or
// negative if the client's timeout is at most attemptMargin plus the delay of the step (up to a tick).
func (l *eventLoop) moduleTimeout(now time.Duration, inbound *frontend.Request) time.Duration {
	// A step takes place within a tick of the arrival unless this machine is overloaded. A longer delay must not reduce
	// the timeout: the module treats a request as a client's retry if its timeout differs from the class's usual one
	// by more than two ticks. It gets the rest of the delay separately.
	stepDelay := min(now-inbound.ArrivedAt, l.tick)
	return inbound.Deadline - attemptMargin - inbound.ArrivedAt - stepDelay
}

// setDeadlineGuard sets or replaces the deadline guard of a request: the timer that answers the request shortly before
// its deadline, or at the shutdown deadline if that is earlier, unless the decision module has answered it.
func (l *eventLoop) setDeadlineGuard(r *trackedRequest) {
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

// removeDeadlineGuard removes the deadline guard of a request. Otherwise the timer would keep the request and its body
// in memory until the deadline.
func (l *eventLoop) removeDeadlineGuard(r *trackedRequest) {
	if r.deadlineGuard != nil {
		l.timers.remove(r.deadlineGuard)
		r.deadlineGuard = nil
	}
}

// handleDeadlineGuard answers a request whose deadline guard has fired, cancels its attempts and queues an Abandoned
// event for the decision module.
//
// Firing is expected during a shutdown, and for a client timeout of at most attemptMargin. Otherwise it is an internal
// error. If it is expected and the decision module has not started any attempt of the request, the request is rejected,
// so that the client may retry it. Attempts that were not sent count as started. All other requests fail.
func (l *eventLoop) handleDeadlineGuard(r *trackedRequest) {
	if r.isFinished() {
		return
	}
	now := l.clock.Now()
	expected := l.isShuttingDown() || r.inbound.Event.Timeout <= attemptMargin
	if !expected {
		l.log.Error(telemetry.MsgNoFinalAnswer, telemetry.Request(r.id()),
			telemetry.Attempts(r.attemptCount()), "in_flight", r.inFlight, "age", now-r.inbound.ArrivedAt,
			"late", now-r.inbound.Deadline+guardMargin)
	}
	status := http.StatusBadGateway
	if expected && r.attemptCount() == 0 {
		status = http.StatusServiceUnavailable
	}
	l.answer(r, frontend.Response{Status: status})
	r.cancelAttempts()
	l.addEvent(balancer.Abandoned{Request: r.id()})
}
