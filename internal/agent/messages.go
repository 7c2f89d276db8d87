package agent

import (
	"context"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/upstream"
)

// message is a message to the event loop from another goroutine. The loop calls handle on its own goroutine.
type message interface {
	handle(ctx context.Context, l *eventLoop)
}

type (
	// requestSubmitted reports a client's request.
	requestSubmitted struct{ request *frontend.Request }
	// requestAbandoned reports that the client of a request has disconnected.
	requestAbandoned struct{ request *frontend.Request }
	// attemptFinished reports the outcome of an attempt, and the response if there was one.
	attemptFinished struct {
		request  *trackedRequest
		outcome  balancer.Outcome
		response upstream.Response
	}
	// moduleEvent carries an event for the decision module that the event loop itself does not handle.
	moduleEvent struct{ event balancer.Event }
	// shutdownStarted reports that the agent shuts down.
	shutdownStarted struct{}
	// discoveryAddressChanged carries the address of discovery of a reloaded configuration.
	discoveryAddressChanged struct{ addr string }
)

func (m requestSubmitted) handle(_ context.Context, l *eventLoop) { l.handleSubmitted(m.request) }

func (m requestAbandoned) handle(_ context.Context, l *eventLoop) { l.handleAbandoned(m.request) }

func (m attemptFinished) handle(_ context.Context, l *eventLoop) {
	l.handleOutcome(m.request, m.outcome, m.response.Body)
}

func (m moduleEvent) handle(_ context.Context, l *eventLoop) { l.addEvent(m.event) }

func (shutdownStarted) handle(_ context.Context, l *eventLoop) { l.handleShutdownStarted() }

func (m discoveryAddressChanged) handle(ctx context.Context, l *eventLoop) {
	l.discovery.SetAddress(ctx, m.addr)
}

// post sends a message to the event loop, and reports whether it did. After the end of the loop the message is dropped.
func (l *eventLoop) post(m message) bool {
	select {
	case l.messages <- m:
		return true
	case <-l.done:
		return false
	}
}

// Submit implements frontend.EventLoop.
func (l *eventLoop) Submit(r *frontend.Request) {
	if !l.post(requestSubmitted{request: r}) {
		r.Memory.Release()
	}
}

// Abandon implements frontend.EventLoop.
func (l *eventLoop) Abandon(r *frontend.Request) { l.post(requestAbandoned{request: r}) }

// Ready implements frontend.EventLoop.
func (l *eventLoop) Ready() <-chan struct{} { return l.ready }

// Done implements frontend.EventLoop.
func (l *eventLoop) Done() <-chan struct{} { return l.done }

// HasServingEndpoint implements frontend.EventLoop.
func (l *eventLoop) HasServingEndpoint() bool { return l.endpoints.HasServing() }
