package agent

import (
	"net/http"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/telemetry"
)

// handleSubmitted opens a client's request, or rejects it at once. A request that is rejected here is never in the table, so
// that its client's disconnect is not treated as that of the open request with the same ID.
func (l *eventLoop) handleSubmitted(inbound *frontend.Request) {
	if l.requests.find(inbound.Event.ID) != nil {
		inbound.Respond(frontend.Response{Status: http.StatusBadRequest, Body: []byte("this id is open already\n")})
		return
	}
	if l.isAtRequestLimit() || l.isPastShutdownDeadline() {
		inbound.Respond(frontend.Response{Status: http.StatusServiceUnavailable})
		return
	}
	r := newOpenRequest(inbound)
	l.requests.add(r)
	l.setDeadlineGuard(r)
	l.addEvent(inbound.Event)
}

// isAtRequestLimit reports whether the settings allow no further request. The limit that the descriptors set binds
// the decision module alone (see newEventLoop).
func (l *eventLoop) isAtRequestLimit() bool {
	return l.settings.MaxOpen > 0 && l.requests.openCount >= l.settings.MaxOpen
}

// handleAbandoned ends a request whose client has disconnected, unless it was rejected or is over already.
func (l *eventLoop) handleAbandoned(inbound *frontend.Request) {
	r := l.requests.findOpen(inbound.Event.ID)
	if r == nil || r.inbound != inbound {
		return
	}
	l.removeDeadlineGuard(r)
	l.requests.abandon(r)
	l.addEvent(balancer.Abandoned{Request: r.id()})
}

// answer ends a request with its only response.
func (l *eventLoop) answer(r *openRequest, response frontend.Response) {
	l.removeDeadlineGuard(r)
	l.requests.answer(r, response)
}

// reject rejects a request for the decision module, unless the request is over. A rejection invites the client to
// repeat the request, so that one that may run and must not be repeated is failed.
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

// isRepeatableAnywhere reports whether a class's requests have no further effect when they are repeated, whichever
// endpoint gets the repeat.
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

// fail fails a request for the decision module, unless the request is over.
func (l *eventLoop) fail(action balancer.Fail) {
	if r := l.requests.findOpen(action.Request); r != nil {
		l.answer(r, frontend.Response{Status: http.StatusBadGateway})
	}
}
