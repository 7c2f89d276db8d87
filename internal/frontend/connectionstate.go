package frontend

import (
	"net"
	"net/http"
	"time"

	"ashshunt/internal/membudget"
	"ashshunt/internal/socket"
)

// phase is the state of a connection within its cycle of requests. The transitions are:
//
//	idle    -> reading   the first byte of a request arrives
//	idle    -> serving   net/http responds to a malformed request that it read together with the previous one
//	reading -> serving   the request is complete, or gets an error response
//	reading -> rejected  the request timed out, its client was evicted, or a shutdown rejects it
//	serving -> idle      the response is written
//	serving -> reading   the response is written and the next request has already started
//	any     -> closing   Close is called, or the table closes an idle connection to reclaim its slot or to shut down
//
// The table is the connectionTable of the connection. It limits the number of open connections; each occupies a slot.
// Only the enter... methods (transitions.go) change the phase. Their callers hold the table's mutex.
type phase uint8

const (
	// phaseIdle: no byte of the next request has been read. The connection is on the table's idle list, and may be
	// closed at any time while it is on the list. A connection that is found to have unread bytes is removed from the
	// list.
	phaseIdle phase = iota
	// phaseReading: a request has started and is incomplete. The connection is in the table's list of incomplete
	// requests. The request's timer replaces the read deadlines that net/http sets. A client that has stalled may be
	// evicted at any time, to free its slot or memory for another client.
	phaseReading
	// phaseServing: a request is complete, or is getting an error response. A connection that came directly from
	// phaseIdle is still on the idle list.
	phaseServing
	// phaseRejected: an incomplete request was rejected. Reads and writes fail, and Close discards incoming bytes. Only
	// the caller that set this phase writes a response; Close waits for that.
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
	pipelined          int             // requests in a row that had started before the response to the previous one

	hasResponse      bool          // a response to the current request has started
	requestID        string        // ID of the current request; empty: not known
	requestErr       error         // why the current request gets no response; nil: not known
	rejectionWritten chan struct{} // closed when the response of a rejected request is written; nil before
	isEnding         bool          // counts in connectionTable.ending

	handlerMemory *membudget.Reservation // memory of net/http for the connection; nil before it is handed over
	requestMemory *membudget.Reservation // memory of the request that is being read; nil if its handler holds it
}

// isFinished reports whether the connection can't serve any more requests.
func (s *connectionState) isFinished() bool {
	return s.phase == phaseRejected || s.phase == phaseClosing
}

// isReading reports whether the request with the given number is being read.
func (s *connectionState) isReading(number int) bool {
	return s.phase == phaseReading && s.request.number == number
}

// The methods below examine the state of a connection or handle its events. Each locks the table's mutex, except for
// startCloseIfShuttingDown, whose caller holds it.

func (c *connection) isIdle() bool { return c.isIn(phaseIdle) }

func (c *connection) isReading() bool { return c.isIn(phaseReading) }

// isReadingHead reports whether the head of a request is being read. It is not while a request that is complete waits
// to be served: the next head is read after its response.
func (c *connection) isReadingHead() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.phase == phaseReading && !c.state.request.isParsed
}

func (c *connection) isIn(p phase) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.phase == p
}

// recordHead records that the head of the request that is being read is complete. It returns false if that is recorded
// already, or if no request is being read. isWhole says whether all of the body, if any, was read with it. timeout is
// that of the client; 0: not known.
func (c *connection) recordHead(now time.Time, isWhole bool, timeout time.Duration) (recorded bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.phase != phaseReading || !c.state.request.headAt.IsZero() {
		return false
	}
	c.state.request.headAt, c.state.request.timeout = now, timeout
	if isWhole {
		c.state.request.bodyAt = now
	}
	return true
}

// recordParsed records that net/http has parsed the head of the current request.
func (c *connection) recordParsed() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.request.isParsed = true
}

// isAwaited reports whether the agent waits for bytes of the current request. It does not if it reads ahead. The caller
// holds the table's mutex.
func (c *connection) isAwaited() bool {
	request := &c.state.request
	return request.isAwaited && (!request.isParsed || c.scanner.isWithinBody())
}

// recordParsedHead records the ID of the current request once net/http has parsed its head, and corrects what the head
// said about the body. hasMore says whether bytes of the body were not read.
func (c *connection) recordParsedHead(id string, hasMore bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.requestID = id
	if hasMore && c.state.request.bodyMemory == 0 {
		c.state.request.bodyAt = time.Time{}
	}
}

// isPipelining reports whether the client has not waited for responses for more than maxPipelined requests in a row.
func (c *connection) isPipelining() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.pipelined > maxPipelined
}

// arrivalTimes returns the times at which the head and the body of the current request had arrived. They are zero if
// they are not known. That of the head is not if it was read together with the previous request.
func (c *connection) arrivalTimes() (headAt, bodyAt time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.request.headAt, c.state.request.bodyAt
}

// setAwaited records whether the agent waits for bytes of the client.
func (c *connection) setAwaited(isAwaited bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.request.isAwaited = isAwaited
}

// setWaiting records whether the request waits for memory.
func (c *connection) setWaiting(isWaiting bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	now := time.Now()
	if isWaiting {
		c.state.request.waitingSince = now
		c.table.waiting.add(c, now)
	} else {
		c.state.request.waitedFor += now.Sub(c.state.request.waitingSince)
		c.table.waiting.remove(c)
	}
}

// recordBodyMemory records that memory for the body of the request is reserved.
func (c *connection) recordBodyMemory(bytes int64) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.request.bodyMemory = bytes
}

// setHandlerMemory makes the connection the holder of the memory of net/http. It reports false if the connection is
// finished.
func (c *connection) setHandlerMemory(memory *membudget.Reservation) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.isFinished() {
		return false
	}
	c.state.handlerMemory = memory
	return true
}

// takeMemory returns the reservations that the connection holds. The caller becomes their holder.
func (c *connection) takeMemory() (handler, request *membudget.Reservation) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	handler, request = c.state.handlerMemory, c.state.requestMemory
	c.state.handlerMemory, c.state.requestMemory = nil, nil
	return handler, request
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
	c.state.request.isAwaited = false
	switch c.state.phase {
	case phaseReading:
		c.state.request.readBytes += int64(n)
		if unnoticed := c.state.request.takeQueued(n); unnoticed > 0 {
			c.recordProgress(unnoticed, time.Now())
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

// recordProgress records that n bytes of a request have been read. The caller holds the table's mutex.
func (c *connection) recordProgress(n int, now time.Time) {
	request := &c.state.request
	request.readCount++
	request.lastReadAt = now
	request.bytesSinceProgress += n
	if request.bytesSinceProgress >= minProgressBytes {
		request.bytesSinceProgress = 0
		c.table.incomplete.add(c, now)
	}
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

// rejectCurrent moves the connection to phaseRejected if a request is being read, and reports whether it did so. The
// caller then writes the response.
func (c *connection) rejectCurrent() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.phase != phaseReading {
		return false
	}
	c.enterRejected()
	return true
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
	remaining := c.state.request.remaining(c.table.timeouts)
	if !c.state.request.isAwaited {
		remaining = max(remaining, minReadTimeout)
	}
	if remaining > 0 {
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

// recordResponse records that a response to the current request has started.
func (c *connection) recordResponse() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.hasResponse = true
}

// recordRequestError records why the current request gets no response.
func (c *connection) recordRequestError(err error) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.requestErr = err
}

// progress returns the age of the current request and how many bytes of it were read.
func (c *connection) progress() (age time.Duration, readBytes int64) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return time.Since(c.state.request.startedAt), c.state.request.readBytes
}

// requestAge returns the ID of the current request, empty if it is not known, and the time since its first byte.
func (c *connection) requestAge() (id string, age time.Duration) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state.requestID, time.Since(c.state.request.startedAt)
}

// unanswered returns the state of a request of which bytes were read and which has no response. It is called when the
// connection has left the given phase in order to close. It reports false if there is none.
func (c *connection) unanswered(previous phase) (request unansweredRequest, ok bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if previous != phaseReading && previous != phaseServing || c.state.hasResponse {
		return unansweredRequest{}, false
	}
	if c.state.request.readBytes == 0 && c.state.requestID == "" { // the client has closed an idle connection
		return unansweredRequest{}, false
	}
	return unansweredRequest{
		id:        c.state.requestID,
		err:       c.state.requestErr,
		age:       time.Since(c.state.request.startedAt),
		readBytes: c.state.request.readBytes,
	}, true
}

// handleConnState handles a state change that net/http reports. It reports whether it has moved the connection to
// phaseClosing; if so, the caller must call finishClose. This happens in a shutdown if a response was written just
// before the shutdown started, and therefore without a Connection: close header.
func (c *connection) handleConnState(state http.ConnState) (closing bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch state {
	case http.StateNew: // the table has added the connection to the idle list
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
