package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
)

const (
	maxHeadSize               = 16 << 10                 // bytes of a response's head
	maxInformationalResponses = 8                        // 1xx responses ahead of the final one
	maxEncodedBodySize        = 2 * protocol.MaxBodySize // bytes of a body with the framing of its chunks
)

// responseReader reads one response off a connection and bounds the time and the bytes that it may take.
type responseReader struct {
	conn         net.Conn
	ctx          context.Context // the attempt's; its end interrupts reads
	buffer       *bufio.Reader   // reads from this reader
	deadline     time.Time
	stallTimeout time.Duration

	started        bool  // some of the response has come
	bytesRemaining int   // what the part that is being read may still take
	connErr        error // how the connection ended
}

// readResponse reads one response to its end, so that a partial one is never passed on. keepAlive reports whether
// another one may follow on the connection.
func (r *responseReader) readResponse() (response Response, keepAlive bool) {
	for range maxInformationalResponses + 1 {
		r.bytesRemaining, r.started = maxHeadSize, r.buffer.Buffered() > 0
		head, err := readHead(r.buffer)
		if err != nil {
			return r.failedResponse(err), false
		}
		if head.isInformational() {
			r.setReadDeadline(r.deadline) // no stall timeout until the final one starts
			continue
		}
		framing, err := head.parseFraming()
		if err != nil {
			return r.failedResponse(err), false
		}
		r.bytesRemaining = maxEncodedBodySize
		body, err := framing.readBody(r.buffer)
		if err != nil {
			return r.failedResponse(err), false
		}
		keepAlive = head.keepAlive && framing.kind != framedByClose
		return Response{Status: head.status, Header: head.header, Body: body}, keepAlive
	}
	return r.failedResponse(errors.New("too many informational responses")), false
}

// Read reads from the connection, for the buffer. It notes how the connection ended, since the parsers' errors do not
// tell an end of the connection from a malformed response.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.bytesRemaining <= 0 {
		return 0, ErrMalformedResponse
	}
	if r.started {
		r.setReadDeadline(time.Now().Add(r.stallTimeout))
	}
	n, err := r.conn.Read(p[:min(len(p), r.bytesRemaining)])
	r.bytesRemaining -= n
	r.started = r.started || n > 0
	if err != nil {
		r.connErr = err
	}
	return n, err
}

// setReadDeadline moves the read deadline, but not past the response's. If the attempt has been cancelled, it restores
// the interruption of reads and writes, which the new deadline may have replaced.
func (r *responseReader) setReadDeadline(at time.Time) {
	if at.After(r.deadline) {
		at = r.deadline
	}
	_ = r.conn.SetReadDeadline(at) // fails on a closed connection, as the read will
	if r.ctx.Err() != nil {
		_ = r.conn.SetDeadline(pastDeadline)
	}
}

// failedResponse is the response of a read that ended early: with the error of the connection, or as malformed. A response
// that started and stalled is malformed: its connection stays open and brings no more.
func (r *responseReader) failedResponse(err error) Response {
	if r.connErr != nil && !r.isStalled() {
		return Response{Err: r.connErr}
	}
	return Response{Err: fmt.Errorf("%w: %w", ErrMalformedResponse, err)}
}

// isStalled reports whether the read ended by the stall timeout, neither by the deadline nor by a cancel.
func (r *responseReader) isStalled() bool {
	return r.started && socket.IsTimeout(r.connErr) && time.Now().Before(r.deadline) && r.ctx.Err() == nil
}
