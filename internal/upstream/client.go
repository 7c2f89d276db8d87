// Package upstream is the servers' side of the agent: connections to endpoints, the attempts and health checks on
// them, and the result of each.
//
// It starts no goroutine for an attempt or a health check: each runs on its caller's. The only work in the
// background is the pool's sweep of idle connections (see pool).
package upstream

import (
	"context"
	"errors"
	"log/slog"
	"net/url"
	"syscall"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
)

const (
	// idleWithoutClose is how long connections stay idle to endpoints that never close one themselves.
	idleWithoutClose = time.Minute
	// holdUpAllowance is how much earlier than its last moment an attempt begins: a machine may be held up for 0.15 s
	// between the look at its clock and the write, of which endpoints allow for 0.05 s.
	holdUpAllowance = 100 * time.Millisecond
	// minStallTimeout is the least that a response which has begun may pause.
	minStallTimeout = 100 * time.Millisecond
)

var (
	// ErrNotServing is why an attempt has no connection if its endpoint began to drain or left the list after the
	// attempt was decided on.
	ErrNotServing = errors.New("endpoint is not serving")
	// ErrPoolExhausted is why an attempt has no connection if all that the pool may hold are in use.
	ErrPoolExhausted = errors.New("connection pool exhausted")
)

// Options are the parameters of a Client.
type Options struct {
	Table          *endpoint.Table // consulted right before the first byte of each attempt
	LoadReports    balancer.LoadReportSource
	ConnectTimeout time.Duration
	IdleClose      time.Duration // endpoints close connections that are idle for so long; 0: never
	MaxConnections int           // 0: no limit
	Log            *slog.Logger
	// DialControl is the Control function of the net.Dialer; may be nil.
	DialControl func(network, address string, conn syscall.RawConn) error
}

// Client carries out attempts and health checks. Each ends with exactly one result.
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
	maxIdle := options.IdleClose * 3 / 4 // before the endpoint closes it, which may cross a request
	if maxIdle == 0 {
		maxIdle = idleWithoutClose
	}
	pool := newPool(maxIdle, options.ConnectTimeout, options.MaxConnections)
	pool.dialer.Control = options.DialControl
	return &Client{
		pool:               pool,
		table:              options.Table,
		loadReports:        options.LoadReports,
		healthCheckTimeout: 2 * options.ConnectTimeout,
		stallTimeout:       max(2*options.ConnectTimeout, minStallTimeout),
		log:                options.Log,
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (c *Client) CloseIdle(endpointID string) { c.pool.closeIdle(endpointID) }

// Retire ends the use of all connections to an endpoint that drains, is gone or was started again: those in use
// close when they are done.
func (c *Client) Retire(endpointID string) { c.pool.retire(endpointID) }

// OpenConnections is the number of connections that are open or being dialled.
func (c *Client) OpenConnections() int { return c.pool.openConnections() }

// Request is a client's request as it is forwarded to endpoints.
type Request struct {
	ID             string // X-Call-Id
	IdempotencyKey string
	Method, Host   string
	Target         *url.URL // path and query as the client sent them
	Body           []byte
	Done           context.Context // once it ends, nothing more may go out for the request
	ClientGone     func() bool     // reports whether the client has left, which the owner may not know yet
}

// Bounds are the times between which an attempt has to take place.
type Bounds struct {
	Deadline time.Time // it has ended by then
	NotAfter time.Time // it must not begin after this; zero: no such bound
}

// mayBegin reports whether there is time to begin an attempt now.
func (b Bounds) mayBegin() bool {
	now := time.Now()
	return now.Before(b.Deadline) && (b.NotAfter.IsZero() || now.Add(holdUpAllowance).Before(b.NotAfter))
}

// Attempt forwards a request to an endpoint once and returns the result, and the response if there was one.
func (c *Client) Attempt(ctx context.Context, request *Request, endpointID string,
	bounds Bounds) (balancer.Result, Response) {
	deadline := bounds.Deadline
	// The end of the request ends a dial for it, but not an exchange that has begun.
	dialCtx, cancelDial := context.WithCancel(ctx)
	defer cancelDial()
	defer context.AfterFunc(request.Done, cancelDial)()
	conn, failure := c.connect(dialCtx, endpointID, deadline)
	if failure != nil {
		return failure.result, failure.response()
	}
	// The dial took time: the request may have ended meanwhile. From here to the first byte nothing waits.
	if request.Done.Err() != nil || request.ClientGone() || ctx.Err() != nil || !bounds.mayBegin() {
		c.pool.release(conn)
		return balancer.NotSent, Response{EndedAt: time.Now()}
	}
	return c.exchange(ctx, conn, newForwardedRequest(request, deadline), deadline)
}

// HealthCheck examines an endpoint outside any request.
func (c *Client) HealthCheck(ctx context.Context, endpointID string) (balancer.Result, Response) {
	deadline := time.Now().Add(c.healthCheckTimeout)
	conn, failure := c.connect(ctx, endpointID, deadline)
	if failure != nil {
		return failure.result, failure.response()
	}
	path := protocol.HealthPath
	if c.loadReports != balancer.LoadReportsNone {
		path = protocol.LoadReportPath
	}
	result, response := c.exchange(ctx, conn, newHealthCheckRequest(path, conn.RemoteAddr().String()), deadline)
	if path == protocol.LoadReportPath && response.Err == nil && response.Header.Get(protocol.HeaderLoadReport) == "" {
		response.Header.Set(protocol.HeaderLoadReport, string(response.Body))
	}
	return result, response
}

// connectError is why there is no connection for an attempt, and the attempt's result.
type connectError struct {
	result balancer.Result
	cause  error
}

func (e *connectError) Error() string { return "connect: " + e.cause.Error() }

func (e *connectError) Unwrap() error { return e.cause }

// response is what an attempt without a connection returns.
func (e *connectError) response() Response { return Response{EndedAt: time.Now(), Err: e} }

// connect returns a connection to an endpoint, idle or new. By the time it is there the endpoint may have begun to
// drain or have been started again: nothing goes out to a process that has ended, since the reset of that connection
// would look like the reset of a request that may have run.
func (c *Client) connect(ctx context.Context, endpointID string, deadline time.Time) (*connection, *connectError) {
	for {
		entry, serving := c.table.Serving(endpointID)
		if !serving { // no connection was tried, which proves that nothing ran: another endpoint may serve it
			return nil, &connectError{balancer.ConnectFailed, ErrNotServing}
		}
		conn := c.pool.takeIdle(endpointID)
		if conn == nil {
			var failure *connectError
			if conn, failure = c.dial(ctx, entry, deadline); failure != nil {
				return nil, failure
			}
		}
		if current, serving := c.table.Serving(endpointID); serving && conn.entry.SameProcess(current) {
			return conn, nil
		}
		c.pool.close(conn)
	}
}

// dial opens a connection for an attempt.
func (c *Client) dial(ctx context.Context, entry endpoint.Entry, deadline time.Time) (*connection, *connectError) {
	conn, err := c.pool.dial(ctx, entry, deadline)
	if err == nil {
		return conn, nil
	}
	if ctx.Err() != nil {
		return nil, &connectError{balancer.NotSent, err}
	}
	if errors.Is(err, socket.ErrLocalFailure) || errors.Is(err, ErrPoolExhausted) {
		return nil, &connectError{balancer.LocalFailure, err}
	}
	if socket.IsTimeout(err) { // the machine is silent: its idle connections are no better
		c.pool.closeIdle(entry.ID)
	}
	return nil, &connectError{balancer.ConnectFailed, err}
}
