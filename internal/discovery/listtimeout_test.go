package discovery

import (
	"testing"
	"time"
)

// The timeout must grow, up to its maximum, while lists exceed it, and shrink again when lists are received faster.
// Otherwise the lists of a slow discovery service would never be received.
func TestAdaptiveListTimeout(t *testing.T) {
	const minimum = 2 * time.Second
	timeout := newAdaptiveListTimeout(minimum)
	for _, want := range []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second} {
		if timeout.increase(); timeout.current() != want {
			t.Errorf("after an expired timeout: got timeout %v, want %v", timeout.current(), want)
		}
	}
	for duration, want := range map[time.Duration]time.Duration{
		0: minimum, time.Second: minimum, 3 * time.Second: 6 * time.Second, time.Minute: 16 * time.Second,
	} {
		if timeout.update(duration); timeout.current() != want {
			t.Errorf("got timeout %v after a list with duration %v, want %v", timeout.current(), duration, want)
		}
	}
}
