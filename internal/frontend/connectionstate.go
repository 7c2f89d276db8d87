package frontend

import (
	"container/list"
	"net"
	"net/http"
	"time"

	"ashshunt/internal/socket"
)

// phase is what a connection is in the middle of. Its transitions:
//
//	idle    -> reading   the first byte of a request has come
//	idle    -> serving   net/http answers a malformed request that it has read along with the one before
//	reading -> serving   the request is complete, or is answered with an error
//	reading -> rejected  the request came too slowly, or the time of a shutdown is over
//	serving -> idle      the response is out
//	serving -> reading   the response is out, and the next request has begun already
//	any     -> closing   Close; from idle also by the table, to reclaim the slot or to shut down
//
// Only the enter methods below change the phase, and their caller holds the table's mutex.
type phase uint8

const (
	// phaseIdle: no byte of a request has been read. The connection is on the table's idle list, unless bytes were
	// found unread on it, and may be closed at any time while it is on the list.
	phaseIdle phase = iota
	// phaseReading: a request has begun and is not complete. The connection is in the table's set of incomplete
	// requests, and the request's timer runs in place of the read deadlines that net/http sets.
	phaseReading
	// phaseServing: a request is complete, or is being answered with an error. One that came from phaseIdle has stayed
	// on the idle list.
	phaseServing
	// phaseRejected: an incomplete request has been answered. Reads and writes fail, and Close drops what still comes.
	phaseRejected
	// phaseClosing: the connection is closed, or about to be by the caller that moved it here. Reads and writes fail.
	phaseClosing
)

// connectionState is the state of a connection. The mutex of the connection's table guards it.
type connectionState struct {
	phase              phase
	hadRequest         bool            // a request has begun on the connection
	nextRequestStarted bool            // some of the next request has been read while one was served
	request            requestProgress // of the request that is being read

	// Only idleList writes these.
	idleElement *list.Element // in the table's idle list; nil if not in it
	idleAt      time.Time
}

// isFinished reports whether no request can be served any more.
func (s *connectionState) isFinished() bool {
	return s.phase == phaseRejected || s.phase == phaseClosing
}

// isReading reports whether the request of a number is being read.
func (s *connectionState) isReading(number int) bool {
	return s.phase == phaseReading && s.request.number == number
}

// requestProgress says how far the request that is being read has come.
type requestProgress struct {
	// number counts the requests that have begun on the connection. A timer, or a shutdown, names the request that it
	// rejects by it, so that it does nothing to a later one.
	number     int
	startedAt  time.Time
	readCount  int // that returned bytes of the request
	lastReadAt time.Time
	timer      *time.Timer // rejects the request; nil before the first one
}

// remaining is the time until the request is rejected. One that comes in several reads is only slow: its time runs
// from the last of them, up to a limit for the request as a whole.
func (p *requestProgress) remaining(timeouts *Timeouts) time.Duration {
	if p.hasSingleRead() {
		return 0
	}
	deadline := p.lastReadAt.Add(timeouts.ReadStall)
	if totalDeadline := p.startedAt.Add(timeouts.ReadTotal); totalDeadline.Before(deadline) {
		deadline = totalDeadline
	}
	return time.Until(deadline)
}

// hasSingleRead reports whether nothing has come since the first bytes of the request.
func (p *requestProgress) hasSingleRead() bool { return p.readCount <= 1 }

func (p *requestProgress) stopTimer() {
	if p.timer != nil {
		p.timer.Stop() // one that has fired finds another phase
	}
}

// The events of a connection follow. Each takes the table's mutex.

func (c *connection) isIdle() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.phase == phaseIdle
}

// handleReadable notes that there is something to be read, which begins a request on an idle connection. It fails if
// the connection must not be read.
func (c *connection) handleReadable() error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.isFinished() {
		return net.ErrClosed
	}
	if c.state.phase == phaseIdle {
		c.enterReading()
	}
	return nil
}

// recordRead notes that n bytes have been read. It fails if they belong to a request that was rejected meanwhile.
func (c *connection) recordRead(n int) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch c.state.phase {
	case phaseReading:
		if n > 0 {
			c.state.request.readCount++
			c.state.request.lastReadAt = time.Now()
		}
	case phaseServing:
		if n > 0 { // net/http has read it to look for a disconnect
			c.state.nextRequestStarted = true
		}
	case phaseRejected:
		return net.ErrClosed
	case phaseIdle, phaseClosing:
	}
	return nil
}

// startResponse notes that a request is complete, or is to be answered with an error. A response is not allowed if the
// request was rejected or the connection closed meanwhile.
func (c *connection) startResponse() (allowed bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.isFinished() {
		return false
	}
	c.enterServing()
	return true
}

// maySendContinue reports whether a client may be told to go on sending its request.
func (c *connection) maySendContinue() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.phase == phaseReading || c.state.phase == phaseServing
}

// rejectIncomplete moves the connection to phaseRejected if the request of a number is still incomplete, and reports
// whether it has done so. The caller sends the answer.
func (c *connection) rejectIncomplete(number int) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if !c.state.isReading(number) {
		return false
	}
	c.enterRejected()
	return true
}

// rejectIfTimedOut is rejectIncomplete for a request whose timer has fired. If bytes are still arriving, it extends the
// timer instead.
func (c *connection) rejectIfTimedOut(number int) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if !c.state.isReading(number) {
		return false
	}
	if remaining := c.state.request.remaining(c.table.timeouts); remaining > 0 {
		c.startRequestTimer(remaining)
		return false
	}
	c.enterRejected()
	return true
}

// startClose moves the connection to phaseClosing and returns the phase before. Unless that was phaseClosing already,
// the caller calls finishClose next.
func (c *connection) startClose() (previous phase) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	previous = c.state.phase
	c.enterClosing()
	return previous
}

// handleConnState follows the state that net/http reports. It reports whether the connection is in phaseClosing now
// for the caller to close, since a shutdown has begun: its request may have been answered just before that, when the
// response did not yet close the connection.
func (c *connection) handleConnState(state http.ConnState) (closing bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch state {
	case http.StateNew:
		c.enterIdleOrReading()
	case http.StateActive:
		if c.state.phase == phaseIdle { // the bytes of the request came with those of the one before
			c.enterReading()
		}
	case http.StateIdle:
		c.enterIdleOrReading()
		return c.startCloseIfShuttingDown()
	case http.StateHijacked, http.StateClosed: // no handler hijacks; Close has noted the end
	}
	return false
}

// startCloseIfShuttingDown moves an idle connection to phaseClosing if none is to stay idle, and reports whether it has
// done so. The caller holds the table's mutex.
func (c *connection) startCloseIfShuttingDown() (closing bool) {
	if !c.table.closeWhenIdle || c.state.phase != phaseIdle || socket.HasUnread(c.Conn) {
		return false
	}
	c.enterClosing()
	return true
}

// The transitions follow. Their caller holds the table's mutex.

// enterIdleOrReading moves a connection without an open request to phaseIdle, or to phaseReading if its next request
// has begun. A connection on the idle list stays as it is: net/http reports none as idle twice in a row, but the list
// must not hold one twice whatever the order of the reports.
func (c *connection) enterIdleOrReading() {
	switch {
	case c.state.isFinished() || c.state.idleElement != nil:
	case c.state.nextRequestStarted:
		c.enterReading()
	default:
		c.enterIdle()
	}
}

// enterIdle puts the connection into the idle list.
func (c *connection) enterIdle() {
	c.exitReading()
	c.state.phase = phaseIdle
	c.table.idle.add(c)
}

// enterReading notes the first byte of a request and starts its timer. The time of the first request on a connection
// includes that from the connect to this byte.
func (c *connection) enterReading() {
	timeout := c.table.timeouts.ReadStall
	if !c.state.hadRequest {
		timeout = max(minReadTimeout, timeout-time.Since(c.acceptedAt))
	}
	c.table.idle.remove(c)
	c.table.incomplete[c] = struct{}{}
	c.state.phase = phaseReading
	c.state.hadRequest = true
	c.state.nextRequestStarted = false
	c.state.request = requestProgress{number: c.state.request.number + 1, startedAt: time.Now()}
	c.startRequestTimer(timeout)
	_ = c.Conn.SetReadDeadline(time.Time{}) // ends the idle timeout; fails on a connection that has ended
}

// enterServing ends the request's timer. It may come from phaseIdle, and leaves the connection on the idle list
// then: net/http reports no StateActive for a malformed request that it has read along with the one before.
func (c *connection) enterServing() {
	c.exitReading()
	c.state.phase = phaseServing
}

func (c *connection) enterRejected() {
	c.exitReading()
	c.state.phase = phaseRejected
}

func (c *connection) enterClosing() {
	c.table.idle.remove(c)
	c.exitReading()
	c.state.phase = phaseClosing
}

// exitReading undoes what enterReading has set up, if the connection is in phaseReading.
func (c *connection) exitReading() {
	delete(c.table.incomplete, c)
	c.state.request.stopTimer()
}

// startRequestTimer has the request that is being read rejected after a while, unless it still comes by then.
func (c *connection) startRequestTimer(after time.Duration) {
	number := c.state.request.number
	c.state.request.timer = time.AfterFunc(after, func() {
		if c.rejectIfTimedOut(number) {
			c.writeRejection(http.StatusRequestTimeout)
		}
	})
}
