// Package frontend serves the application: it accepts connections, reads and validates requests, submits them to the
// event loop, and writes the responses.
package frontend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/membudget"
)

// maxHeaderBytes bounds the head of a request; net/http allows slightly more.
const maxHeaderBytes = 8 << 10

// The default values of the fields of Timeouts.
const (
	// ReadStall counts from the accept, so a first byte that arrives just in time leaves minReadTimeout for the rest.
	defaultFirstByteTimeout     = defaultReadStallTimeout - minReadTimeout
	defaultReadStallTimeout     = 2800 * time.Millisecond
	defaultReadTotalTimeout     = 4500 * time.Millisecond
	defaultReclaimIdleTimeout   = 2 * time.Second
	defaultReclaimUnusedTimeout = 250 * time.Millisecond
	// A connection may be reclaimed slightly before it times out as idle.
	defaultIdleTimeout                  = defaultReclaimIdleTimeout + 100*time.Millisecond
	defaultReclaimStalledTimeout        = 250 * time.Millisecond
	defaultMinReclaimStalledTimeout     = 50 * time.Millisecond
	defaultReclaimWaitTimeout           = 450 * time.Millisecond
	defaultReclaimSilentTimeout         = 50 * time.Millisecond
	defaultReclaimIdleHandlerTimeout    = 50 * time.Millisecond
	defaultMemoryWaitTimeout            = 300 * time.Millisecond
	defaultMaxMemoryWaitTimeout         = 900 * time.Millisecond
	defaultResponseWriteTimeout         = 500 * time.Millisecond
	defaultMalformedLingerTimeout       = 100 * time.Millisecond
	defaultReadyWithoutEndpointsTimeout = 5 * time.Second
)

// Timeouts bounds how long clients may take, and how long their connections are kept open.
type Timeouts struct {
	// FirstByte is how long a new connection may stay open without sending a byte.
	FirstByte time.Duration
	// ReadStall is how long a client may pause within a request. Until the second read of a request it counts from the
	// first byte, or from the accept for the first request of a connection.
	ReadStall time.Duration
	// ReadTotal is how long a request may take as a whole while its client continues to send.
	ReadTotal time.Duration
	// Idle is how long a connection may stay open without a request. Clients may hold only half of the descriptors, so
	// connections that stay open after one request would keep other clients out.
	Idle time.Duration
	// ReclaimIdle is how long a connection must have been without an open request before it may be closed to free its
	// descriptor for another connection.
	ReclaimIdle time.Duration
	// ReclaimUnused replaces ReclaimIdle for a connection that has not had any request. It is shorter, since clients
	// connect in order to send a request.
	ReclaimUnused time.Duration
	// ReclaimStalled is how long a client must have made no progress with its request before it may be evicted to free
	// its descriptor or memory for another client. Likewise a connection with a rejected request, or with a response to
	// a request that is not complete, stays open for that long. If the other client has waited for almost ReclaimWait,
	// both are reduced, but not below MinReclaimStalled.
	ReclaimStalled, MinReclaimStalled time.Duration
	// ReclaimWait is how long another client should wait for a descriptor or memory at most.
	ReclaimWait time.Duration
	// ReclaimSilent replaces ReclaimUnused while another client waits in the accept queue.
	ReclaimSilent time.Duration
	// ReclaimIdleHandler replaces ReclaimIdle while a request waits for memory to be handled.
	ReclaimIdleHandler time.Duration
	// MemoryWait is how long a request waits for memory before it is rejected. A request with a long timeout waits for
	// longer, up to MaxMemoryWait.
	MemoryWait, MaxMemoryWait time.Duration
	// ResponseWrite is how long after its timeout a client may take to read the response.
	ResponseWrite time.Duration
	// MalformedLinger is how long the rest of a malformed request is read before its connection is closed.
	MalformedLinger time.Duration
	// ReadyWithoutEndpoints is how long an agent without endpoints waits for discovery before it reports readiness
	// anyway. While discovery is down, the application is better served by rejections than by no response.
	ReadyWithoutEndpoints time.Duration
}

// DefaultTimeouts returns the timeouts for production use.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		FirstByte:             defaultFirstByteTimeout,
		ReadStall:             defaultReadStallTimeout,
		ReadTotal:             defaultReadTotalTimeout,
		Idle:                  defaultIdleTimeout,
		ReclaimIdle:           defaultReclaimIdleTimeout,
		ReclaimUnused:         defaultReclaimUnusedTimeout,
		ReclaimStalled:        defaultReclaimStalledTimeout,
		MinReclaimStalled:     defaultMinReclaimStalledTimeout,
		ReclaimWait:           defaultReclaimWaitTimeout,
		ReclaimSilent:         defaultReclaimSilentTimeout,
		ReclaimIdleHandler:    defaultReclaimIdleHandlerTimeout,
		MemoryWait:            defaultMemoryWaitTimeout,
		MaxMemoryWait:         defaultMaxMemoryWaitTimeout,
		ResponseWrite:         defaultResponseWriteTimeout,
		MalformedLinger:       defaultMalformedLingerTimeout,
		ReadyWithoutEndpoints: defaultReadyWithoutEndpointsTimeout,
	}
}

// Server accepts the application's connections and responds to its requests.
type Server struct {
	// Timeouts may be changed until Serve is called, since no connection is accepted before.
	Timeouts Timeouts

	connections *connectionTable
	listener    *admissionListener
	handler     *handler
	http        *http.Server
}

// NewServer returns a server for the connections of a listener. It accepts connections once Serve is called, and
// reserves the memory for them and for their requests in a budget.
func NewServer(listener net.Listener, c *config.Config, agentClock clock.Clock, loop EventLoop,
	budget *membudget.Budget, log *slog.Logger) *Server {
	s := &Server{Timeouts: DefaultTimeouts()}
	s.connections = newConnectionTable(maxConnections(c, budget), &s.Timeouts, budget, log)
	s.listener = newAdmissionListener(newConnectionListener(listener, s.connections, log))
	s.handler = newHandler(c, agentClock, loop, &s.Timeouts, s.connections.isNearLimit, log)
	s.http = &http.Server{
		Handler:        s.handler,
		ConnState:      s.connections.handleConnState,
		ConnContext:    withConnection,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		// Each request passes through the handler: the connection's requestScanner would lose its place otherwise.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves requests until StopAccepting or Close is called.
func (s *Server) Serve() error {
	s.http.ReadHeaderTimeout = s.Timeouts.FirstByte
	s.http.IdleTimeout = s.Timeouts.Idle
	go s.listener.acceptAll() // returns when the listener is closed
	return s.http.Serve(s.listener)
}

// StartShutdown makes each further response close its connection, and makes health checks report that the agent is not
// ready.
func (s *Server) StartShutdown() { s.handler.shuttingDown.Store(true) }

// CloseUsedIdle closes the idle connections that have had a request. From now on it also closes each connection once
// its response is written. Connections without a request so far stay open, since their clients are likely to send one.
func (s *Server) CloseUsedIdle() { s.connections.closeUsedIdle() }

// CloseAllIdle closes all idle connections, and from now on each connection once its response is written.
func (s *Server) CloseAllIdle() { s.connections.closeAllIdle() }

// RejectIncomplete responds with 503 to the requests that are incomplete, and closes their connections.
func (s *Server) RejectIncomplete() { s.connections.rejectIncomplete(http.StatusServiceUnavailable) }

// StopAccepting closes the listener; open connections stay open. An error is ignored, since the descriptor is released
// regardless.
func (s *Server) StopAccepting() { _ = s.listener.StopAccepting() }

// WaitForAllClosed blocks until no connection is open or ctx is done.
func (s *Server) WaitForAllClosed(ctx context.Context) { s.connections.waitForAllClosed(ctx) }

// Close closes the listener and all connections. Those with an incomplete first head are closed by their timeouts.
func (s *Server) Close() error {
	defer s.connections.closeAllIdle()
	return s.http.Close()
}

// LogTotals logs how the connections and the requests on them have ended that got no response of the event loop.
func (s *Server) LogTotals() { s.connections.ends.logTotals() }

// ConnectionCounts returns the number of open connections, and how many of these are on the idle list. It is used only
// in tests.
func (s *Server) ConnectionCounts() (open, idle int) { return s.connections.counts() }
