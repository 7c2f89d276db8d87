package frontend

import (
	"bytes"
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"ashshunt/internal/socket"
)

const (
	// minReadTime is the least that a request may take to come, however late it began on a new connection.
	minReadTime = 300 * time.Millisecond
	// closeLinger and closeLingerBytes bound what is still read of a connection before it is closed over unread bytes.
	closeLinger      = 500 * time.Millisecond
	closeLingerBytes = 256 << 10
)

// phase is what a connection is in the middle of.
type phase uint8

const (
	phaseIdle    phase = iota // no byte of a request has come
	phaseReading              // a request has begun and is not complete
	phaseServing              // a request is complete, or is being answered with an error
	phaseRefused              // a request that was not complete has been answered; what comes is dropped
	phaseRetired              // closed, or about to be; nothing more is read
)

// connection is one accepted connection. Its first byte ends its idleness at once, before net/http makes a request of
// it; from then on the time of the request counts, not the idle time of the connection.
type connection struct {
	net.Conn
	listener   *connectionListener
	acceptedAt time.Time

	// Guarded by listener.mu.
	phase         phase
	idleElement   *list.Element // in listener.idle; nil while a request is open
	idleSince     time.Time
	used          bool        // it has had a request
	nextBegun     bool        // a byte of the next request was read while one was open
	requestNumber int         // counts the requests that have begun
	begunAt       time.Time   // when the current request began
	reads         int         // of its bytes so far ...
	lastByteAt    time.Time   // ... and when the last of them was
	refuseTimer   *time.Timer // refuses the current request; nil before the first one
}

// connectionKey is the key of a request's connection in the request's context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection on which a request came.
func connectionOf(r *http.Request) *connection {
	return r.Context().Value(connectionKey{}).(*connection)
}

// markIdle puts the connection on the idle list, unless its next request has begun already. The caller holds
// listener.mu.
func (c *connection) markIdle() {
	switch {
	case c.phase == phaseRefused || c.phase == phaseRetired || c.idleElement != nil:
	case c.nextBegun:
		c.beginRequest()
	default:
		c.phase = phaseIdle
		c.stopReading()
		c.idleSince = time.Now()
		c.idleElement = c.listener.idle.PushBack(c)
	}
}

// leaveIdle takes the connection off the idle list. The caller holds listener.mu.
func (c *connection) leaveIdle() {
	if c.idleElement != nil {
		c.listener.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// beginRequest notes the first byte of a request. It is refused once it has stopped coming for too long, or takes too
// long in all. The caller holds listener.mu.
func (c *connection) beginRequest() {
	allowed := c.listener.timeouts.ReadRequest
	if !c.used { // who connects has so long in all
		allowed = max(minReadTime, allowed-time.Since(c.acceptedAt))
	}
	c.leaveIdle()
	c.phase = phaseReading
	c.used = true
	c.nextBegun = false
	c.listener.incomplete[c] = struct{}{}
	c.requestNumber++
	number := c.requestNumber
	c.begunAt, c.reads = time.Now(), 0
	c.refuseTimer = time.AfterFunc(allowed, func() { c.refuseIfStopped(number) })
	_ = c.Conn.SetReadDeadline(time.Time{}) // that of the idle time; fails on a connection that has ended
}

// completeRequest notes that a request is complete, or is to be answered with an error, and reports whether it may be:
// it may have been refused meanwhile.
func (c *connection) completeRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.startServing()
}

// startServing is completeRequest. The caller holds listener.mu.
func (c *connection) startServing() bool {
	if c.phase == phaseRefused || c.phase == phaseRetired {
		return false
	}
	c.phase = phaseServing
	c.stopReading()
	return true
}

// stopReading ends the time of a request to come. The caller holds listener.mu.
func (c *connection) stopReading() {
	delete(c.listener.incomplete, c)
	if c.refuseTimer != nil {
		c.refuseTimer.Stop() // one that has fired finds another phase
	}
}

// refuseIfStopped refuses the request of a number unless some of it has come meanwhile: a client may be slow.
func (c *connection) refuseIfStopped(number int) {
	timeouts := c.listener.timeouts
	c.listener.mu.Lock()
	end := c.lastByteAt.Add(timeouts.ReadRequest)
	if last := c.begunAt.Add(timeouts.ReadSlowRequest); last.Before(end) {
		end = last
	}
	remaining := time.Until(end)
	goesOn := c.reads > 1 && remaining > 0 && c.phase == phaseReading && c.requestNumber == number
	if goesOn {
		c.refuseTimer = time.AfterFunc(remaining, func() { c.refuseIfStopped(number) })
	}
	c.listener.mu.Unlock()
	if !goesOn {
		c.refuse(number, http.StatusRequestTimeout)
	}
}

// refuse answers the request of a number that is not complete yet, and ends the sending. net/http, which may be reading
// it, sees its end.
func (c *connection) refuse(number, status int) {
	c.listener.mu.Lock()
	refused := c.phase == phaseReading && c.requestNumber == number
	if refused {
		c.phase = phaseRefused
		c.stopReading()
	}
	c.listener.mu.Unlock()
	if !refused {
		return
	}
	// An error means that the client has gone.
	_ = c.SetWriteDeadline(time.Now().Add(closeLinger))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	socket.CloseWrite(c.Conn)
	_ = c.Conn.SetReadDeadline(time.Now()) // ends a read that waits
}

// retire takes the connection out of use and reports whether it was in use until now; if so, the caller closes it by
// closeRetired next. The caller holds listener.mu.
func (c *connection) retire() (first bool) {
	first = c.phase != phaseRetired
	c.leaveIdle()
	c.phase = phaseRetired
	c.stopReading()
	return first
}

// closeRetired closes a connection that was retired and gives back its slot.
func (c *connection) closeRetired() error {
	err := c.Conn.Close()
	l := c.listener
	l.mu.Lock()
	l.open-- // not before: the descriptor is free only now
	l.mu.Unlock()
	select {
	case l.released <- struct{}{}:
	default:
	}
	return err
}

// Read takes an idle connection off the idle list before it reads any of its bytes. Otherwise a connection whose
// request has been read, so that no unread bytes show it any more, could be closed as idle.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.awaitFirstByte(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.phase == phaseRefused:
		return 0, net.ErrClosed // what was read belongs to a request that is answered
	case c.phase == phaseServing && n > 0:
		c.nextBegun = true // read by net/http as it looked for a disconnect
	case c.phase == phaseReading && n > 0:
		c.reads++
		c.lastByteAt = time.Now()
	}
	return n, err
}

// awaitFirstByte waits until an idle connection has something to be read, and notes that a request has begun.
func (c *connection) awaitFirstByte() error {
	l := c.listener
	l.mu.Lock()
	idle := c.phase == phaseIdle
	l.mu.Unlock()
	if idle {
		if err := socket.WaitReadable(c.Conn); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == phaseRefused || c.phase == phaseRetired {
		return net.ErrClosed
	}
	if c.phase == phaseIdle {
		c.beginRequest()
	}
	return nil
}

// continueLine begins what net/http writes while a request is still being read.
var continueLine = []byte("HTTP/1.1 100 ")

// Write writes a response. That of net/http to a malformed request ends the reading of it.
func (c *connection) Write(p []byte) (int, error) {
	if !c.mayWrite(bytes.HasPrefix(p, continueLine)) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *connection) mayWrite(readingGoesOn bool) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if readingGoesOn {
		return c.phase == phaseReading || c.phase == phaseServing
	}
	return c.startServing()
}

// SetReadDeadline sets the deadline of reads, unless a request is being read: its own time counts then.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.phase == phaseReading {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and gives back its slot. A close over unread bytes resets the connection, and a response
// that is still on its way goes with it: then the sending ends first, and what comes is dropped for a while.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	refused := c.phase == phaseRefused
	first := c.retire()
	c.listener.mu.Unlock()
	if !first {
		return c.Conn.Close()
	}
	if refused || socket.HasUnread(c.Conn) {
		go c.lingerAndClose() // ends after closeLinger at the latest
		return nil
	}
	return c.closeRetired()
}

// lingerAndClose ends the sending, drops what still comes, and closes the connection. Errors are of no interest: the
// connection ends in any case.
func (c *connection) lingerAndClose() {
	socket.CloseWrite(c.Conn)
	_ = c.Conn.SetReadDeadline(time.Now().Add(closeLinger))
	_, _ = io.CopyN(io.Discard, c.Conn, closeLingerBytes)
	_ = c.closeRetired()
}
