package discovery

import (
	"bytes"
	"io"
	"time"
)

// watchReader reads the response body of a watch and limits the size and the duration of each list. Between two lists,
// each received byte resets the idle timer. Within a list, the idle timer is stopped and the list timer runs. Received
// bytes do not reset the list timer, so that a list whose bytes trickle in forever times out.
type watchReader struct {
	body        io.Reader
	idleTimer   *time.Timer // ends the watch when no data is received between lists; stopped within a list
	idleTimeout time.Duration
	listTimer   *time.Timer // ends the watch when a list exceeds listTimeout; stopped between lists

	bytesRemaining int           // number of bytes that may still be read for the current list
	listTimeout    time.Duration // timeout from the first byte of a list to its end
	listStartedAt  time.Time     // time of the list's first byte; zero before it was received
}

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
// size limit and the timeout of the list.
func (r *watchReader) prepareForList(timeout time.Duration) {
	r.listTimer.Stop()
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

// Read implements io.Reader.
func (r *watchReader) Read(p []byte) (int, error) {
	if r.bytesRemaining <= 0 {
		return 0, errListTooLarge
	}
	n, err := r.body.Read(p[:min(len(p), r.bytesRemaining)])
	r.bytesRemaining -= n
	if n > 0 && r.listStartedAt.IsZero() {
		r.resetTimers(p[:n])
	}
	return n, err
}

// resetTimers updates the timers after bytes were received between two lists. White space, such as the empty lines that
// discovery sends, resets the idle timer. Any other byte is the start of a list.
func (r *watchReader) resetTimers(received []byte) {
	if len(bytes.TrimSpace(received)) == 0 {
		r.idleTimer.Reset(r.idleTimeout)
		return
	}
	r.listStartedAt = time.Now()
	r.idleTimer.Stop()
	r.listTimer.Reset(r.listTimeout)
}
