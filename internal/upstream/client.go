// Package upstream manages connections to endpoints and runs attempts and health checks on them.
//
// An attempt or a health check runs on the goroutine of its caller (attempt.go). The only background work is the
// pool's periodic close of idle connections (pool.go).
package upstream

import (
	"log/slog"
	"syscall"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

const (
	// idleTimeoutFactor is the pool's idle timeout as a fraction of that of the endpoints. It is below 1 so that the
	// pool closes an idle connection before the endpoint does, which could be just as a request is sent on it.
	idleTimeoutFactor = 0.75
	// defaultIdleTimeout is the pool's idle timeout if endpoints never close idle connections.
	defaultIdleTimeout = time.Minute
	// healthCheckTimeoutFactor is the timeout of a health check as a multiple of the connect timeout.
	healthCheckTimeoutFactor = 2
	// stallTimeoutFactor is the stall timeout, the maximum pause within a response, as a multiple of the connect
	// timeout.
	stallTimeoutFactor = 2
	// minStallTimeout is the lower bound of the stall timeout.
	minStallTimeout = 100 * time.Millisecond
)

// Options are the parameters of a Client.
type Options struct {
	Table               *endpoint.Table           // consulted right before each attempt sends its request
	LoadReports         balancer.LoadReportSource // if not LoadReportsNone, health checks request load reports
	ConnectTimeout      time.Duration             // timeout of a dial; base of the health check and stall timeouts
	EndpointIdleTimeout time.Duration             // idle timeout of the endpoints; 0 means that they have none
	MaxConnections      int                       // maximum number of connections to all endpoints; 0 means no limit
	// OnEvent is called, on any goroutine, when a connection without a request in flight is closed because of bytes
	// that belong to no request (balancer.UnrequestedBytes), or by its endpoint (balancer.ConnectionLost). It may
	// block. It may be nil.
	OnEvent func(balancer.Event)
	Log     *slog.Logger
	// DialControl is the Control function of the net.Dialer. It may be nil.
	DialControl func(network, address string, conn syscall.RawConn) error
}

// Client runs attempts and health checks. Each call returns exactly one result. Client is safe for concurrent use.
type Client struct {
	pool               *pool
	table              *endpoint.Table
	loadReports        balancer.LoadReportSource
	healthCheckTimeout time.Duration // timeout of a health check, including its dial
	stallTimeout       time.Duration // maximum pause within a response; a response with a longer pause is malformed
	log                *slog.Logger
}

// New returns a client without connections.
func New(options Options) *Client {
	idleTimeout := time.Duration(idleTimeoutFactor * float64(options.EndpointIdleTimeout))
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	pool := newPool(idleTimeout, options.ConnectTimeout, options.MaxConnections, options.Log)
	pool.dialer.Control = options.DialControl
	pool.onEvent = options.OnEvent
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
func (c *Client) CloseIdle(endpointID string) { c.pool.closeIdle(endpointID, closeRequested) }

// DrainConnections closes the connections to an endpoint that is draining, was removed, was restarted or has a new
// address: idle connections at once, connections in use when their exchange finishes.
func (c *Client) DrainConnections(endpointID string) { c.pool.drain(endpointID) }

// Totals returns the totals since the start.
func (c *Client) Totals() Totals { return c.pool.totals() }

// OpenConnections returns the number of connections that are open or being dialed.
func (c *Client) OpenConnections() int { return c.pool.openConnections() }
