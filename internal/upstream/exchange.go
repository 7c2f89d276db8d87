package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
	"ashshunt/internal/telemetry"
)

// minIdleBeforeBreak is how long a connection must have been idle for a break at its next request to be put down to
// that time.
const minIdleBeforeBreak = 100 * time.Millisecond

// responseBufferSize is the size of the buffer through which a response is read.
const responseBufferSize = 4096

// interruptAt is a deadline in the past: it ends reads and writes that wait.
var interruptAt = time.Unix(1, 0)

// exchangeResult is what became of one request on one connection.
type exchangeResult struct {
	response       Response
	requestWritten bool // the request's last byte went out
	reusable       bool // the connection may carry another request
}

// newForwardedRequest is the HTTP request of an attempt.
func newForwardedRequest(request *Request, deadline time.Time) *http.Request {
	timeoutMs := max(1, time.Until(deadline).Milliseconds())
	httpRequest := newHTTPRequest(request.Method, request.Target, request.Host)
	httpRequest.Header[protocol.HeaderRequestID] = []string{request.ID}
	httpRequest.Header[protocol.HeaderTimeout] = []string{strconv.FormatInt(timeoutMs, 10)}
	if request.IdempotencyKey != "" {
		httpRequest.Header[protocol.HeaderIdempotencyKey] = []string{request.IdempotencyKey}
	}
	if len(request.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
		httpRequest.ContentLength = int64(len(request.Body))
	}
	return httpRequest
}

// newHealthCheckRequest is the HTTP request of a health check.
func newHealthCheckRequest(path, host string) *http.Request {
	return newHTTPRequest(http.MethodGet, &url.URL{Path: path}, host)
}

func newHTTPRequest(method string, target *url.URL, host string) *http.Request {
	return &http.Request{Method: method, URL: target, Host: host, Header: http.Header{
		"User-Agent": {""}, // none; left out, net/http would add its own
	}}
}

// exchange sends a request on a connection, gives the connection back to the pool or closes it, and returns the
// result by the protocol's table.
func (c *Client) exchange(ctx context.Context, conn *connection, request *http.Request,
	deadline time.Time) (balancer.Result, Response) {
	var raw bytes.Buffer
	if err := request.Write(&raw); err != nil { // before any byte went out: it can't have run
		c.pool.release(conn)
		return balancer.NotSent, Response{EndedAt: time.Now(), Err: err}
	}
	var idle time.Duration
	if !conn.idleSince.IsZero() {
		idle = time.Since(conn.idleSince)
	}
	done := roundTrip(ctx, conn.Conn, raw.Bytes(), deadline, c.stallTimeout)
	if done.reusable {
		c.pool.release(conn)
	} else {
		c.pool.close(conn)
	}
	result := resultOf(done, ctx.Err() != nil)
	c.closeDeadConnections(conn, result, idle)
	c.logUnusable(conn.endpointID(), result, done.response)
	return result, done.response
}

// closeDeadConnections closes those idle connections to an endpoint of which the end of an exchange tells that they
// are dead as well: an unsafe request that goes out on one may not be sent again.
func (c *Client) closeDeadConnections(conn *connection, result balancer.Result, idle time.Duration) {
	switch {
	case result == balancer.TimedOut:
		// Idle connections to a machine that vanished swallow what is written to them; a new one fails fast, and
		// proves that nothing ran.
		c.pool.closeIdle(conn.endpointID())
	case (result == balancer.Reset || result == balancer.ConnectFailed) && idle > minIdleBeforeBreak:
		// Whatever ended the connection while it was idle, a middlebox or a machine that was away, has ended those
		// that have been idle for longer too. One that broke in full use tells nothing of the others, and closing
		// them costs the endpoint a handshake each.
		c.pool.closeIdleSince(conn.endpointID(), conn.idleSince)
	}
}

// logUnusable logs a response that no endpoint should send.
func (c *Client) logUnusable(endpointID string, result balancer.Result, response Response) {
	if errors.Is(response.Err, ErrMalformedResponse) {
		c.log.Warn(telemetry.MsgMalformedResponse, telemetry.Endpoint(endpointID), telemetry.Err(response.Err))
		return
	}
	if response.Err == nil && result == balancer.ServerError && response.Status != http.StatusInternalServerError {
		c.log.Warn(telemetry.MsgUnexpectedStatus, telemetry.Endpoint(endpointID), "status", response.Status)
	}
}

// resultOf is the protocol's table of outcomes. Where there is doubt, the request may have run.
func resultOf(done exchangeResult, cancelled bool) balancer.Result {
	response := done.response
	switch {
	case response.Err == nil && response.Status == http.StatusOK:
		return balancer.Served
	case response.Err == nil && response.rejected():
		return balancer.Rejected
	case response.Err == nil || errors.Is(response.Err, ErrMalformedResponse):
		return balancer.ServerError
	case !done.requestWritten:
		return balancer.ConnectFailed // its last byte never left
	case cancelled:
		return balancer.Cancelled
	case socket.IsTimeout(response.Err):
		return balancer.TimedOut
	}
	return balancer.Reset
}

// readers are the buffers of exchanges; an idle connection has none.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, responseBufferSize) }}

// roundTrip writes a request in one go and reads its response. The end of ctx interrupts it.
func roundTrip(ctx context.Context, conn net.Conn, request []byte, deadline time.Time,
	stallTimeout time.Duration) exchangeResult {
	// A deadline can't be set on a connection that has been closed, where the write and the read fail as well.
	_ = conn.SetDeadline(deadline)
	stopInterrupt := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(interruptAt) })
	defer stopInterrupt()
	if n, err := conn.Write(request); n < len(request) {
		return exchangeResult{response: Response{Err: err, EndedAt: time.Now()}}
	}
	buffer := readers.Get().(*bufio.Reader)
	reader := &responseReader{conn: conn, ctx: ctx, buffer: buffer, deadline: deadline, stallTimeout: stallTimeout}
	buffer.Reset(reader)
	response, keepAlive := reader.readResponse()
	response.EndedAt = time.Now()
	unreadBytes := buffer.Buffered() > 0 // they would pass for the response to the next request
	buffer.Reset(nil)
	readers.Put(buffer)
	return exchangeResult{
		response:       response,
		requestWritten: true,
		reusable:       keepAlive && !unreadBytes && stopInterrupt(),
	}
}
