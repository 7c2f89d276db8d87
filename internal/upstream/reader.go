package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"ashshunt/internal/membudget"
	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
)

const (
	// maxHeadSize is the maximum size in bytes of a status line and header.
	maxHeadSize = 16 << 10
	// maxInformationalResponses is the maximum number of 1xx responses before the final one.
	maxInformationalResponses = 8
	// maxEncodedBodySize is the maximum size in bytes of a body including its chunk framing.
	maxEncodedBodySize = 2 * protocol.MaxBodySize
	// unreservedBodySize is the maximum size in bytes of a body whose memory counts as part of its request's.
	unreservedBodySize = 4 << 10
)

// responseReader reads one response from a connection, with limits on its time and size.
type responseReader struct {
	conn   net.Conn
	ctx    context.Context // context of the attempt; cancelling it interrupts reads
	buffer *bufio.Reader   // reads through this responseReader
	limits exchangeLimits

	started        bool      // at least one byte of the current response was received
	firstByteAt    time.Time // time of the first byte of the first response; zero: not received
	bytesRemaining int       // number of bytes that may still be read from conn for the current head or body
	connErr        error     // last error of the connection
	reserved       int       // number of bytes of memory that are reserved for bodies
}

// readResponse reads the final response and skips the informational responses before it. It never returns a partial
// response: on failure, the response has only an error. keepAlive reports whether the connection may be used for
// another request.
func (r *responseReader) readResponse() (response Response, keepAlive bool) {
	for range maxInformationalResponses + 1 {
		r.bytesRemaining, r.started = maxHeadSize, r.buffer.Buffered() > 0
		head, err := readHead(r.buffer)
		if err != nil {
			return r.failedResponse(err), false
		}
		if head.isInformational() {
			r.setReadDeadline(r.limits.deadline) // the stall timeout does not apply until the next response starts
			continue
		}
		framing, err := head.parseFraming()
		if err != nil {
			return r.failedResponse(err), false
		}
		r.bytesRemaining = maxEncodedBodySize
		body, err := framing.readBody(r.buffer, r.reserveBody)
		if err != nil {
			return r.failedResponse(err), false
		}
		keepAlive = head.keepAlive && framing.kind != framedByClose
		return Response{Status: head.status, Header: head.header, Body: body}, keepAlive
	}
	return r.failedResponse(fmt.Errorf("more than %d informational responses before the final response",
		maxInformationalResponses)), false
}

// reserveBody reserves memory for a body of up to the given size, unless it is short. It waits for the memory until the
// deadline of the response; the body stays in the socket until then.
func (r *responseReader) reserveBody(size int) error {
	if size <= unreservedBodySize {
		return nil
	}
	ctx, cancel := context.WithDeadline(r.ctx, r.limits.deadline)
	defer cancel()
	if err := r.limits.memory.Grow(ctx, membudget.Responses, int64(size)); err != nil {
		return err
	}
	r.reserved += size
	return nil
}

// releaseUnused releases the memory that is reserved for bodies, except for that of the response if it is served.
func (r *responseReader) releaseUnused(response Response) {
	used := 0
	if response.isServed() && len(response.Body) > unreservedBodySize {
		used = len(response.Body)
	}
	r.limits.memory.Shrink(membudget.Responses, int64(r.reserved-used))
}

// Read implements io.Reader for the buffer. It records connection errors in connErr, since the errors of the parsers do
// not distinguish a closed connection from a malformed response.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.bytesRemaining <= 0 {
		return 0, errors.New("response head or body exceeds its size limit")
	}
	if r.started {
		r.setReadDeadline(time.Now().Add(r.limits.stallTimeout))
	}
	n, err := r.conn.Read(p[:min(len(p), r.bytesRemaining)])
	r.bytesRemaining -= n
	r.started = r.started || n > 0
	if n > 0 && r.firstByteAt.IsZero() {
		r.firstByteAt = time.Now()
		if noResponse := r.examineFirstBytes(); noResponse != nil {
			n, err = 0, noResponse
		}
	}
	if err != nil {
		r.connErr = err
	}
	return n, err
}

// examineFirstBytes returns an error if the first bytes after the request are no response to it, or may be none.
func (r *responseReader) examineFirstBytes() error {
	switch {
	case socket.HasUnacknowledged(r.conn):
		return errUnrequestedBytes
	case !r.limits.notBefore.IsZero() && r.arrivedAt().Before(r.limits.notBefore):
		return errEarlyBytes
	}
	return nil
}

// arrivedAt returns the time at which the first bytes arrived. The process may have been stopped before it read them.
func (r *responseReader) arrivedAt() time.Time {
	return r.firstByteAt.Add(-socket.SinceReceived(r.conn))
}

// setReadDeadline sets the read deadline, bounded by the deadline of the response. If the attempt was cancelled, it
// also sets pastDeadline again, which the new deadline may have overwritten.
func (r *responseReader) setReadDeadline(at time.Time) {
	if at.After(r.limits.deadline) {
		at = r.limits.deadline
	}
	_ = r.conn.SetReadDeadline(at) // fails on a closed connection, where the read fails as well
	if r.ctx.Err() != nil {
		_ = r.conn.SetDeadline(pastDeadline)
	}
}

// failedResponse returns the response of a failed read. Its error is that of the connection if there is one. Otherwise
// it wraps errMalformedResponse and err, unless the cause is a lack of memory in this process. A response that starts
// and then stalls is malformed too, although its read failed with a timeout: the endpoint keeps the connection open and
// sends no more.
func (r *responseReader) failedResponse(err error) Response {
	if _, ok := errors.AsType[*membudget.ShortageError](err); ok {
		return Response{Err: err}
	}
	if r.connErr != nil && !r.isStalled() {
		return Response{Err: r.connErr}
	}
	return Response{Err: fmt.Errorf("%w: %w", errMalformedResponse, err)}
}

// isStalled reports whether the read failed by the stall timeout and not by the deadline or a cancellation.
func (r *responseReader) isStalled() bool {
	return r.started && socket.IsTimeout(r.connErr) && time.Now().Before(r.limits.deadline) && r.ctx.Err() == nil
}
