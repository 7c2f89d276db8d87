package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
	"ashshunt/internal/telemetry"
)

// This file is the life of an attempt: connect, check that the request may still go out, exchange, classify the
// outcome, and draw the conclusions about the endpoint's other connections.

const (
	// startMargin is how much earlier than Bounds.NotAfter an attempt must begin: the machine may stall for 0.15 s
	// between the reading of its clock and the write, and endpoints tolerate 0.05 s of that.
	startMargin = 100 * time.Millisecond
	// minIdleBeforeFailure is how long a connection must have been idle for a break at its next request to count as
	// caused by the idle time.
	minIdleBeforeFailure = 100 * time.Millisecond
)

// Bounds are the latest times at which an attempt may begin and end.
type Bounds struct {
	Deadline time.Time // by which it has ended
	NotAfter time.Time // it must not begin after this; zero: no such bound
}

// allowsStart reports whether an attempt may begin now.
func (b Bounds) allowsStart() bool {
	now := time.Now()
	return now.Before(b.Deadline) && (b.NotAfter.IsZero() || now.Add(startMargin).Before(b.NotAfter))
}

// Attempt forwards a request to an endpoint once and returns the result, and the response if there was one. The end of
// ctx cancels the dial and the exchange; the end of request.Lifetime cancels the dial alone, since the outcome of an
// exchange that has begun must become known.
func (c *Client) Attempt(ctx context.Context, request *Request, endpointID string,
	bounds Bounds) (balancer.Result, Response) {
	dialCtx, cancelDial := context.WithCancel(ctx)
	defer cancelDial()
	stopAfterFunc := context.AfterFunc(request.Lifetime, cancelDial)
	defer stopAfterFunc()
	conn, failure := c.connect(dialCtx, endpointID, bounds.Deadline)
	if failure != nil {
		return failure.result, unsentResponse(failure)
	}
	// The request may have ended during the dial. From here to the first byte nothing blocks.
	if request.isFinished() || ctx.Err() != nil || !bounds.allowsStart() {
		c.pool.release(conn)
		return balancer.NotSent, unsentResponse(nil)
	}
	return c.exchange(ctx, conn, newForwardedRequest(request, bounds.Deadline), bounds.Deadline)
}

// HealthCheck examines an endpoint outside any request. Where load reports are used, it asks for one.
func (c *Client) HealthCheck(ctx context.Context, endpointID string) (balancer.Result, Response) {
	deadline := time.Now().Add(c.healthCheckTimeout)
	conn, failure := c.connect(ctx, endpointID, deadline)
	if failure != nil {
		return failure.result, unsentResponse(failure)
	}
	path := protocol.HealthPath
	if c.loadReports != balancer.LoadReportsNone {
		path = protocol.LoadReportPath
	}
	result, response := c.exchange(ctx, conn, newHealthCheckRequest(path, conn.netConn.RemoteAddr().String()), deadline)
	if path == protocol.LoadReportPath {
		response.copyLoadReportToHeader()
	}
	return result, response
}

// unsentResponse is the response of an attempt that sent no byte; err may be nil.
func unsentResponse(err error) Response { return Response{EndedAt: time.Now(), Err: err} }

// connect returns a connection to an endpoint, idle or new. By the time it is open the endpoint may be draining or have
// been restarted: nothing is sent to a process that has ended, since the reset of that connection would look like the
// reset of a request that may have run.
//
// It returns no error interface: each failure has the result of its attempt, and nil compared as an error would not be
// nil.
func (c *Client) connect(ctx context.Context, endpointID string, deadline time.Time) (*connection, *connectError) {
	for {
		entry, serving := c.table.LookupServing(endpointID)
		if !serving { // nothing was sent, so another endpoint may serve the request
			return nil, &connectError{endpointID, balancer.ConnectFailed, ErrNotServing}
		}
		conn, failure := c.takeIdleOrDial(ctx, entry, deadline)
		if failure != nil {
			return nil, failure
		}
		if c.isCurrent(conn) {
			return conn, nil
		}
		c.pool.close(conn)
	}
}

// isCurrent reports whether a connection leads to the process that the endpoint table lists as serving.
func (c *Client) isCurrent(conn *connection) bool {
	entry, serving := c.table.LookupServing(conn.endpointID())
	return serving && conn.entry.IsSameProcess(entry)
}

// takeIdleOrDial takes an idle connection, or dials one if there is none.
func (c *Client) takeIdleOrDial(ctx context.Context, entry endpoint.Entry,
	deadline time.Time) (*connection, *connectError) {
	if conn := c.pool.takeIdle(entry.ID); conn != nil {
		return conn, nil
	}
	conn, err := c.pool.dial(ctx, entry, deadline)
	if err == nil {
		return conn, nil
	}
	result := classifyDialError(ctx, err)
	if result == balancer.ConnectFailed && socket.IsTimeout(err) {
		// The machine is silent, so its idle connections are no better. A short deadline of the request looks the same,
		// and costs handshakes at most.
		c.pool.closeIdle(entry.ID)
	}
	return nil, &connectError{entry.ID, result, err}
}

// classifyDialError returns the result of an attempt whose dial failed.
func classifyDialError(ctx context.Context, err error) balancer.Result {
	switch {
	case ctx.Err() != nil:
		return balancer.NotSent
	case errors.Is(err, socket.ErrLocalFailure) || errors.Is(err, ErrPoolExhausted):
		return balancer.LocalFailure
	}
	return balancer.ConnectFailed
}

// exchange sends a request on a connection, gives the connection back to the pool or closes it, and returns the
// result by the protocol's table.
func (c *Client) exchange(ctx context.Context, conn *connection, request *http.Request,
	deadline time.Time) (balancer.Result, Response) {
	encoded, err := encodeRequest(request)
	if err != nil { // no byte went out: it can't have run
		c.pool.release(conn)
		return balancer.NotSent, unsentResponse(err)
	}
	// Once it is released, the connection belongs to others.
	snapshot := connectionSnapshot{conn.endpointID(), conn.idleSince, conn.idleDuration()}
	outcome := roundTrip(ctx, conn.netConn, encoded, deadline, c.stallTimeout)
	if outcome.reusable {
		c.pool.release(conn)
	} else {
		c.pool.close(conn)
	}
	result := classify(outcome, ctx.Err() != nil)
	c.closeDeadConnections(snapshot, result)
	c.logUnexpectedResponse(snapshot.endpointID, result, outcome.response)
	return result, outcome.response
}

// classify is the protocol's table of outcomes. In doubt its result says that the request may have run.
func classify(outcome exchangeOutcome, cancelled bool) balancer.Result {
	response := outcome.response
	switch {
	case response.Err == nil && response.Status == http.StatusOK:
		return balancer.Served
	case response.Err == nil && response.isRejected():
		return balancer.Rejected
	case response.Err == nil || errors.Is(response.Err, ErrMalformedResponse):
		return balancer.ServerError
	case !outcome.requestWritten:
		return balancer.ConnectFailed // its last byte never left
	case cancelled:
		return balancer.Cancelled
	case socket.IsTimeout(response.Err):
		return balancer.TimedOut
	}
	return balancer.Reset
}

// connectionSnapshot is what is known of a connection before its exchange.
type connectionSnapshot struct {
	endpointID   string
	idleSince    time.Time     // zero for a new one
	idleDuration time.Duration // until the exchange
}

// closeDeadConnections closes the idle connections to an endpoint that are dead as well, judging by the result of an
// exchange and the state of its connection before: an unsafe request that is sent on a dead connection may not be sent
// again.
func (c *Client) closeDeadConnections(snapshot connectionSnapshot, result balancer.Result) {
	switch {
	case result == balancer.TimedOut:
		// Idle connections to a machine that vanished swallow what is written to them; a new one fails fast, and
		// proves that nothing ran.
		c.pool.closeIdle(snapshot.endpointID)
	case (result == balancer.Reset || result == balancer.ConnectFailed) && snapshot.idleDuration > minIdleBeforeFailure:
		// Whatever ended the connection while it was idle, such as a middlebox or a restart of the machine, has ended
		// those that have been idle for longer too. A break of a busy connection says nothing about the others, and
		// to close them would cost the endpoint a handshake each.
		c.pool.closeIdleSince(snapshot.endpointID, snapshot.idleSince)
	}
}

// logUnexpectedResponse logs a response that no endpoint should send.
func (c *Client) logUnexpectedResponse(endpointID string, result balancer.Result, response Response) {
	if errors.Is(response.Err, ErrMalformedResponse) {
		c.log.Warn(telemetry.MsgMalformedResponse, telemetry.Endpoint(endpointID), telemetry.Err(response.Err))
		return
	}
	if response.Err == nil && result == balancer.ServerError && response.Status != http.StatusInternalServerError {
		c.log.Warn(telemetry.MsgUnexpectedStatus, telemetry.Endpoint(endpointID), "status", response.Status)
	}
}
