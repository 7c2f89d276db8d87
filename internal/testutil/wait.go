package testutil

import (
	"testing"
	"time"
)

// Timeout bounds waits for what must happen; only something broken takes so long.
const Timeout = 20 * time.Second

// pollInterval is the time between two checks of a condition that no event announces.
const pollInterval = time.Millisecond

// Receive takes one value from a channel, and fails the test if none comes.
func Receive[T any](t *testing.T, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(Timeout):
		t.Fatal("timed out waiting for a value")
	}
	return value
}

// WaitFor waits for a condition that no event announces; what names it if the test fails.
func WaitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}
