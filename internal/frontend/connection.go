package frontend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ashshunt/internal/socket"
)

const (
	// minReadTimeout is the least time that a request gets, however late it began on a new connection.
	minReadTimeout = 300 * time.Millisecond
	// lingerTimeout bounds how long a connection with unread bytes is still read before it is closed.
	lingerTimeout = 500 * time.Millisecond
	// incompleteWriteTimeout bounds the write of the answer to an incomplete request.
	incompleteWriteTimeout = 500 * time.Millisecond
	// maxLingerBytes bounds how much of a connection that is about to be closed is read and dropped.
	maxLingerBytes = 256 << 10
)

// continueStatusPrefix begins an interim response, which net/http writes while a request is still being read.
var continueStatusPrefix = []byte("HTTP/1.1 100 ")

// connection is an accepted connection. Its first byte ends its idleness at once, before net/http parses a request
// from it; from then on the time of the request counts, not the idle time of the connection.
type connection struct {
	net.Conn
	table      *connectionTable
	acceptedAt time.Time
	state      connectionState // guarded by table.mu
}

// connectionKey is the key of a request's connection in the request's context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection on which a request came. It is never nil in a handler of a Server, which serves
// the connections of a connectionListener alone.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// Read takes an idle connection off the idle list before it reads any of its bytes. Otherwise a connection whose
// request has been read, so that no unread bytes show it any more, could be closed as idle.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.waitForFirstByte(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if rejected := c.recordRead(n); rejected != nil {
		return 0, rejected
	}
	return n, err
}

// waitForFirstByte waits until an idle connection has something to be read.
func (c *connection) waitForFirstByte() error {
	if c.isIdle() {
		if err := socket.WaitForReadable(c.Conn); err != nil {
			return err
		}
	}
	return c.handleReadable()
}

// Write writes a response. One that net/http writes itself, to a malformed request, ends the reading of that request.
func (c *connection) Write(p []byte) (int, error) {
	if !c.mayWrite(p) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *connection) mayWrite(p []byte) bool {
	if bytes.HasPrefix(p, continueStatusPrefix) {
		return c.maySendContinue()
	}
	return c.startResponse()
}

// SetReadDeadline sets the deadline of reads, unless a request is being read, which has a timer of its own.
func (c *connection) SetReadDeadline(t time.Time) error {
	// Held over the call, so that a deadline for the idle connection can't be set after enterReading has cleared it.
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.phase == phaseReading {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// writeRejection answers a request that was rejected before it was complete, and ends the sending. A read by net/http
// that waits for more of the request ends. Errors mean that the client has gone.
func (c *connection) writeRejection(status int) {
	_ = c.SetWriteDeadline(time.Now().Add(incompleteWriteTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status))
	socket.CloseWrite(c.Conn)
	_ = c.Conn.SetReadDeadline(time.Now())
}

// Close closes the connection and gives back its slot. A close over unread bytes resets the connection, and a response
// that is still on its way is lost with it: then the sending ends first, and what comes is dropped for a while.
func (c *connection) Close() error {
	previous := c.startClose()
	if previous == phaseClosing {
		return c.Conn.Close()
	}
	if previous == phaseRejected || socket.HasUnread(c.Conn) {
		go c.lingerAndClose() // ends after closeLinger at the latest
		return nil
	}
	return c.finishClose()
}

// lingerAndClose ends the sending, drops what still comes, and closes the connection. Errors are ignored: the
// connection ends in any case.
func (c *connection) lingerAndClose() {
	socket.CloseWrite(c.Conn)
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	_ = c.finishClose()
}

// finishClose closes a connection in phaseClosing. Its slot is free only now, since until then it holds a descriptor.
func (c *connection) finishClose() error {
	defer c.table.release()
	return c.Conn.Close()
}
