package frontend

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/membudget"
	"ashshunt/internal/protocol"
)

// disconnectPollInterval is the interval at which the connection of an open request is examined for a disconnect that
// net/http does not detect.
const disconnectPollInterval = 100 * time.Millisecond

// minResponseWriteTimeout is the time that a client has at least to read a response. The agent may be held up for a
// part of it before the write.
const minResponseWriteTimeout = 500 * time.Millisecond

const (
	// maxPipelined is the number of requests that a client may send in a row without waiting for responses, and without
	// a pause between them.
	maxPipelined = 16
	// pipelinedPause is the pause before each further one.
	pipelinedPause = 10 * time.Millisecond
)

// The reasons, besides those of following.go and a malformed request, why a request gets no response from the event
// loop.
var (
	// errRejectedIncomplete: a timeout or a shutdown rejected the request before it was complete, and the client
	// already has a response; or the connection was closed.
	errRejectedIncomplete = errors.New("request rejected before it was complete")
	// errLoopStopped: the event loop has stopped, so no response will arrive.
	errLoopStopped = errors.New("event loop stopped")
)

// handler handles the application's requests.
type handler struct {
	loop         EventLoop
	clock        clock.Clock
	classes      map[string]int // index in settings.Classes by class name
	tenants      []string       // tenant names by index
	settings     balancer.Settings
	timeouts     *Timeouts
	isNearLimit  func() bool // see connectionTable.isNearLimit
	log          *slog.Logger
	createdAt    time.Time // start of the wait for an endpoint list
	shuttingDown atomic.Bool
}

func newHandler(c *config.Config, agentClock clock.Clock, loop EventLoop, timeouts *Timeouts,
	isNearLimit func() bool, log *slog.Logger) *handler {
	h := &handler{
		loop:        loop,
		clock:       agentClock,
		classes:     map[string]int{},
		tenants:     c.Names.Tenants,
		settings:    c.Settings,
		timeouts:    timeouts,
		isNearLimit: isNearLimit,
		log:         log,
		createdAt:   time.Now(),
	}
	for i, name := range c.Names.Classes {
		h.classes[name] = i
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connectionOf(r)
	conn.recordParsed()
	conn.scanner.startBody(r.ContentLength)
	conn.recordParsedHead(knownRequestID(r), conn.scanner.bodyBytesRemaining() > 0)
	_ = conn.SetWriteDeadline(time.Time{}) // that of the previous response; fails only if the connection is closed
	if r.URL.Path == protocol.HealthPath {
		h.serveHealth(w, r)
		return
	}
	if conn.isPipelining() {
		pauseRequest(r.Context())
	}
	memory := conn.takeRequestMemory()
	defer memory.Release()
	response, err := h.handleRequest(r, memory)
	_ = conn.SetWriteDeadline(h.writeDeadline(response)) // fails only if the connection is closed
	if err != nil {
		h.handleError(w, r, err)
		return
	}
	if h.mustClose(conn) {
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, response)
}

// mustClose reports whether a connection must be closed behind the response that is about to be written. In a shutdown,
// further requests belong to a new process, but those that have arrived here are answered first. So are those of a few
// in a row if slots are short; a client that sends more of them could keep its slot for good.
func (h *handler) mustClose(conn *connection) bool {
	switch {
	case h.shuttingDown.Load():
		return !conn.isFollowed()
	case h.isNearLimit():
		return conn.isPipelining() || !conn.isFollowed()
	}
	return false
}

// pauseRequest delays a request of a client that sends requests without waiting for responses. Otherwise few such
// clients use up the CPU, and the requests of others, which need the network several times, wait for it each time.
func pauseRequest(ctx context.Context) {
	timer := time.NewTimer(pipelinedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handleRequest reads a request, submits it to the event loop and returns the loop's response, unless the request has
// turned out to be cut in the meantime. memory is held by the caller until the response is written, and by the loop
// until the request and its attempts are finished.
func (h *handler) handleRequest(r *http.Request, memory *membudget.Reservation) (Response, error) {
	conn := connectionOf(r)
	request, err := h.readRequest(r, memory)
	if err != nil {
		conn.logIfCut(err, false)
		return Response{}, asRequestError(err)
	}
	memory.Hold()
	h.loop.Submit(request)
	response, err := h.waitForResponse(r, request)
	response.writeUntil = h.clock.ToTime(request.Deadline).Add(h.timeouts.ResponseWrite)
	if err == nil {
		err = conn.validateFollowing()
	}
	conn.logIfCut(err, true)
	return response, err
}

// writeDeadline returns the time by which a client must have read a response. It leaves some time for the write itself.
func (h *handler) writeDeadline(response Response) time.Time {
	earliest := time.Now().Add(minResponseWriteTimeout)
	if response.writeUntil.After(earliest) {
		return response.writeUntil
	}
	return earliest
}

// handleError handles a request that gets no response from the event loop. It writes a response if err is a
// *RequestError and the connection still allows one, or if the event loop has stopped. Otherwise it aborts the
// connection. A *RequestError may also occur after the request was submitted (validateOpenRequest).
func (h *handler) handleError(w http.ResponseWriter, r *http.Request, err error) {
	h.logRefusal(r, err)
	if requestErr, ok := errors.AsType[*RequestError](err); ok {
		if allowed := connectionOf(r).startResponse(); allowed {
			h.rejectMalformed(w, r, requestErr)
			return
		}
	}
	if errors.Is(err, errLoopStopped) {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	connectionOf(r).recordRequestError(err)
	panic(http.ErrAbortHandler) // a return would send an empty response with status 200
}

// readRequest reads a complete request. The client's timeout counts from the last byte of the request.
func (h *handler) readRequest(r *http.Request, memory *membudget.Reservation) (*Request, error) {
	conn := connectionOf(r)
	readAt := time.Now()
	if err := validateFraming(r); err != nil {
		return nil, err
	}
	request, err := h.parseHead(r)
	if err != nil {
		return nil, err
	}
	request.Memory = memory
	if err := conn.waitForMemory(memory, membudget.Requests, requestBytes); err != nil {
		return nil, err
	}
	if r.ContentLength > 0 {
		if request.Body, err = readBody(r, conn, memory); err != nil {
			return nil, err
		}
		readAt = time.Now()
	}
	arrived := conn.arrival(r.ContentLength > 0, readAt)
	if !conn.startResponse() {
		return nil, errRejectedIncomplete
	}
	if err := conn.validateOpenRequest(); err != nil {
		return nil, err
	}
	request.Validate = conn.validateOpenRequest
	request.ArrivedAt = h.clock.FromTime(arrived)
	request.Deadline = request.ArrivedAt + request.Event.Timeout
	return request, nil
}

// waitForResponse waits for the response to a submitted request, and abandons the request if its client disconnects
// first, or if the request turns out to be cut. net/http detects a disconnect only until it has read a byte after the
// request, so the connection is examined periodically as well.
func (h *handler) waitForResponse(r *http.Request, request *Request) (Response, error) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	var err error
	for err == nil {
		select {
		case response := <-request.response:
			return response, nil
		case <-h.loop.Done():
			return Response{}, errLoopStopped
		case <-r.Context().Done():
			err = errDisconnected
		case <-ticker.C:
			err = request.Validate()
		}
	}
	h.loop.Abandon(request)
	return Response{}, err
}
