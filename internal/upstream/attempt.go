package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/membudget"
	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
)

// This file implements an attempt: get a connection, verify that the request may still be sent, exchange request and
// response, classify the outcome, and close other idle connections to the endpoint that are probably dead as well.

const (
	// startMargin is the minimum time between the start of an attempt and AttemptOptions.NotAfter. The process may
	// stall for 150 ms between reading the clock and writing the request, of which endpoints tolerate 50 ms.
	startMargin = 100 * time.Millisecond
	// minIdleBeforeFailure is the minimum idle time of a connection for its failure at the next request to be
	// attributed to the idle time.
	minIdleBeforeFailure = 100 * time.Millisecond
)

// AttemptOptions are the parameters of one attempt.
type AttemptOptions struct {
	Number   int                 // number of the attempt within its request, for the log
	Deadline time.Time           // time by which the attempt must have finished
	NotAfter time.Time           // latest start of the attempt; zero means no limit
	Reuse    balancer.ReuseTerms // terms on which the attempt may reuse a connection

	SameProcess bool // see balancer.Send
}

// allowsStart reports whether an attempt may start now.
func (o AttemptOptions) allowsStart() bool {
	now := time.Now()
	return now.Before(o.Deadline) && (o.NotAfter.IsZero() || now.Add(startMargin).Before(o.NotAfter))
}

// Attempt sends a request to an endpoint once and returns the result and the response, if any. Cancelling ctx aborts
// the dial and the exchange. Cancelling request.Lifetime aborts only the dial, since the outcome of an exchange that
// has started must be known.
func (c *Client) Attempt(ctx context.Context, request *Request, endpointID string,
	options AttemptOptions) (balancer.Result, Response) {
	dialCtx, cancelDial := context.WithCancel(ctx)
	defer cancelDial()
	stopAfterFunc := context.AfterFunc(request.Lifetime, cancelDial)
	defer stopAfterFunc()
	label := exchangeLabel{requestID: request.ID, attempt: options.Number, endpointID: endpointID}
	if options.SameProcess && c.pool.mayHaveBeenReplaced(endpointID) { // spares a dial
		return c.withhold(label)
	}
	conn, failure := c.connect(dialCtx, endpointID, options.Deadline, options.Reuse.MinIdle)
	if failure != nil {
		c.logUnsent(label, failure.result, failure)
		return failure.result, unsentResponse(failure)
	}
	if options.SameProcess && c.pool.mayHaveBeenReplaced(endpointID) {
		c.pool.release(conn)
		return c.withhold(label)
	}
	// The request may have finished during the dial. Nothing blocks between this check and the write of the request.
	if err := validateStart(ctx, request, options); err != nil {
		c.pool.release(conn)
		c.logUnsent(label, balancer.NotSent, err)
		return balancer.NotSent, unsentResponse(err)
	}
	limits := c.newExchangeLimits(conn, options.Deadline, options.Reuse)
	limits.memory = request.Memory
	return c.sendOn(ctx, conn, label, newForwardedRequest(request, options.Deadline), limits)
}

// withhold returns the result of an attempt that may be sent to the listed process only, which may have been replaced.
func (c *Client) withhold(label exchangeLabel) (balancer.Result, Response) {
	c.logUnsent(label, balancer.Withheld, errMayBeReplaced)
	return balancer.Withheld, unsentResponse(errMayBeReplaced)
}

// validateStart returns an error if an attempt must not be sent now.
func validateStart(ctx context.Context, request *Request, options AttemptOptions) error {
	if err := request.validate(); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if !options.allowsStart() {
		return errTooLate
	}
	return nil
}

// HealthCheck sends a health check to an endpoint. If load reports are enabled, it requests protocol.LoadReportPath
// instead of protocol.HealthPath.
func (c *Client) HealthCheck(ctx context.Context, endpointID string,
	reuse balancer.ReuseTerms) (balancer.Result, Response) {
	deadline := time.Now().Add(c.healthCheckTimeout)
	label := exchangeLabel{endpointID: endpointID}
	conn, failure := c.connect(ctx, endpointID, deadline, reuse.MinIdle)
	if failure != nil {
		c.logUnsent(label, failure.result, failure)
		return failure.result, unsentResponse(failure)
	}
	path := protocol.HealthPath
	if c.loadReports != balancer.LoadReportsNone {
		path = protocol.LoadReportPath
	}
	request := newHealthCheckRequest(path, conn.netConn.RemoteAddr().String())
	result, response := c.sendOn(ctx, conn, label, request, c.newExchangeLimits(conn, deadline, reuse))
	if path == protocol.LoadReportPath {
		response.copyLoadReportToHeader()
	}
	return result, response
}

// unsentResponse returns the response of an attempt that sent no byte.
func unsentResponse(err error) Response { return Response{EndedAt: time.Now(), Err: err} }

// connect returns an idle or a new connection to an endpoint. The endpoint may start to drain or be restarted during
// the dial, so the connection is compared with the endpoint table and replaced if it leads to an earlier process. If
// a request were sent to a process that has exited, the reset could not be told from one after the request has run.
//
// It returns a *connectError instead of an error, because each failure carries the result of its attempt, and because
// a nil *connectError in an error interface would not compare equal to nil.
func (c *Client) connect(ctx context.Context, endpointID string, deadline time.Time,
	minIdle time.Duration) (*connection, *connectError) {
	for {
		entry, serving := c.table.LookupServing(endpointID)
		if !serving { // nothing was sent, so the request may be sent to another endpoint
			return nil, &connectError{endpointID, balancer.ConnectFailed, errNotServing}
		}
		conn, failure := c.takeIdleOrDial(ctx, entry, deadline, minIdle)
		if failure != nil {
			return nil, failure
		}
		if c.isCurrent(conn) {
			return conn, nil
		}
		c.pool.close(conn, closeObsolete)
	}
}

// isCurrent reports whether a connection leads to the process that the endpoint table lists as serving.
func (c *Client) isCurrent(conn *connection) bool {
	entry, serving := c.table.LookupServing(conn.endpointID())
	return serving && conn.entry.IsSameProcess(entry)
}

// takeIdleOrDial takes an idle connection from the pool, or dials a new one if none has been idle for minIdle.
func (c *Client) takeIdleOrDial(ctx context.Context, entry endpoint.Entry, deadline time.Time,
	minIdle time.Duration) (*connection, *connectError) {
	if conn := c.pool.takeIdle(entry.ID, minIdle); conn != nil {
		return conn, nil
	}
	conn, err := c.pool.dial(ctx, entry, deadline)
	if err == nil {
		return conn, nil
	}
	result := classifyDialError(ctx, err)
	if result == balancer.ConnectFailed {
		c.pool.losses.record(entry.ID, time.Now())
	}
	if result == balancer.ConnectFailed && socket.IsTimeout(err) {
		// The machine does not respond, so idle connections to it are presumed dead too. A dial that was cut short by
		// the request's deadline looks the same; closing connections then only costs handshakes.
		c.pool.closeIdle(entry.ID, closePresumedDead)
	}
	return nil, &connectError{entry.ID, result, err}
}

// classifyDialError returns the result of an attempt whose dial failed.
func classifyDialError(ctx context.Context, err error) balancer.Result {
	switch {
	case ctx.Err() != nil:
		return balancer.NotSent
	case errors.Is(err, socket.ErrLocalFailure) || errors.Is(err, errPoolExhausted):
		return balancer.LocalFailure
	}
	return balancer.ConnectFailed
}

// newExchangeLimits returns the limits of an exchange on a connection.
func (c *Client) newExchangeLimits(conn *connection, deadline time.Time, reuse balancer.ReuseTerms) exchangeLimits {
	return exchangeLimits{
		deadline:     deadline,
		stallTimeout: c.stallTimeout,
		notBefore:    conn.endOfLateWindow(reuse.LateWindow),
	}
}

// sendOn sends a request on a connection and reads the response. It returns the connection to the pool or closes it,
// and returns the result of the exchange and the response.
func (c *Client) sendOn(ctx context.Context, conn *connection, label exchangeLabel, request *http.Request,
	limits exchangeLimits) (balancer.Result, Response) {
	encoded, err := encodeRequest(request)
	if err != nil { // no byte was sent, so the request can't have run
		c.pool.release(conn)
		c.logUnsent(label, balancer.NotSent, err)
		return balancer.NotSent, unsentResponse(err)
	}
	// An idle connection was examined when it was taken.
	if conn.exchangeCount == 0 && socket.Peek(conn.netConn) == socket.Readable {
		c.pool.close(conn, closeUnrequestedBytes)
		c.logUnsent(label, balancer.ConnectFailed, errUnrequestedBytes)
		return balancer.ConnectFailed, unsentResponse(errUnrequestedBytes)
	}
	c.pool.countExchange(conn)
	// After its release another goroutine may use the connection, so the state that is needed later is copied here.
	snapshot := newConnectionSnapshot(conn)
	outcome := exchange(ctx, conn.netConn, encoded, limits)
	result := classify(outcome, ctx.Err() != nil)
	c.logExchange(label, snapshot, result, outcome)
	c.finishExchange(conn, outcome)
	if !outcome.isNoResponse() {
		c.recordLoss(snapshot.endpointID, result)
		c.closeDeadConnections(snapshot, result)
	}
	c.logUnexpectedResponse(snapshot.endpointID, result, outcome.response)
	return result, outcome.response
}

// recordLoss records that the connection of an exchange has broken, if its result says so.
func (c *Client) recordLoss(endpointID string, result balancer.Result) {
	if result == balancer.Reset || result == balancer.ConnectFailed {
		c.pool.losses.record(endpointID, time.Now())
	}
}

// finishExchange returns the connection of an exchange to the pool, or closes it.
func (c *Client) finishExchange(conn *connection, outcome exchangeOutcome) {
	switch {
	case outcome.reusable:
		c.pool.release(conn)
	case outcome.following != followedByNothing:
		conn.idleSince = outcome.response.EndedAt
		c.pool.close(conn, closeUnrequestedBytes)
	case errors.Is(outcome.response.Err, errUnrequestedBytes):
		c.pool.close(conn, closeUnrequestedBytes)
	case errors.Is(outcome.response.Err, errEarlyBytes):
		c.pool.close(conn, closeEarlyBytes)
	default:
		c.pool.close(conn, closeUnusable)
	}
}

// classify returns the result that the protocol defines for the outcome of an exchange. If it is unknown whether the
// request ran, the result says that it may have run.
func classify(outcome exchangeOutcome, cancelled bool) balancer.Result {
	response := outcome.response
	_, isShort := errors.AsType[*membudget.ShortageError](response.Err)
	switch {
	case response.isServed():
		return balancer.Served
	case isShort:
		return balancer.Cancelled // the endpoint is not the cause, and the request may have run
	case response.Err == nil && response.isRejected():
		return balancer.Rejected
	case response.Err == nil || errors.Is(response.Err, errMalformedResponse):
		return balancer.ServerError
	case !outcome.requestWritten:
		return balancer.ConnectFailed // the request was not sent completely, so it can't have run
	case cancelled:
		return balancer.Cancelled
	case socket.IsTimeout(response.Err):
		return balancer.TimedOut
	}
	return balancer.Reset
}

// connectionSnapshot is the state of a connection right before an exchange.
type connectionSnapshot struct {
	endpointID   string
	number       int64
	exchange     int           // number of the exchange on the connection, from 1
	idleSince    time.Time     // start of the idle time; zero for a new connection
	idleDuration time.Duration // idle time until the exchange; 0 for a new connection
	startedAt    time.Time     // start of the exchange
}

func newConnectionSnapshot(conn *connection) connectionSnapshot {
	return connectionSnapshot{
		endpointID:   conn.endpointID(),
		number:       conn.number,
		exchange:     conn.exchangeCount,
		idleSince:    conn.idleSince,
		idleDuration: conn.idleDuration(),
		startedAt:    time.Now(),
	}
}

// closeDeadConnections closes the idle connections to an endpoint that are presumed dead, given the result of an
// exchange and the state of its connection before it. An unsafe request that is sent on a dead connection can't be
// retried.
func (c *Client) closeDeadConnections(snapshot connectionSnapshot, result balancer.Result) {
	switch {
	case result == balancer.TimedOut:
		// If the machine has vanished, a request on an idle connection is lost without an error. A dial fails within
		// the connect timeout instead, which proves that the request did not run.
		c.pool.closeIdle(snapshot.endpointID, closePresumedDead)
	case (result == balancer.Reset || result == balancer.ConnectFailed) && snapshot.idleDuration > minIdleBeforeFailure:
		// The cause, such as a middlebox or a restart of the machine, has also ended the connections that were idle for
		// longer. The failure of a connection that was not idle implies nothing about the others, and closing those
		// would cost the endpoint one handshake each.
		c.pool.closeIdleSince(snapshot.endpointID, snapshot.idleSince, closePresumedDead)
	}
}
