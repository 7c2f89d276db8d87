package discovery

import (
	"bytes"
	"io"
	"time"
)

// watchReader reads the body of a watch and bounds the bytes and the time that one list may take. Between two lists
// each byte is a sign of life; within a list only its start is, since a trickling list would never end otherwise.
type watchReader struct {
	body        io.Reader
	idleTimer   *time.Timer // ends the watch after a silence
	idleTimeout time.Duration
	listTimer   *time.Timer // ends the watch if a list takes too long; stopped between lists

	bytesRemaining int           // what the list may still take
	listTimeout    time.Duration // from the list's first byte to its end
	listStartedAt  time.Time     // zero: no byte of it has come
}

// newWatchReader returns a reader that resets the running timer silence on each sign of life. onSlowList is called
// when a list takes too long.
func newWatchReader(body io.Reader, idleTimer *time.Timer, idleTimeout time.Duration,
	onListTimeout func()) *watchReader {
	listTimer := time.AfterFunc(idleTimeout, onListTimeout)
	listTimer.Stop() // until a list begins
	return &watchReader{body: body, idleTimer: idleTimer, idleTimeout: idleTimeout, listTimer: listTimer}
}

// stop stops the timer of slow lists.
func (r *watchReader) stop() { r.listTimer.Stop() }

// prepareForList sets the bounds of the next list.
func (r *watchReader) prepareForList(timeout time.Duration) {
	r.listTimer.Stop()
	r.idleTimer.Reset(r.idleTimeout)
	r.bytesRemaining, r.listTimeout, r.listStartedAt = maxListSize, timeout, time.Time{}
}

// listDuration is how long the list that was read last took to come.
func (r *watchReader) listDuration() time.Duration {
	if r.listStartedAt.IsZero() { // it came along with the list before
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

// resetTimers resets the timers for bytes that were received between two lists: blanks, or the start of a list.
func (r *watchReader) resetTimers(received []byte) {
	if len(bytes.TrimSpace(received)) == 0 {
		r.idleTimer.Reset(r.idleTimeout)
		return
	}
	r.listStartedAt = time.Now()
	r.idleTimer.Stop()
	r.listTimer.Reset(r.listTimeout)
}
