// Package frontend is the application's side of the agent: it accepts connections, reads and checks requests, hands
// them to the event loop and writes the responses.
package frontend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/config"
)

// maxHeaderBytes bounds the head of a request; net/http allows a little more.
const maxHeaderBytes = 8 << 10

// The timeouts in service, one for each field of Timeouts.
const (
	// A first byte that comes just in time leaves minReadTime until ReadRequest, which counts from the connect, ends.
	defaultFirstByteTimeout     = defaultReadStallTimeout - minReadTimeout
	defaultReadStallTimeout     = 2800 * time.Millisecond
	defaultReadTotalTimeout     = 4500 * time.Millisecond
	defaultReclaimIdleTimeout   = 2 * time.Second
	defaultReclaimUnusedTimeout = 250 * time.Millisecond
	// The connection stays a little longer than until it may be reclaimed; the reason of the size is not recorded.
	defaultIdleTimeout                  = defaultReclaimIdleTimeout + 100*time.Millisecond
	defaultMalformedLingerTimeout       = 100 * time.Millisecond
	defaultReadyWithoutEndpointsTimeout = 5 * time.Second
)

// Timeouts bound how long clients may take, and how long their connections are kept.
type Timeouts struct {
	// FirstByte is how long a new connection may be silent.
	FirstByte time.Duration
	// ReadStall is how long a client may pause within a request. Until the request's second read it counts from the
	// first byte, or from the connect for the first request of a connection.
	ReadStall time.Duration
	// ReadTotal is how long a request may take in all if its client goes on sending.
	ReadTotal time.Duration
	// Idle ends a connection that has had no request for so long. Clients hold half of the descriptors at most: those
	// that stay after one request would keep the others out.
	Idle time.Duration
	// ReclaimIdle is how long a connection must have been without an open request before it may be closed to free
	// its descriptor for another one.
	ReclaimIdle time.Duration
	// ReclaimUnused is the same for a connection that has never had a request: clients connect to send one.
	ReclaimUnused time.Duration
	// MalformedLinger is how long the rest of a malformed request is read before its connection is closed.
	MalformedLinger time.Duration
	// ReadyWithoutEndpoints is how long an agent that knows no endpoint waits for discovery before it reports that it
	// is ready all the same: while discovery is down, rejections are a better answer to the application than silence.
	ReadyWithoutEndpoints time.Duration
}

// DefaultTimeouts returns the timeouts used in service.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		FirstByte:             defaultFirstByteTimeout,
		ReadStall:             defaultReadStallTimeout,
		ReadTotal:             defaultReadTotalTimeout,
		Idle:                  defaultIdleTimeout,
		ReclaimIdle:           defaultReclaimIdleTimeout,
		ReclaimUnused:         defaultReclaimUnusedTimeout,
		MalformedLinger:       defaultMalformedLingerTimeout,
		ReadyWithoutEndpoints: defaultReadyWithoutEndpointsTimeout,
	}
}

// Server accepts the application's connections and answers its requests.
type Server struct {
	// Timeouts may be changed until Serve is called: no connection is accepted before.
	Timeouts Timeouts

	connections *connectionTable
	listener    *connectionListener
	handler     *handler
	http        *http.Server
}

// NewServer returns a server for the connections of a listener. It answers once Serve is called.
func NewServer(listener net.Listener, c *config.Config, agentClock clock.Clock, loop EventLoop,
	log *slog.Logger) *Server {
	s := &Server{Timeouts: DefaultTimeouts()}
	s.connections = newConnectionTable(c.MaxClientConnections(), &s.Timeouts)
	s.listener = newConnectionListener(listener, s.connections, log)
	s.handler = newHandler(c, agentClock, loop, &s.Timeouts, s.connections.isNearLimit)
	s.http = &http.Server{
		Handler:        s.handler,
		ConnState:      s.connections.handleConnState,
		ConnContext:    withConnection,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return s
}

// Addr is the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers requests until StopAccepting or Close is called.
func (s *Server) Serve() error {
	s.http.ReadHeaderTimeout = s.Timeouts.FirstByte
	s.http.IdleTimeout = s.Timeouts.Idle
	return s.http.Serve(s.listener)
}

// StartShutdown has each response close its connection from now on, and the health endpoint answer that the agent
// is not ready.
func (s *Server) StartShutdown() { s.handler.shuttingDown.Store(true) }

// CloseUsedIdle closes the connections that have had a request and are without an open one, and from now on each as
// its response is out. Those that have not had one yet stay: who connects now is about to send one.
func (s *Server) CloseUsedIdle() { s.connections.closeUsedIdle() }

// CloseAllIdle closes all connections that are without an open request, and from now on each as its response is out.
func (s *Server) CloseAllIdle() { s.connections.closeAllIdle() }

// RejectIncomplete answers the requests that have begun and are not complete with 503, and closes their connections.
func (s *Server) RejectIncomplete() { s.connections.rejectIncomplete(http.StatusServiceUnavailable) }

// StopAccepting closes the listener; open connections stay. An error is ignored: the system takes the descriptor back
// in any case.
func (s *Server) StopAccepting() { _ = s.listener.Close() }

// WaitForAllClosed waits until no connection is open, or ctx ends.
func (s *Server) WaitForAllClosed(ctx context.Context) { s.connections.waitForAllClosed(ctx) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// ConnectionCounts returns how many connections are open, and how many of these are on the idle list. It is for tests alone.
func (s *Server) ConnectionCounts() (open, idle int) { return s.connections.counts() }
