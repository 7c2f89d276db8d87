package frontend

import (
	"net/http"
	"time"
)

// The methods below are the transitions. Their callers hold the table's mutex.

// enterIdleOrReading moves a connection without an open request to phaseReading if its next request has started, and
// otherwise to phaseIdle. It leaves a connection that is on the idle list unchanged: net/http never reports a
// connection as idle twice in a row, but its idle time must not start again whatever the order of the reports.
func (c *connection) enterIdleOrReading() {
	switch {
	case c.state.isFinished() || c.table.idle.contains(c):
	case c.scanner.hasNextRequest():
		c.state.pipelined++
		c.enterReading()
	case c.state.nextRequestStarted:
		c.enterReading()
	default:
		c.state.pipelined = 0
		c.enterIdle()
	}
}

// enterIdle adds the connection to the idle list.
func (c *connection) enterIdle() {
	c.exitReading()
	c.state.phase = phaseIdle
	c.table.idle.add(c, time.Now())
}

// enterReading handles the first byte of a request and starts the request's timer. For the first request of a
// connection, the timeout includes the time since the connection was accepted.
func (c *connection) enterReading() {
	timeout := c.table.timeouts.ReadStall
	if !c.state.hadRequest {
		timeout = max(minReadTimeout, timeout-time.Since(c.acceptedAt))
	}
	now := time.Now()
	c.table.idle.remove(c)
	c.table.incomplete.add(c, now)
	c.state.phase = phaseReading
	c.state.hadRequest = true
	c.state.nextRequestStarted = false
	c.state.hasResponse, c.state.requestID, c.state.requestErr = false, "", nil
	c.state.request = requestProgress{number: c.state.request.number + 1, startedAt: now}
	c.startRequestTimer(timeout)
	_ = c.Conn.SetReadDeadline(time.Time{}) // clears the idle timeout; fails only if the connection is closed
}

// enterServing stops the request's timer. The connection may come from phaseIdle and then stays on the idle list:
// net/http reports no StateActive for a malformed request that it has read together with the previous one.
func (c *connection) enterServing() {
	c.exitReading()
	c.state.phase = phaseServing
}

// enterRejected makes the caller the one that writes the response, with writeRejection.
func (c *connection) enterRejected() {
	c.exitReading()
	c.state.phase = phaseRejected
	c.state.hasResponse = true
	c.state.rejectionWritten = make(chan struct{})
	c.enterEnding()
}

// enterEnding counts the connection among those that are about to be closed.
func (c *connection) enterEnding() {
	if !c.state.isEnding {
		c.state.isEnding = true
		c.table.ending++
	}
}

func (c *connection) enterClosing() {
	c.table.idle.remove(c)
	c.exitReading()
	c.state.phase = phaseClosing
}

// exitReading stops the request's timer and removes the connection from the list of incomplete requests. It does
// nothing in phases other than phaseReading.
func (c *connection) exitReading() {
	c.table.incomplete.remove(c)
	c.state.request.stopTimer()
}

// startRequestTimer rejects the current request after the given time, unless it is complete or has time left by then.
func (c *connection) startRequestTimer(after time.Duration) {
	number := c.state.request.number
	c.state.request.timer = time.AfterFunc(after, func() {
		if c.rejectIfTimedOut(number) {
			c.writeRejection(http.StatusRequestTimeout, closeTimedOut)
		}
	})
}
