package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
)

const (
	maxHeadSize         = 16 << 10                 // bytes of a response's head
	maxInformational    = 8                        // 1xx responses ahead of the final one
	maxEncodedBodySize  = 2 * protocol.MaxBodySize // bytes of a body with the framing of its chunks
	maxQuoted           = 40                       // characters of a response that an error quotes
	lengthOfChunkedBody = -1                       // bodyLength of a body that comes in chunks
	lengthUntilClose    = -2                       // bodyLength of a body that ends with its connection
)

// ErrMalformedResponse marks a response that can't be used. Its request may have run.
var ErrMalformedResponse = errors.New("malformed response")

// Response is what came back for a request: a complete response, or an error.
type Response struct {
	Status  int
	Header  textproto.MIMEHeader
	Body    []byte
	EndedAt time.Time // when its last byte or the error came
	Err     error
}

// rejected reports whether the endpoint says that it has not run the request.
func (r Response) rejected() bool {
	unavailable := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout
	return unavailable && r.Header.Get(protocol.HeaderRejected) == protocol.Yes
}

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

// Read reads from the connection, for the buffer. It notes how the connection ended, which the parsers don't tell
// from a malformed response.
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

// setReadDeadline moves the read deadline, but never past the response's, nor past the interruption of a cancelled
// attempt.
func (r *responseReader) setReadDeadline(at time.Time) {
	if at.After(r.deadline) {
		at = r.deadline
	}
	_ = r.conn.SetReadDeadline(at) // fails on a closed connection, as the read will
	if r.ctx.Err() != nil {
		_ = r.conn.SetDeadline(interruptAt)
	}
}

// readResponse reads one response to its end, so that a partial one is never passed on. keepAlive: another one may
// follow on the connection.
func (r *responseReader) readResponse() (response Response, keepAlive bool) {
	for range maxInformational + 1 {
		r.bytesRemaining, r.started = maxHeadSize, r.buffer.Buffered() > 0
		head, err := readHead(r.buffer)
		if err != nil {
			return r.failure(err), false
		}
		if head.informational() {
			r.setReadDeadline(r.deadline) // the final one may take its time
			continue
		}
		length, err := head.bodyLength()
		if err != nil {
			return r.failure(err), false
		}
		r.bytesRemaining = maxEncodedBodySize
		body, err := readBody(r.buffer, length)
		if err != nil {
			return r.failure(err), false
		}
		keepAlive = head.keepAlive && length != lengthUntilClose
		return Response{Status: head.status, Header: head.header, Body: body}, keepAlive
	}
	return r.failure(errors.New("too many informational responses")), false
}

// failure tells an end of the connection from a response that can't be used. One that started and stalled is of the
// latter kind: its connection stays open and brings no more.
func (r *responseReader) failure(err error) Response {
	if r.connErr != nil && !r.stalled() {
		return Response{Err: r.connErr}
	}
	return Response{Err: fmt.Errorf("%w: %w", ErrMalformedResponse, err)}
}

// stalled reports whether the read ended by the stall timeout, neither by the deadline nor by a cancel.
func (r *responseReader) stalled() bool {
	return r.started && socket.IsTimeout(r.connErr) && time.Now().Before(r.deadline) && r.ctx.Err() == nil
}

// responseHead is the status line and the header of a response.
type responseHead struct {
	status    int
	header    textproto.MIMEHeader
	keepAlive bool // another response may follow on the connection
}

func readHead(in *bufio.Reader) (responseHead, error) {
	if err := checkProtocol(in); err != nil {
		return responseHead{}, err
	}
	reader := textproto.NewReader(in)
	line, err := reader.ReadLine()
	if err != nil {
		return responseHead{}, err
	}
	protocol, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || len(protocol) != len(protocolPrefix)+1 {
		return responseHead{}, fmt.Errorf("status line %.*q", maxQuoted, line)
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return responseHead{}, err
	}
	closes := protocol != "HTTP/1.1" || strings.EqualFold(header.Get("Connection"), "close")
	return responseHead{status: status, header: header, keepAlive: !closes}, nil
}

// protocolPrefix is how each response begins; the minor version follows.
const protocolPrefix = "HTTP/1."

// checkProtocol looks at the first bytes one by one: bytes that are not HTTP may stop anywhere, and what begins wrong
// is not waited for.
func checkProtocol(in *bufio.Reader) error {
	for i := range len(protocolPrefix) {
		begin, err := in.Peek(i + 1)
		if err != nil {
			return err
		}
		if begin[i] != protocolPrefix[i] {
			return errors.New("not HTTP/1")
		}
	}
	return nil
}

// informational reports whether the final response follows on the same connection.
func (h responseHead) informational() bool {
	return h.status >= 100 && h.status < 200 && h.status != http.StatusSwitchingProtocols
}

// bodyLength reads the framing. Two lengths, or a length beside an encoding, leave it open where the body ends, and one
// that is too long is not waited for.
func (h responseHead) bodyLength() (int, error) {
	lengths, encodings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	switch {
	case h.status < 200:
		return 0, fmt.Errorf("status %d", h.status)
	case len(lengths)+len(encodings) == 0:
		return lengthUntilClose, nil
	case len(lengths)+len(encodings) != 1:
		return 0, errors.New("framed twice")
	case len(encodings) == 1:
		if !strings.EqualFold(encodings[0], "chunked") {
			return 0, fmt.Errorf("encoding %.*q", maxQuoted, encodings[0])
		}
		return lengthOfChunkedBody, nil
	}
	length, err := strconv.ParseUint(lengths[0], 10, 31)
	if err != nil || length > protocol.MaxBodySize {
		return 0, fmt.Errorf("length %.*q", maxQuoted, lengths[0])
	}
	return int(length), nil
}

func readBody(in *bufio.Reader, length int) ([]byte, error) {
	switch length {
	case lengthOfChunkedBody:
		return readChunkedBody(in)
	case lengthUntilClose:
		return readAtMost(in, protocol.MaxBodySize)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(in, body)
	return body, err
}

func readChunkedBody(in *bufio.Reader) ([]byte, error) {
	body, err := readAtMost(httputil.NewChunkedReader(in), protocol.MaxBodySize)
	if err != nil {
		return nil, err
	}
	// The chunks end with a trailer, empty as a rule.
	_, err = textproto.NewReader(in).ReadMIMEHeader()
	return body, err
}

// readAtMost reads to the orderly end of what is read, which may have so many bytes. A reset is no such end.
func readAtMost(in io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.New("body too long")
	}
	return body, nil
}
