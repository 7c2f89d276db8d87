package frontend

import (
	"time"

	"ashshunt/internal/socket"
)

// requestProgress records how much of the current request has been read.
type requestProgress struct {
	// number counts the requests that have started on the connection. A timer or a shutdown rejects a request by its
	// number, so that it can't reject a later one.
	number     int
	startedAt  time.Time   // time of the request's first byte
	readCount  int         // reads that returned bytes of the request
	lastReadAt time.Time   // time of the last such read
	timer      *time.Timer // rejects the request; nil before the first request

	readBytes          int64         // bytes that were read
	bytesSinceProgress int           // bytes that were read since the client last made progress
	headAt             time.Time     // time at which the head was complete; zero before
	isParsed           bool          // net/http has parsed the head, so that the next one belongs to another request
	timeout            time.Duration // the client's timeout; 0: not known
	bodyAt             time.Time     // time at which all bytes of the body had arrived; zero: not known
	isQueued           bool          // the body waits in the socket, until it is complete
	queuedBytes        int           // bytes in the socket when the client last made progress, if isQueued is set
	isAwaited          bool          // the agent waits for bytes of the client
	waitingSince       time.Time     // start of the wait for memory; zero: the request does not wait
	waitedFor          time.Duration // sum of the waits for memory before
	bodyMemory         int64         // reserved bytes for the body
}

// minProgressBytes is the number of bytes that count as progress of a client. Fewer bytes do not keep a slow client
// from being evicted.
const minProgressBytes = 256

// takeQueued records that n bytes have been read, and returns how many of them were not noticed in the socket before.
func (p *requestProgress) takeQueued(n int) (unnoticed int) {
	noticed := min(n, p.queuedBytes)
	p.queuedBytes -= noticed
	return n - noticed
}

// hasNewBytes reports whether bytes of the request have arrived that the agent has not noticed.
func (c *connection) hasNewBytes() bool {
	if c.state.request.isQueued {
		return socket.Unread(c.Conn) > c.state.request.queuedBytes
	}
	return socket.HasUnread(c.Conn)
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
