package testutil

import (
	"testing"
	"time"
)

// Timeout limits each wait for an event that the test requires. It is long enough for a busy machine.
const Timeout = 20 * time.Second

// pollInterval is the time between two evaluations of a condition by WaitFor.
const pollInterval = time.Millisecond

// Receive receives one value from a channel. It fails the test if there is none within Timeout.
func Receive[T any](t *testing.T, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(Timeout):
		t.Fatal("timed out waiting for a value")
	}
	return value
}

// WaitFor polls a condition until it holds. It fails the test after Timeout with a message that contains what.
func WaitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}
