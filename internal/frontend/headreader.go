package frontend

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
)

const (
	// maxHeadFields is the maximum number of header fields. Each costs far more memory once it is parsed than on the
	// wire.
	maxHeadFields = 100
	// headLinesWithoutField are the request line and the empty line at the end.
	headLinesWithoutField = 2
	// maxHeadLength is the maximum number of bytes of a head. net/http applies the same limit.
	maxHeadLength = maxHeaderBytes + 4<<10
	// maxUnread is the maximum number of bytes that a connection keeps for net/http: the last read may complete a head.
	maxUnread = maxHeadLength + readBufferSize
	// readBufferSize is the number of bytes that are read at a time while a head is incomplete or bytes are discarded.
	readBufferSize = 4 << 10
)

// readBuffers holds unused buffers for reads. A connection that waits for bytes has none.
var readBuffers sync.Pool

func getReadBuffer() *[readBufferSize]byte {
	if buffer, ok := readBuffers.Get().(*[readBufferSize]byte); ok {
		return buffer
	}
	return new([readBufferSize]byte)
}

// readHead reads until the head of the request that is being read is complete, and reserves the memory for the request.
// It does nothing if no head is being read. If the head is invalid, or if there is no memory left, it responds to the
// request and returns net.ErrClosed.
//
// A head is thus parsed only when it is complete, valid in size and paid for. Until then a slow client costs its bytes.
func (c *connection) readHead() error {
	for c.isReadingHead() {
		head := c.scanner.head()
		if head.isParsed {
			return nil
		}
		if c.table.rejectsAll() {
			return c.rejectHead(http.StatusServiceUnavailable, closeShuttingDown)
		}
		if status, reason := validateHeadSize(head, len(c.unread)); status != 0 {
			return c.rejectHead(status, reason)
		}
		if !c.reserveHead(head.length) {
			return c.rejectHead(http.StatusServiceUnavailable, closeNoMemory)
		}
		if head.isComplete {
			return c.completeHead()
		}
		if err := c.readHeadBytes(); err != nil {
			return err
		}
	}
	return nil
}

// validateHeadSize returns the status with which the request is rejected because of its head, and the reason, or 0.
// kept is the number of bytes that the connection keeps, which are bounded whatever the scanner makes of them.
func validateHeadSize(head headState, kept int) (status int, reason closeReason) {
	switch {
	case !head.isComplete && !head.isRequest:
		return http.StatusBadRequest, closeNoRequest
	case !head.isComplete && kept > maxHeadLength:
		return http.StatusRequestHeaderFieldsTooLarge, closeHeadTooLong
	case head.length > maxHeadLength || head.lines > maxHeadFields+headLinesWithoutField:
		return http.StatusRequestHeaderFieldsTooLarge, closeHeadTooLong
	}
	return 0, ""
}

// readHeadBytes waits for further bytes and reads them.
func (c *connection) readHeadBytes() error {
	c.setAwaited(true)
	if err := socket.WaitForReadable(c.Conn); err != nil {
		return err
	}
	buffer := getReadBuffer()
	defer readBuffers.Put(buffer)
	n, err := c.readSocket(buffer[:])
	c.unread = append(c.unread, buffer[:n]...)
	if n > 0 {
		return nil // an error occurs again with the next read
	}
	return err
}

// rejectHead responds to a request whose head is invalid or can't be kept.
func (c *connection) rejectHead(status int, reason closeReason) error {
	c.unread = nil
	if c.rejectCurrent() {
		c.writeRejection(status, reason)
	}
	return net.ErrClosed
}

// completeHead handles the end of a head. It waits for the body and reserves the memory for a long one.
func (c *connection) completeHead() error {
	head := parseHeadFields(c.unread)
	remaining := head.bodyLength - int64(c.scanner.bytesBehindHead())
	if !c.recordHead(c.receivedAt(), remaining <= 0, head.timeout) || head.bodyLength == 0 {
		return nil
	}
	memory := c.requestMemory()
	if remaining > 0 && !head.expectsContinue {
		if err := c.waitForBody(memory, head.bodyLength, remaining); err != nil {
			return err
		}
	}
	if err := c.reserveBody(memory, head.bodyLength); err != nil {
		return c.rejectHead(http.StatusServiceUnavailable, closeNoMemory)
	}
	return nil
}

// The parameters for parsing a number of a head.
const (
	decimalBase       = 10
	contentLengthBits = 63
	timeoutBits       = 32
)

// headFields are the fields of a head that matter before net/http has parsed it. net/http validates them later.
type headFields struct {
	bodyLength      int64         // 0 if it is missing or invalid, and the maximum for longer bodies
	expectsContinue bool          // the client sends the body only after an interim response
	timeout         time.Duration // 0 if it is missing or invalid
}

// parseHeadFields returns the fields of a head.
func parseHeadFields(head []byte) (fields headFields) {
	for line := range bytes.Lines(head) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		fields.set(name, bytes.TrimSpace(value))
	}
	return fields
}

// set sets the field of a line, if it has one.
func (f *headFields) set(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if length, err := strconv.ParseUint(string(value), decimalBase, contentLengthBits); err == nil {
			f.bodyLength = min(int64(length), protocol.MaxBodySize)
		}
	case bytes.EqualFold(name, []byte("Expect")):
		f.expectsContinue = true
	case bytes.EqualFold(name, []byte(protocol.HeaderTimeout)):
		if milliseconds, err := strconv.ParseUint(string(value), decimalBase, timeoutBits); err == nil {
			f.timeout = time.Duration(milliseconds) * time.Millisecond
		}
	}
}
