package frontend

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"ashshunt/internal/socket"
)

const (
	// minReadTimeout is the minimum time that the first request of a connection gets after its first byte, even if that
	// byte arrives late.
	minReadTimeout = 300 * time.Millisecond
)

// continueStatusPrefix starts an interim response, which net/http writes while it is still reading a request.
var continueStatusPrefix = []byte("HTTP/1.1 100 ")

// connection is an accepted client connection. It leaves phaseIdle when the first byte of a request arrives, before
// net/http parses the request. From then on the timeouts of the request apply instead of the idle timeout. net/http
// reads a request only when its head is complete (headreader.go).
type connection struct {
	net.Conn
	table      *connectionTable
	acceptedAt time.Time
	// backlogSince is the earliest time at which the connection may have started to wait in the accept queue for a
	// slot; zero: it has not waited.
	backlogSince time.Time
	scanner      requestScanner
	arrivals     arrivalMarks
	unread       []byte          // read from the socket, but not by the caller of Read; maxUnread bytes at most
	state        connectionState // guarded by table.mu
}

// connectionKey is the context key under which a request's connection is stored.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection on which a request arrived. It is never nil in a handler of a Server, which
// serves only connections that were accepted by a connectionListener.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// Read implements net.Conn. It removes an idle connection from the idle list before it reads any bytes. Otherwise a
// connection whose request has just been read, and which has no unread bytes any more, could be closed as idle. It
// returns bytes of a head only when the head is complete.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.waitForFirstByte(); err != nil {
		return 0, err
	}
	if err := c.readHead(); err != nil {
		return 0, err
	}
	if len(c.unread) > 0 {
		return c.takeUnread(p), nil
	}
	return c.readSocket(p)
}

// takeUnread copies bytes to p that were read from the socket before.
func (c *connection) takeUnread(p []byte) int {
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if len(c.unread) == 0 {
		c.unread = nil // frees the memory
	}
	return n
}

// readSocket reads from the socket.
func (c *connection) readSocket(p []byte) (int, error) {
	c.setAwaited(true)
	n, err := c.scanner.readFrom(c.Conn, p)
	if rejected := c.recordRead(n); rejected != nil {
		return 0, rejected
	}
	return n, err
}

// waitForFirstByte blocks until an idle connection has bytes to read, and moves it to phaseReading.
func (c *connection) waitForFirstByte() error {
	if len(c.unread) == 0 && c.isIdle() {
		// A request may arrive as the wait times out.
		if err := socket.WaitForReadable(c.Conn); err != nil && !socket.HasUnread(c.Conn) {
			return err
		}
	}
	return c.handleReadable()
}

// Write implements net.Conn. The first write of a final response ends the reading of the request. This includes a
// response that net/http itself sends to a malformed request.
func (c *connection) Write(p []byte) (int, error) {
	if !c.mayWrite(p) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// mayWrite reports whether p may be written. If p belongs to a final response, it moves the connection to phaseServing.
func (c *connection) mayWrite(p []byte) bool {
	if bytes.HasPrefix(p, continueStatusPrefix) {
		return c.maySendContinue()
	}
	if !c.startResponse() {
		return false
	}
	c.recordResponse()
	return true
}

// SetReadDeadline implements net.Conn. It does nothing while a request is being read, since the request's own timer
// applies.
func (c *connection) SetReadDeadline(t time.Time) error {
	// The mutex is held during the call, so that a deadline for the idle connection can't be set after enterReading has
	// cleared it.
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.phase == phaseReading {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// writeRejection responds to a request that was rejected before it was complete, and closes the sending side. It then
// ends a read in which net/http waits for the rest of the request. The write neither blocks nor has a deadline: the
// accept loop may wait for it, and the agent may be held up before it.
func (c *connection) writeRejection(status int, reason closeReason) {
	c.table.logRejection(c, status, reason)
	socket.WriteNow(c.Conn, rejectionText(status))
	c.endRejection()
}

// rejectionText returns a response without a body, behind which the connection is closed.
func rejectionText(status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status))
}

// Close closes the connection and releases its slot. Closing a socket with unread bytes resets the connection, and so
// does a byte that arrives later; a response that is still in transit is then lost. If there are such bytes, or if they
// may arrive because a request is incomplete, the connection lingers. An idle connection does not: its client sends a
// request that crosses the close again, if the agent has not read it.
func (c *connection) Close() error {
	previous := c.startClose()
	c.releaseMemory()
	c.logUnanswered(previous)
	switch {
	case previous == phaseClosing:
		return c.Conn.Close()
	case previous != phaseIdle && c.mayGetMore(previous) && !socket.IsBroken(c.Conn):
		go c.lingerAndClose() // returns after maxLingerTime at the latest
		return nil
	}
	return c.finishClose()
}

// mayGetMore reports whether there are unread bytes of the client, or may be some later, since its request is
// incomplete.
func (c *connection) mayGetMore(previous phase) bool {
	if previous == phaseRejected || socket.HasUnread(c.Conn) {
		return true
	}
	return c.scanner.isWithinRequest() && !socket.Peer(c.Conn).Closed
}

// evict responds to the request of a client that has stalled, after takeStalled, and releases its memory. Whoever reads
// the connection closes it then.
func (c *connection) evict(reason closeReason) {
	c.releaseMemory()
	c.writeRejection(http.StatusServiceUnavailable, reason)
}

// closeIdle closes a connection in phaseClosing that was idle. An error is ignored, since the descriptor is released
// regardless, and no data is in transit.
func (c *connection) closeIdle(reason closeReason) {
	c.table.logClose(c, reason)
	_ = c.finishClose()
}

// finishClose closes a connection in phaseClosing. It releases the slot after the close, since the connection holds a
// descriptor until then.
func (c *connection) finishClose() error {
	defer c.table.release(c)
	return c.Conn.Close()
}
