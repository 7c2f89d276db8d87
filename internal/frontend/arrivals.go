package frontend

import (
	"sync"
	"time"

	"ashshunt/internal/socket"
)

// maxArrivalMarks bounds the marks of a connection. With more, the arrival of requests is estimated earlier.
const maxArrivalMarks = 32

// arrivalMark says that no byte behind a position of the connection's stream had arrived by a time.
type arrivalMark struct {
	position int64
	at       time.Time
}

// arrivalMarks knows when the requests of a client arrived that does not wait for responses. Such requests wait behind
// others, read ahead or in the socket, and the system tells only when the last bytes of all came. While a request is
// open, the agent therefore marks how much has arrived. A request that is whole by one of the marks arrived after the
// last mark that it exceeds: the time that is safe for its client. It is safe for concurrent use.
type arrivalMarks struct {
	mu       sync.Mutex
	marks    []arrivalMark // by position, each the latest for its position; protected by mu
	previous time.Time     // arrival of the request before; protected by mu
}

// add adds a mark.
func (a *arrivalMarks) add(mark arrivalMark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := len(a.marks) - 1; last >= 0 && a.marks[last].position >= mark.position {
		if a.marks[last].position == mark.position {
			a.marks[last].at = mark.at
		}
		return // another goroutine has looked later
	}
	if len(a.marks) == maxArrivalMarks {
		a.marks = append(a.marks[:0], a.marks[1:]...)
	}
	a.marks = append(a.marks, mark)
}

// take returns the arrival of the next request, which ends at a position, and forgets the marks of the requests before.
// arrivedAt is the arrival if the request has not waited behind another one.
func (a *arrivalMarks) take(end int64, arrivedAt time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	exceeded := 0 // number of marks that the request exceeds
	for exceeded < len(a.marks) && a.marks[exceeded].position < end {
		exceeded++
	}
	if isWhole := exceeded < len(a.marks); isWhole {
		arrivedAt = a.previous
		if exceeded > 0 && a.marks[exceeded-1].at.After(arrivedAt) {
			arrivedAt = a.marks[exceeded-1].at
		}
	}
	a.marks = append(a.marks[:0], a.marks[max(0, exceeded-1):]...)
	a.previous = arrivedAt
	return arrivedAt
}

// arrival returns the time at which the last byte of the current request arrived, which was read at the given time.
func (c *connection) arrival(hasBody bool, readAt time.Time) time.Time {
	arrivedAt := c.headArrival(readAt)
	if hasBody {
		arrivedAt = c.bodyArrival(readAt)
	}
	if end, ok := c.scanner.requestEnd(); ok {
		return c.arrivals.take(end, arrivedAt)
	}
	return arrivedAt
}

// headArrival returns the time at which a request without a body arrived. now is the time if it is unknown because the
// head was read together with the previous request.
func (c *connection) headArrival(now time.Time) time.Time {
	if headAt, _ := c.arrivalTimes(); !headAt.IsZero() {
		return headAt
	}
	return now
}

// bodyArrival returns the time at which the last byte of a body arrived, which has just been read.
func (c *connection) bodyArrival(now time.Time) time.Time {
	if _, bodyAt := c.arrivalTimes(); !bodyAt.IsZero() {
		return bodyAt
	}
	return c.lastReceivedAt(now)
}

// lastReceivedAt returns the time at which the last bytes of the current request were received, if it is complete. They
// may have been in the socket for some time: the request may have waited for a slot or for memory, or the agent may
// have been held up.
func (c *connection) lastReceivedAt(now time.Time) time.Time {
	headAt, _ := c.arrivalTimes()
	return c.receivedNotBefore(headAt, now)
}

// receivedAt returns the time at which the head that has just been read was received. The first one of a connection
// that has waited in the accept queue may have been received long before.
func (c *connection) receivedAt() time.Time {
	now := time.Now()
	if c.backlogSince.IsZero() {
		return now
	}
	receivedAt := c.receivedNotBefore(c.backlogSince, now)
	c.backlogSince = time.Time{}
	return receivedAt
}

// receivedNotBefore returns the system's time of the last received bytes, or earliest if that is later.
func (c *connection) receivedNotBefore(earliest, now time.Time) time.Time {
	receivedAt := now.Add(-socket.SinceReceived(c.Conn))
	if receivedAt.Before(earliest) {
		return earliest
	}
	return receivedAt
}

// examinePeer returns the state of the client, and marks how much of its stream has arrived.
func (c *connection) examinePeer() socket.PeerState {
	var peer socket.PeerState
	c.markArrived(func() int {
		peer = socket.Peer(c.Conn)
		return peer.Unread
	})
	return peer
}

// examineUnread returns the number of unread bytes of the client, and marks how much of its stream has arrived.
func (c *connection) examineUnread() (unread int) {
	c.markArrived(func() int {
		unread = socket.Unread(c.Conn)
		return unread
	})
	return unread
}

// markArrived marks how much of the client's stream has arrived. countUnread returns the number of its unread bytes.
func (c *connection) markArrived(countUnread func() int) {
	now := time.Now() // before the look: bytes that come meanwhile arrive later than that
	c.arrivals.add(arrivalMark{position: c.scanner.arrivedBytes(countUnread), at: now})
}
