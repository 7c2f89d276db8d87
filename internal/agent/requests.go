package agent

import (
	"context"
	"log/slog"
	"net/http"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/telemetry"
)

// handleSubmitted adds a client's request to the table, or rejects it at once. A request that is rejected here is never
// in the table, so that a disconnect of its client does not abandon the open request with the same ID.
func (l *eventLoop) handleSubmitted(inbound *frontend.Request) {
	if l.requests.find(inbound.Event.ID) != nil {
		answerUntracked(inbound, frontend.Response{
			Status: http.StatusBadRequest,
			Body:   []byte("this id is open already\n"),
		})
		return
	}
	if !l.recent.mayForward(inbound.Event.ID, l.clock.Now(), inbound.Event.Timeout) {
		answerUntracked(inbound, frontend.Response{
			Status: http.StatusConflict,
			Body:   []byte("a request with this id may have run\n"),
		})
		return
	}
	if l.isAtRequestLimit() || l.isPastShutdownDeadline() {
		answerUntracked(inbound, frontend.Response{Status: http.StatusServiceUnavailable})
		return
	}
	r := newTrackedRequest(inbound)
	l.requests.add(r)
	l.setDeadlineGuard(r)
	l.addEvent(inbound.Event)
}

// answerUntracked responds to a request that is not added to the table.
func answerUntracked(inbound *frontend.Request, response frontend.Response) {
	inbound.Respond(response)
	inbound.Memory.Release()
}

// isAtRequestLimit reports whether the number of open requests has reached the limit of the settings. The limit by
// descriptors is enforced by the decision module only (see newEventLoop).
func (l *eventLoop) isAtRequestLimit() bool {
	return l.settings.MaxOpen > 0 && l.requests.openCount >= l.settings.MaxOpen
}

// handleAbandoned abandons a request whose client has disconnected. It ignores finished requests and those that
// handleSubmitted has rejected.
func (l *eventLoop) handleAbandoned(inbound *frontend.Request) {
	r := l.requests.findOpen(inbound.Event.ID)
	if r == nil || r.inbound != inbound {
		return
	}
	l.removeDeadlineGuard(r)
	l.requests.abandon(r)
	l.addEvent(balancer.Abandoned{Request: r.id()})
}

// handleRemoved releases the memory of a request that has left the table, and remembers it if a repeat could run again.
func (l *eventLoop) handleRemoved(r *trackedRequest) {
	r.inbound.Memory.Release()
	class := l.settings.Classes[r.inbound.Event.Class]
	if r.mayHaveRun() && class.Idempotency != balancer.Idempotent {
		l.recent.remember(r.id(), l.clock.Now(), repeatSafeUntil(class, r.firstAttemptAt))
	}
}

// answer sends the only response of a request and finishes the request.
func (l *eventLoop) answer(r *trackedRequest, response frontend.Response) {
	if response.Status != http.StatusOK && l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug(telemetry.MsgRequestAnswered, telemetry.Request(r.id()), "status", response.Status,
			telemetry.Attempts(r.attemptCount()), "may_have_run", r.mayHaveRun())
	}
	l.removeDeadlineGuard(r)
	l.requests.answer(r, response)
}

// reject executes a Reject. It ignores finished requests. Clients may retry rejected requests, so that a request that
// may have run and must not run twice is failed instead.
func (l *eventLoop) reject(action balancer.Reject) {
	r := l.requests.findOpen(action.Request)
	if r == nil {
		return
	}
	if r.mayHaveRun() && !isRepeatableAnywhere(l.settings.Classes[r.inbound.Event.Class]) {
		l.log.Error(telemetry.MsgUnsafeRejection, telemetry.Request(action.Request))
		l.answer(r, frontend.Response{Status: http.StatusBadGateway})
		return
	}
	l.answer(r, frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: action.RetryAfter})
}

// isRepeatableAnywhere reports whether requests of a class can be repeated without further effect at any endpoint.
func isRepeatableAnywhere(class balancer.Class) bool {
	switch class.Idempotency {
	case balancer.Idempotent:
		return true
	case balancer.IdempotentWithKey:
		return class.DedupScope == balancer.DedupEverywhere
	case balancer.NotIdempotent:
	}
	return false
}

// fail executes a Fail. It ignores finished requests.
func (l *eventLoop) fail(action balancer.Fail) {
	if r := l.requests.findOpen(action.Request); r != nil {
		l.answer(r, frontend.Response{Status: http.StatusBadGateway})
	}
}
