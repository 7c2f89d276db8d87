package frontend

import (
	"net"
	"time"

	"ashshunt/internal/membudget"
	"ashshunt/internal/socket"
)

// bodyStallTimeout is how long a long body must have made no progress before it is read although it is not complete, if
// there is memory for it. It is longer than any pause of a client that writes without a break.
const bodyStallTimeout = 100 * time.Millisecond

// waitForBody waits until a body is complete, of which the socket holds the last remaining bytes, so that a client that
// stops within it holds no memory of the agent. If the client makes no progress and there is memory left, it returns
// before: the system may hold fewer bytes than the body has, the client writes slowly, or the head is invalid.
func (c *connection) waitForBody(memory *membudget.Reservation, length, remaining int64) error {
	isLong := length > unreservedBodyBytes
	if isLong && socket.EnsureReceiveBuffer(c.Conn, int(remaining)) != nil {
		return nil
	}
	defer c.endBodyWait()
	for queued := int64(-1); c.isReading(); {
		state := socket.Peer(c.Conn)
		switch progress := int64(state.Unread) - queued; {
		case int64(state.Unread) >= remaining:
			c.recordBody(c.lastReceivedAt(time.Now()))
			return nil
		case state.Closed:
			return net.ErrClosed
		case state.Unread == 0 && socket.HasUnread(c.Conn): // the system does not say how many
			return nil
		case progress > 0:
			c.recordQueued(state.Unread, int(progress))
			queued = int64(state.Unread)
		case isLong && memory.TryGrow(membudget.Bodies, length):
			c.recordBodyMemory(length)
			return nil
		case !isLong && !c.table.budget.IsNearLimit(membudget.Handlers):
			return nil
		}
		c.startBodyWait(time.Now().Add(bodyStallTimeout))
		socket.WaitForQueued(c.Conn, state.Unread)
	}
	return net.ErrClosed
}

// startBodyWait records that the agent waits for bytes of the client, and ends the wait at a deadline, unless the
// request was rejected in the meantime.
func (c *connection) startBodyWait(deadline time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.phase == phaseReading {
		c.state.request.isAwaited = true
		_ = c.Conn.SetReadDeadline(deadline) // fails only if the connection is closed
	}
}

// endBodyWait clears the read deadline that waitForBody has set, unless the request was rejected in the meantime.
func (c *connection) endBodyWait() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.request.isQueued = false
	c.state.request.isAwaited = false
	if c.state.phase == phaseReading {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// recordQueued records that progress further bytes of the body have arrived, and that the socket holds queued bytes.
func (c *connection) recordQueued(queued, progress int) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.phase != phaseReading {
		return
	}
	c.state.request.isQueued = true
	c.state.request.queuedBytes = queued
	if progress > 0 && queued > 0 {
		c.recordProgress(progress, time.Now())
	}
}

// recordBody records the time at which all bytes of the body had arrived.
func (c *connection) recordBody(at time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.request.bodyAt = at
}
