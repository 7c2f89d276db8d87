// Package upstream is the endpoints' side of the agent: connections to endpoints, the attempts and health checks on
// them, and the result of each.
//
// An attempt or a health check runs on its caller's goroutine (attempt.go). The only work in the background is the
// pool's sweep of idle connections (pool.go).
package upstream

import (
	"log/slog"
	"syscall"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

const (
	// idleTimeoutFactor is the share of the endpoints' own idle timeout after which the pool closes a connection: a close
	// by the endpoint may cross a request.
	idleTimeoutFactor = 0.75
	// defaultIdleTimeout is how long connections stay idle to endpoints that never close one themselves.
	defaultIdleTimeout = time.Minute
	// healthCheckTimeoutFactor is the time that a health check may take, as a multiple of the connect timeout.
	healthCheckTimeoutFactor = 2
	// stallTimeoutFactor is how long a response that has begun may pause, as a multiple of the connect timeout.
	stallTimeoutFactor = 2
	// minStallTimeout is the lower bound of that pause.
	minStallTimeout = 100 * time.Millisecond
)

// Options are the parameters of a Client.
type Options struct {
	Table               *endpoint.Table // consulted right before the first byte of each attempt
	LoadReports         balancer.LoadReportSource
	ConnectTimeout      time.Duration
	EndpointIdleTimeout time.Duration // the endpoints' idle timeout; 0: they never close an idle connection
	MaxConnections      int           // 0: no limit
	Log                 *slog.Logger
	// DialControl is the Control function of the net.Dialer; may be nil.
	DialControl func(network, address string, conn syscall.RawConn) error
}

// Client carries out attempts and health checks. Each ends with exactly one result. Its methods may be called on any
// goroutine.
type Client struct {
	pool               *pool
	table              *endpoint.Table
	loadReports        balancer.LoadReportSource
	healthCheckTimeout time.Duration
	stallTimeout       time.Duration // a response that has begun and pauses for longer is malformed
	log                *slog.Logger
}

// New returns a client without connections.
func New(options Options) *Client {
	idleTimeout := time.Duration(idleTimeoutFactor * float64(options.EndpointIdleTimeout))
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	pool := newPool(idleTimeout, options.ConnectTimeout, options.MaxConnections)
	pool.dialer.Control = options.DialControl
	return &Client{
		pool:               pool,
		table:              options.Table,
		loadReports:        options.LoadReports,
		healthCheckTimeout: healthCheckTimeoutFactor * options.ConnectTimeout,
		stallTimeout:       max(stallTimeoutFactor*options.ConnectTimeout, minStallTimeout),
		log:                options.Log,
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (c *Client) CloseIdle(endpointID string) { c.pool.closeIdle(endpointID) }

// DrainConnections ends the use of all connections to an endpoint that drains, is gone or was restarted: idle ones
// are closed at once, those in use after their exchange.
func (c *Client) DrainConnections(endpointID string) { c.pool.drain(endpointID) }

// OpenConnections is the number of connections that are open or being dialled.
func (c *Client) OpenConnections() int { return c.pool.openConnections() }
