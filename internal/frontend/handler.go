package frontend

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
)

// disconnectPollInterval is the time between two checks of an open request's connection, for disconnects that
// net/http does not see.
const disconnectPollInterval = 100 * time.Millisecond

// The causes, besides a malformed request, for which a request gets no response from the event loop.
var (
	// errDisconnected: the client has closed its connection.
	errDisconnected = errors.New("client disconnected")
	// errRejectedIncomplete: the request took too long to come, and has been answered.
	errRejectedIncomplete = errors.New("request rejected before it was complete")
	// errLoopStopped: the event loop has ended, and no response comes any more.
	errLoopStopped = errors.New("event loop has ended")
	// errTooMuchUnread: so much has come behind the request that a disconnect would not be seen.
	errTooMuchUnread = &RequestError{Status: http.StatusBadRequest, Reason: "too much behind a request"}
)

// handler answers the application's requests.
type handler struct {
	loop         EventLoop
	clock        clock.Clock
	classes      map[string]int // index in settings.Classes, by name
	tenants      []string       // by index
	settings     balancer.Settings
	timeouts     *Timeouts
	isNearLimit  func() bool // reports whether connections begin to run short
	createdAt    time.Time   // the wait for an endpoint list counts from here
	shuttingDown atomic.Bool
}

func newHandler(c *config.Config, agentClock clock.Clock, loop EventLoop, timeouts *Timeouts,
	isNearLimit func() bool) *handler {
	h := &handler{
		loop:        loop,
		clock:       agentClock,
		classes:     map[string]int{},
		tenants:     c.Names.Tenants,
		settings:    c.Settings,
		timeouts:    timeouts,
		isNearLimit: isNearLimit,
		createdAt:   time.Now(),
	}
	for i, name := range c.Names.Classes {
		h.classes[name] = i
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == protocol.HealthPath {
		h.serveHealth(w)
		return
	}
	response, err := h.handleRequest(r)
	if err != nil {
		h.handleError(w, r, err)
		return
	}
	if h.shuttingDown.Load() || h.isNearLimit() { // in a shutdown, the client's next request belongs to a new process
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, response)
}

// handleRequest reads a request and returns the event loop's response to it.
func (h *handler) handleRequest(r *http.Request) (Response, error) {
	request, err := h.readRequest(r)
	if err != nil {
		return Response{}, err
	}
	h.loop.Submit(request)
	return h.waitForResponse(r, request)
}

// handleError ends a request that gets no response from the event loop. A *RequestError is answered, also one that
// comes after the request was submitted (errTooMuchUnread), and so is the end of the event loop; nothing else is.
func (h *handler) handleError(w http.ResponseWriter, r *http.Request, err error) {
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
	panic(http.ErrAbortHandler) // a return would send an empty response with status 200
}

// readRequest reads a request to its last byte, from which its time counts.
func (h *handler) readRequest(r *http.Request) (*Request, error) {
	arrived := time.Now()
	if err := validateFraming(r); err != nil {
		return nil, err
	}
	request, err := h.parseHead(r)
	if err != nil {
		return nil, err
	}
	if r.ContentLength != 0 {
		if request.Body, err = readBody(r); err != nil {
			return nil, &RequestError{Status: http.StatusBadRequest, Reason: "bad body", Err: err}
		}
		arrived = time.Now()
	}
	conn := connectionOf(r)
	if !conn.startResponse() {
		return nil, errRejectedIncomplete
	}
	// The client may have gone while its request waited to be read.
	if err := detectDisconnect(conn); err != nil {
		return nil, err
	}
	request.IsClientGone = func() bool { return socket.Peer(conn.Conn).IsGone() }
	request.ArrivedAt = h.clock.FromTime(arrived)
	request.Deadline = request.ArrivedAt + request.Event.Timeout
	return request, nil
}

// waitForResponse waits for the response to a submitted request, and abandons the request if its client disconnects
// first. net/http looks for a disconnect until it has read a byte behind the request; from then on, the connection is
// checked at intervals.
func (h *handler) waitForResponse(r *http.Request, request *Request) (Response, error) {
	conn := connectionOf(r)
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
			err = detectDisconnect(conn)
		}
	}
	h.loop.Abandon(request)
	return Response{}, err
}

// detectDisconnect fails if a client has disconnected, or if so much waits behind its request that a disconnect would
// not be seen.
func detectDisconnect(conn *connection) error {
	switch peer := socket.Peer(conn.Conn); {
	case peer.Closed:
		return errDisconnected
	case peer.Flooded:
		return errTooMuchUnread
	}
	return nil
}
