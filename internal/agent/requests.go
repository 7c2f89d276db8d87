package agent

import (
	"context"
	"net/http"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/telemetry"
	"ashshunt/internal/upstream"
)

const (
	// attemptMargin is how long before a request's deadline its attempts end, and its time is up for the decision
	// module too. guardMargin before the deadline, the deadline guard answers, so that the last byte is written in time.
	attemptMargin = 20 * time.Millisecond
	guardMargin   = 5 * time.Millisecond
)

// openRequest is an entry of the request table: it stays from the request's arrival until the request is answered and
// all its attempts have ended.
type openRequest struct {
	client          *frontend.Request
	upstream        *upstream.Request
	attemptDeadline time.Duration // attempts end then; the module knows it
	answered        bool
	endUpstream     context.CancelFunc   // tells attempts that the request is answered
	attemptCancels  []context.CancelFunc // by attempt number; nil once the attempt has ended
	inFlight        int                  // attempts that have not ended
	mayHaveRun      bool                 // some attempt may have run
	deadlineGuard   *timer               // nil once the request is answered
}

func (r *openRequest) id() string { return r.client.Event.ID }

// newOpenRequest returns the table entry of a client's request.
func newOpenRequest(client *frontend.Request) *openRequest {
	done, end := context.WithCancel(context.Background())
	return &openRequest{
		client: client,
		upstream: &upstream.Request{
			ID:             client.Event.ID,
			IdempotencyKey: client.IdempotencyKey,
			Method:         client.Method,
			Host:           client.Host,
			Target:         client.Target,
			Body:           client.Body,
			Done:           done,
			ClientGone:     client.ClientGone,
		},
		endUpstream: end,
	}
}

// admit puts a request into the table, or rejects it at once. A rejected one is never in the table, so that its
// client's disconnect is not taken for that of the open request with the same id.
func (l *eventLoop) admit(client *frontend.Request) {
	id := client.Event.ID
	if l.requests[id] != nil {
		client.Respond(frontend.Response{Status: http.StatusBadRequest, Body: []byte("this id is open already\n")})
		return
	}
	tooMany := l.settings.MaxOpen > 0 && l.unanswered >= l.settings.MaxOpen
	tooLate := l.shutdownDeadline > 0 && l.clock.Now() >= l.shutdownDeadline
	if tooMany || tooLate {
		client.Respond(frontend.Response{Status: http.StatusServiceUnavailable})
		return
	}
	r := newOpenRequest(client)
	l.requests[id] = r
	l.unanswered++
	l.setDeadlineGuard(r)
	l.addEvent(client.Event)
}

// withTimeLeft gives the event of a request the time that it has left, and sets the end of its attempts.
func (l *eventLoop) withTimeLeft(now time.Duration, event balancer.Request) balancer.Request {
	r := l.requests[event.ID]
	if r == nil {
		return event
	}
	arrived, deadline := r.client.Arrived, r.client.Deadline
	// A step comes within a tick of an arrival. When the machine is late with it, the module must not take the delay
	// for a client with less patience, which it reads as one that retries.
	event.Timeout = deadline - attemptMargin - arrived - min(now-arrived, l.tick)
	// An attempt that times out with the request must not do so before the module's deadline for that: the module
	// would wait for a retry that can't come, until the deadline guard answers.
	r.attemptDeadline = min(now+event.Timeout, deadline-2*guardMargin)
	return event
}

// abandon ends a request whose client has disconnected, unless it was rejected or is answered already.
func (l *eventLoop) abandon(client *frontend.Request) {
	r := l.requests[client.Event.ID]
	if r == nil || r.client != client || r.answered {
		return
	}
	l.markAnswered(r)
	l.addEvent(balancer.Abandoned{Request: r.id()})
}

// respond gives the client its final answer.
func (l *eventLoop) respond(r *openRequest, response frontend.Response) {
	r.client.Respond(response)
	l.markAnswered(r)
}

// reject sheds a request for the module.
func (l *eventLoop) reject(action balancer.Reject) {
	r := l.requests[action.Request]
	if r == nil || r.answered {
		return
	}
	if (r.mayHaveRun || r.inFlight > 0) && !l.mayRunTwice(r) {
		// A rejection would invite the client to repeat it.
		l.log.Error(telemetry.MsgUnsafeRejection, telemetry.Request(action.Request))
		l.respond(r, frontend.Response{Status: http.StatusBadGateway})
		return
	}
	l.respond(r, frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: action.RetryAfter})
}

// mayRunTwice reports whether a request may be repeated anywhere without a second effect.
func (l *eventLoop) mayRunTwice(r *openRequest) bool {
	class := l.settings.Classes[r.client.Event.Class]
	switch class.Idempotency {
	case balancer.Idempotent:
		return true
	case balancer.IdempotentWithKey:
		return class.DedupScope == balancer.DedupEverywhere
	}
	return false
}

// fail answers a request as failed, unless it is answered already.
func (l *eventLoop) fail(id string) {
	if r := l.requests[id]; r != nil && !r.answered {
		l.respond(r, frontend.Response{Status: http.StatusBadGateway})
	}
}

// markAnswered ends a request: from here on nothing goes out for it.
func (l *eventLoop) markAnswered(r *openRequest) {
	r.answered = true
	r.endUpstream()
	l.removeDeadlineGuard(r)
	l.unanswered--
	l.removeIfComplete(r)
}

// removeIfComplete takes a request out of the table once it is answered and has no attempt in flight.
func (l *eventLoop) removeIfComplete(r *openRequest) {
	if r.answered && r.inFlight == 0 && l.requests[r.id()] == r {
		delete(l.requests, r.id())
	}
}

// setDeadlineGuard sets the timer that answers a request for which the module gives no answer in time, or moves it.
func (l *eventLoop) setDeadlineGuard(r *openRequest) {
	if r.answered {
		return
	}
	at := r.client.Deadline - guardMargin
	if l.shutdownDeadline > 0 {
		at = min(at, l.shutdownDeadline)
	}
	l.removeDeadlineGuard(r)
	r.deadlineGuard = &timer{at: at, request: r}
	l.timers.add(r.deadlineGuard)
}

// removeDeadlineGuard removes the timer, which would hold the request and its body until the deadline.
func (l *eventLoop) removeDeadlineGuard(r *openRequest) {
	if r.deadlineGuard != nil {
		l.timers.remove(r.deadlineGuard)
		r.deadlineGuard = nil
	}
}

// expire answers a request whose deadline guard has fired.
func (l *eventLoop) expire(r *openRequest) {
	if r.answered {
		return
	}
	expected := l.shutdownDeadline > 0 || r.client.Event.Timeout <= attemptMargin
	if !expected {
		l.log.Error(telemetry.MsgNoFinalAnswer, telemetry.Request(r.id()),
			"attempts", len(r.attemptCancels), "in_flight", r.inFlight)
	}
	status := http.StatusBadGateway
	if expected && len(r.attemptCancels) == 0 { // nothing was sent: its client may come again
		status = http.StatusServiceUnavailable
	}
	l.respond(r, frontend.Response{Status: status})
	for _, cancel := range r.attemptCancels {
		if cancel != nil {
			cancel()
		}
	}
	l.addEvent(balancer.Abandoned{Request: r.id()})
}
