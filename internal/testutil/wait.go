package testutil

import (
	"testing"
	"time"
)

// Timeout bounds waits for what must happen; nothing waits so long unless it is broken.
const Timeout = 20 * time.Second

// pollInterval is how often a condition that no event announces is examined.
const pollInterval = time.Millisecond

// Receive takes one value from a channel.
func Receive[T any](t *testing.T, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(Timeout):
		t.Fatal("timed out waiting for a value")
	}
	return value
}

// Eventually waits for a condition that no event announces.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}
