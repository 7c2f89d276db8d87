package discovery

import (
	"bytes"
	"io"
	"time"
)

// watchReader reads the body of a watch and bounds the bytes and the time that one list may take. Between two lists
// each byte is a sign of life; within a list only its start is, since a trickling list would never end otherwise.
type watchReader struct {
	body           io.Reader
	silence        *time.Timer // ends the watch after a silence
	silenceTimeout time.Duration
	slowList       *time.Timer // ends the watch if a list takes too long; stopped between lists

	bytesRemaining int           // what the list may still take
	listTimeout    time.Duration // from the list's first byte to its end
	listStart      time.Time     // zero: no byte of it has come
}

// newWatchReader returns a reader that resets the running timer silence on each sign of life. onSlowList is called
// when a list takes too long.
func newWatchReader(body io.Reader, silence *time.Timer, silenceTimeout time.Duration,
	onSlowList func()) *watchReader {
	slowList := time.AfterFunc(silenceTimeout, onSlowList)
	slowList.Stop() // until a list begins
	return &watchReader{body: body, silence: silence, silenceTimeout: silenceTimeout, slowList: slowList}
}

// stop stops the timer of slow lists.
func (r *watchReader) stop() { r.slowList.Stop() }

// expectList sets the bounds of the next list.
func (r *watchReader) expectList(timeout time.Duration) {
	r.slowList.Stop()
	r.silence.Reset(r.silenceTimeout)
	r.bytesRemaining, r.listTimeout, r.listStart = maxListSize, timeout, time.Time{}
}

// listDuration is how long the list that was read last took to come.
func (r *watchReader) listDuration() time.Duration {
	if r.listStart.IsZero() { // it came along with the list before
		return 0
	}
	return time.Since(r.listStart)
}

// Read implements io.Reader.
func (r *watchReader) Read(p []byte) (int, error) {
	if r.bytesRemaining <= 0 {
		return 0, errListTooLong
	}
	n, err := r.body.Read(p[:min(len(p), r.bytesRemaining)])
	r.bytesRemaining -= n
	if n > 0 && r.listStart.IsZero() {
		r.resetTimers(p[:n])
	}
	return n, err
}

// resetTimers resets the timers for bytes that were received between two lists: blanks, or the start of a list.
func (r *watchReader) resetTimers(received []byte) {
	if len(bytes.TrimSpace(received)) == 0 {
		r.silence.Reset(r.silenceTimeout)
		return
	}
	r.listStart = time.Now()
	r.silence.Stop()
	r.slowList.Reset(r.listTimeout)
}
