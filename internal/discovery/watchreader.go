package discovery

import (
	"bytes"
	"io"
	"time"
)

// watchReader reads the response body of a watch and limits the size and the duration of each list. Between two lists,
// each received byte resets the idle timer, and white space, such as the empty lines that discovery sends, is dropped:
// the decoder would keep all of it until the next list. Within a list, the idle timer is stopped and the list timer
// runs. Received bytes do not reset the list timer, so that a list whose bytes trickle in forever times out.
type watchReader struct {
	body        io.Reader
	idleTimer   *time.Timer // ends the watch when no data is received between lists; stopped within a list
	idleTimeout time.Duration
	listTimer   *time.Timer // ends the watch when a list exceeds listTimeout; stopped between lists

	isWithinList   bool          // the next byte belongs to a list whose first byte was read
	bytesRemaining int           // number of bytes that may still be read for the current list
	listTimeout    time.Duration // timeout from the first byte of a list to its end
	listStartedAt  time.Time     // time of the list's first byte; zero before it was received
}

// whiteSpace are the bytes that JSON allows between two values.
const whiteSpace = " \t\r\n"

// newWatchReader returns a reader that resets idleTimer, which must be running, when it receives data between lists.
// onListTimeout is called when a list exceeds its timeout.
func newWatchReader(body io.Reader, idleTimer *time.Timer, idleTimeout time.Duration,
	onListTimeout func()) *watchReader {
	listTimer := time.AfterFunc(idleTimeout, onListTimeout) // the duration is arbitrary: the timer is stopped at once
	listTimer.Stop()                                        // the first byte of a list starts it with listTimeout
	return &watchReader{body: body, idleTimer: idleTimer, idleTimeout: idleTimeout, listTimer: listTimer}
}

// stop stops the list timer.
func (r *watchReader) stop() { r.listTimer.Stop() }

// prepareForList must be called before each list is read. It stops the list timer, resets the idle timer, and sets the
// size limit and the timeout of the list. buffered are the bytes behind the previous list that the decoder has read.
func (r *watchReader) prepareForList(timeout time.Duration, buffered io.Reader) {
	r.listTimer.Stop()
	r.isWithinList = startsList(buffered)
	r.idleTimer.Reset(r.idleTimeout)
	r.bytesRemaining, r.listTimeout, r.listStartedAt = maxListSize, timeout, time.Time{}
}

// listDuration returns the time since the first bytes of the current list were read. It is 0 if the decoder had already
// read the whole list together with the previous one.
func (r *watchReader) listDuration() time.Duration {
	if r.listStartedAt.IsZero() {
		return 0
	}
	return time.Since(r.listStartedAt)
}

// startsList reports whether bytes behind a list contain the start of the next one.
func startsList(buffered io.Reader) bool {
	var chunk [64]byte
	for {
		n, err := buffered.Read(chunk[:])
		if len(bytes.TrimLeft(chunk[:n], whiteSpace)) > 0 {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// Read implements io.Reader.
func (r *watchReader) Read(p []byte) (int, error) {
	for {
		if r.bytesRemaining <= 0 {
			return 0, errListTooLarge
		}
		n, err := r.body.Read(p[:min(len(p), r.bytesRemaining)])
		if n > 0 && r.listStartedAt.IsZero() {
			r.resetTimers(p[:n])
		}
		if !r.isWithinList {
			n = copy(p, bytes.TrimLeft(p[:n], whiteSpace))
			r.isWithinList = n > 0
		}
		r.bytesRemaining -= n
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
	}
}

// resetTimers updates the timers after bytes were received between two lists. White space resets the idle timer. Any
// other byte is the start of a list.
func (r *watchReader) resetTimers(received []byte) {
	if len(bytes.TrimLeft(received, whiteSpace)) == 0 {
		r.idleTimer.Reset(r.idleTimeout)
		return
	}
	r.listStartedAt = time.Now()
	r.idleTimer.Stop()
	r.listTimer.Reset(r.listTimeout)
}
