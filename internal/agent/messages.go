package agent

import (
	"context"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/upstream"
)

// message tells the event loop what happened on another goroutine. The loop applies it on its own.
type message interface {
	handle(ctx context.Context, l *eventLoop)
}

type (
	// requestSubmitted: a client's request has come.
	requestSubmitted struct{ request *frontend.Request }
	// requestAbandoned: the client of a request has disconnected.
	requestAbandoned struct{ request *frontend.Request }
	// attemptFinished: an attempt has ended.
	attemptFinished struct {
		request  *openRequest
		outcome  balancer.Outcome
		response upstream.Response
	}
	// moduleEvent: something happened that concerns the decision module alone.
	moduleEvent struct{ event balancer.Event }
	// shutdownStarted: the agent is to end, and what is open is to be answered soon.
	shutdownStarted struct{}
	// discoveryAddressChanged: a new configuration names another address of discovery.
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

// post sends a message to the event loop, which drops it if it has ended.
func (l *eventLoop) post(m message) {
	select {
	case l.messages <- m:
	case <-l.done:
	}
}

// Submit implements frontend.EventLoop.
func (l *eventLoop) Submit(r *frontend.Request) { l.post(requestSubmitted{request: r}) }

// Abandon implements frontend.EventLoop.
func (l *eventLoop) Abandon(r *frontend.Request) { l.post(requestAbandoned{request: r}) }

// Ready implements frontend.EventLoop.
func (l *eventLoop) Ready() <-chan struct{} { return l.ready }

// Done implements frontend.EventLoop.
func (l *eventLoop) Done() <-chan struct{} { return l.done }

// HasServingEndpoint implements frontend.EventLoop.
func (l *eventLoop) HasServingEndpoint() bool { return l.endpoints.HasServing() }
