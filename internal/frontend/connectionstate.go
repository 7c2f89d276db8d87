package frontend

import (
	"container/list"
	"net"
	"net/http"
	"time"

	"ashshunt/internal/socket"
)

// phase is the state of a connection within its cycle of requests. The transitions are:
//
//	idle    -> reading   the first byte of a request arrives
//	idle    -> serving   net/http responds to a malformed request that it read together with the previous one
//	reading -> serving   the request is complete, or gets an error response
//	reading -> rejected  the request timed out, or a shutdown rejects it
//	serving -> idle      the response is written
//	serving -> reading   the response is written and the next request has already started
//	any     -> closing   Close is called, or the table closes an idle connection to reclaim its slot or to shut down
//
// The table is the connectionTable of the connection. It limits the number of open connections; each occupies a slot.
// Only the enter... methods below change the phase. Their callers hold the table's mutex.
type phase uint8

const (
	// phaseIdle: no byte of the next request has been read. The connection is on the table's idle list, and may be
	// closed at any time while it is on the list. A connection that is found to have unread bytes is removed from the
	// list.
	phaseIdle phase = iota
	// phaseReading: a request has started and is incomplete. The connection is in the table's set of incomplete
	// requests. The request's timer replaces the read deadlines that net/http sets.
	phaseReading
	// phaseServing: a request is complete, or is getting an error response. A connection that came directly from
	// phaseIdle is still on the idle list.
	phaseServing
	// phaseRejected: an incomplete request was rejected. Reads and writes fail, and Close discards incoming bytes.
	phaseRejected
	// phaseClosing: the connection is closed, or the caller that set this phase is about to close it. Reads and writes
	// fail.
	phaseClosing
)

// connectionState is the state of a connection. It is guarded by the mutex of the connection's table.
type connectionState struct {
	phase              phase
	hadRequest         bool            // a request has started on the connection
	nextRequestStarted bool            // bytes of the next request were read while a request was being served
	request            requestProgress // progress of the request that is being read

	// Only idleList writes the following fields.
	idleElement *list.Element // element of the table's idle list; nil if not in the list
	idleSince   time.Time     // time at which the connection was added to the idle list
}

// isFinished reports whether the connection can't serve any more requests.
func (s *connectionState) isFinished() bool {
	return s.phase == phaseRejected || s.phase == phaseClosing
}

// isReading reports whether the request with the given number is being read.
func (s *connectionState) isReading(number int) bool {
	return s.phase == phaseReading && s.request.number == number
}

// requestProgress records how much of the current request has been read.
type requestProgress struct {
	// number counts the requests that have started on the connection. A timer or a shutdown rejects a request by its
	// number, so that it can't reject a later one.
	number     int
	startedAt  time.Time   // time of the request's first byte
	readCount  int         // reads that returned bytes of the request
	lastReadAt time.Time   // time of the last such read
	timer      *time.Timer // rejects the request; nil before the first request
}

// remaining returns the time until the request must be rejected; zero or less if it must be rejected now. It is called
// when the request's timer has fired. A request with at most one read has stalled by then. For a request with several
// reads, Timeouts.ReadStall counts from the last read, and Timeouts.ReadTotal bounds the request as a whole.
func (p *requestProgress) remaining(timeouts *Timeouts) time.Duration {
	if p.hasAtMostOneRead() {
		return 0
	}
	deadline := p.lastReadAt.Add(timeouts.ReadStall)
	if totalDeadline := p.startedAt.Add(timeouts.ReadTotal); totalDeadline.Before(deadline) {
		deadline = totalDeadline
	}
	return time.Until(deadline)
}

// hasAtMostOneRead reports whether no byte of the request has arrived after the first read.
func (p *requestProgress) hasAtMostOneRead() bool { return p.readCount <= 1 }

func (p *requestProgress) stopTimer() {
	if p.timer != nil {
		p.timer.Stop() // a timer that has already fired finds that the phase has changed
	}
}

// The methods below examine the state of a connection or handle its events. Each locks the table's mutex, except for
// startCloseIfShuttingDown, whose caller holds it.

func (c *connection) isIdle() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.phase == phaseIdle
}

// handleReadable handles the arrival of bytes, which starts a request on an idle connection. It returns net.ErrClosed
// if the connection must not be read.
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

// recordRead records that n bytes have been read. It returns net.ErrClosed if they belong to a request that has been
// rejected in the meantime.
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
		if n > 0 { // net/http reads ahead to detect a disconnect
			c.state.nextRequestStarted = true
		}
	case phaseRejected:
		return net.ErrClosed
	case phaseIdle, phaseClosing:
	}
	return nil
}

// startResponse moves the connection to phaseServing. It is called when a request is complete or is about to get an
// error response. It reports false if the request was rejected, or the connection closed, in the meantime; then no
// response may be written.
func (c *connection) startResponse() (allowed bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.isFinished() {
		return false
	}
	c.enterServing()
	return true
}

// maySendContinue reports whether an interim response may tell the client to send the rest of its request.
func (c *connection) maySendContinue() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.phase == phaseReading || c.state.phase == phaseServing
}

// rejectIncomplete moves the connection to phaseRejected if the request with the given number is still incomplete, and
// reports whether it did so. The caller then writes the response.
func (c *connection) rejectIncomplete(number int) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if !c.state.isReading(number) {
		return false
	}
	c.enterRejected()
	return true
}

// rejectIfTimedOut handles the expiry of a request's timer: it restarts the timer if the request has time left, and
// otherwise acts as rejectIncomplete does.
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

// startClose moves the connection to phaseClosing and returns the previous phase. The caller must then call
// finishClose, unless the previous phase was phaseClosing.
func (c *connection) startClose() (previous phase) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	previous = c.state.phase
	c.enterClosing()
	return previous
}

// handleConnState handles a state change that net/http reports. It reports whether it has moved the connection to
// phaseClosing; if so, the caller must call finishClose. This happens in a shutdown if a response was written just
// before the shutdown started, and therefore without a Connection: close header.
func (c *connection) handleConnState(state http.ConnState) (closing bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch state {
	case http.StateNew:
		c.enterIdleOrReading()
	case http.StateActive:
		if c.state.phase == phaseIdle { // the request was read together with the previous one
			c.enterReading()
		}
	case http.StateIdle:
		c.enterIdleOrReading()
		return c.startCloseIfShuttingDown()
	case http.StateHijacked, http.StateClosed: // no handler hijacks connections; Close has already set phaseClosing
	}
	return false
}

// startCloseIfShuttingDown moves an idle connection to phaseClosing if a shutdown closes idle connections, and reports
// whether it did so. A connection with unread bytes stays open. The caller holds the table's mutex.
func (c *connection) startCloseIfShuttingDown() (closing bool) {
	if !c.table.closeWhenIdle || c.state.phase != phaseIdle || socket.HasUnread(c.Conn) {
		return false
	}
	c.enterClosing()
	return true
}

// The methods below are the transitions. Their callers hold the table's mutex.

// enterIdleOrReading moves a connection without an open request to phaseReading if its next request has started, and
// otherwise to phaseIdle. It leaves a connection that is on the idle list unchanged: net/http never reports a
// connection as idle twice in a row, but the list must not hold one twice whatever the order of the reports.
func (c *connection) enterIdleOrReading() {
	switch {
	case c.state.isFinished() || c.state.idleElement != nil:
	case c.state.nextRequestStarted:
		c.enterReading()
	default:
		c.enterIdle()
	}
}

// enterIdle adds the connection to the idle list.
func (c *connection) enterIdle() {
	c.exitReading()
	c.state.phase = phaseIdle
	c.table.idle.add(c)
}

// enterReading handles the first byte of a request and starts the request's timer. For the first request of a
// connection, the timeout includes the time since the connection was accepted.
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
	_ = c.Conn.SetReadDeadline(time.Time{}) // clears the idle timeout; fails only if the connection is closed
}

// enterServing stops the request's timer. The connection may come from phaseIdle and then stays on the idle list:
// net/http reports no StateActive for a malformed request that it has read together with the previous one.
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

// exitReading stops the request's timer and removes the connection from the set of incomplete requests. It does nothing
// in phases other than phaseReading.
func (c *connection) exitReading() {
	delete(c.table.incomplete, c)
	c.state.request.stopTimer()
}

// startRequestTimer rejects the current request after the given time, unless it is complete or has time left by then.
func (c *connection) startRequestTimer(after time.Duration) {
	number := c.state.request.number
	c.state.request.timer = time.AfterFunc(after, func() {
		if c.rejectIfTimedOut(number) {
			c.writeRejection(http.StatusRequestTimeout)
		}
	})
}
