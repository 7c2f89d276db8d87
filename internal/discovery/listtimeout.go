package discovery

import (
	"sync"
	"time"
)

const (
	// listTimeoutFactor is the factor by which the timeout of a list grows when one expires, and its multiple of the
	// time that the last list took.
	listTimeoutFactor = 2
	// maxListTimeoutFactor bounds the timeout, in multiples of its minimum.
	maxListTimeoutFactor = 8
)

// adaptiveListTimeout is the time that one list of a watch may take from its first byte to its end. It adapts to slow lists,
// so that lists of a slow discovery arrive in the end. It is safe for concurrent use.
type adaptiveListTimeout struct {
	minTimeout time.Duration

	mu      sync.Mutex // protects timeout
	timeout time.Duration
}

func newAdaptiveListTimeout(minimum time.Duration) *adaptiveListTimeout {
	return &adaptiveListTimeout{minTimeout: minimum, timeout: minimum}
}

// current is the timeout of the next list.
func (l *adaptiveListTimeout) current() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.timeout
}

// increase grows the timeout after a list that did not come in time.
func (l *adaptiveListTimeout) increase() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(listTimeoutFactor * l.timeout)
}

// update adapts the timeout to the time that a list took. One that came along with the list before it took none, and
// so resets the timeout to its minimum.
func (l *adaptiveListTimeout) update(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(listTimeoutFactor * duration)
}

// set sets the timeout within its bounds. The caller holds mu.
func (l *adaptiveListTimeout) set(timeout time.Duration) {
	l.timeout = min(max(l.minTimeout, timeout), maxListTimeoutFactor*l.minTimeout)
}
