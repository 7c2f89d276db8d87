package frontend

import (
	"time"

	"ashshunt/internal/socket"
)

const (
	// lingerTimeout is the time without a byte after which a connection that lingers is closed.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerTime bounds the time for which a connection lingers.
	maxLingerTime = 2 * time.Second
	// lingerReadInterval is the time between two reads of a connection that lingers.
	lingerReadInterval = 10 * time.Millisecond
	// maxLingerBytes bounds the number of bytes that are read and discarded before a connection is closed.
	maxLingerBytes = 256 << 10
)

// endRejection closes the sending side of a connection whose rejected request has its response, and ends a read of the
// connection, unless it lingers already.
func (c *connection) endRejection() {
	socket.CloseWrite(c.Conn)
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	close(c.state.rejectionWritten)
	if c.state.phase == phaseRejected {
		_ = c.Conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
	}
}

// lingerAndClose closes the sending side, discards incoming bytes, and closes the connection. Errors are ignored, since
// the connection is closed regardless.
func (c *connection) lingerAndClose() {
	if written := c.rejection(); written != nil {
		<-written // whoever has rejected the request writes at once
	}
	socket.CloseWrite(c.Conn)
	c.table.startLinger(c) // from now on the table may close the connection
	c.discardIncoming()
	if c.table.endLinger(c) {
		_ = c.finishClose()
	}
}

// rejection returns the channel that is closed when the response to a rejected request is written; nil if none was
// rejected.
func (c *connection) rejection() <-chan struct{} {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.rejectionWritten
}

// discardIncoming reads and discards bytes until the end of the connection, lingerTimeout or maxLingerTime, or
// maxLingerBytes. It reads at intervals: a client that sends at full speed would otherwise use up the CPU.
func (c *connection) discardIncoming() {
	end := time.Now().Add(maxLingerTime)
	for discarded := 0; discarded < maxLingerBytes && time.Now().Before(end); {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only if the connection is closed
		if err := socket.WaitForReadable(c.Conn); err != nil {
			return
		}
		buffer := getReadBuffer()
		n, err := c.Conn.Read(buffer[:])
		readBuffers.Put(buffer)
		if err != nil {
			return
		}
		discarded += n
		time.Sleep(lingerReadInterval)
	}
}

// startLinger records that the incoming bytes of a connection are discarded from now on.
func (t *connectionTable) startLinger(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lingering.add(c, time.Now())
	c.enterEnding()
}

// endLinger reverts startLinger. It reports false if takeLingering has returned the connection.
func (t *connectionTable) endLinger(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isLingering := t.lingering.contains(c)
	t.lingering.remove(c)
	return isLingering
}
