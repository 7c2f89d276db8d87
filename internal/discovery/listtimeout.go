package discovery

import (
	"sync"
	"time"
)

const (
	// listTimeoutFactor is the factor by which the timeout grows when it expires, and the timeout after a received list
	// as a multiple of that list's duration.
	listTimeoutFactor = 2
	// maxListTimeoutFactor is the maximum timeout as a multiple of the minimum timeout.
	maxListTimeoutFactor = 8
)

// adaptiveListTimeout is the timeout from the first byte of a list on a watch to its end. It adapts to the duration of
// lists, so that lists from a slow discovery service are received eventually. It is safe for concurrent use.
type adaptiveListTimeout struct {
	minTimeout time.Duration

	mu      sync.Mutex // protects timeout
	timeout time.Duration
}

func newAdaptiveListTimeout(minTimeout time.Duration) *adaptiveListTimeout {
	return &adaptiveListTimeout{minTimeout: minTimeout, timeout: minTimeout}
}

// current returns the timeout for the next list.
func (l *adaptiveListTimeout) current() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.timeout
}

// increase multiplies the timeout by listTimeoutFactor after it has expired.
func (l *adaptiveListTimeout) increase() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(listTimeoutFactor * l.timeout)
}

// update sets the timeout to listTimeoutFactor times the duration of a received list. A list that was received together
// with the previous one has duration 0, which sets the timeout to its minimum.
func (l *adaptiveListTimeout) update(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(listTimeoutFactor * duration)
}

// set sets the timeout, limited to 1 to maxListTimeoutFactor times minTimeout. The caller holds mu.
func (l *adaptiveListTimeout) set(timeout time.Duration) {
	l.timeout = min(max(l.minTimeout, timeout), maxListTimeoutFactor*l.minTimeout)
}
