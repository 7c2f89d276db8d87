package testutil

import (
	"net"
	"testing"
)

// eventBuffer is the capacity of the channels on which fake services report events to the test.
const eventBuffer = 100

// Listen listens on a loopback port chosen by the system until the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	return ListenAt(t, "127.0.0.1:0")
}

// ListenAt listens on an address until the test ends.
func ListenAt(t *testing.T, addr string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // fails if the test has closed it
	return listener
}
