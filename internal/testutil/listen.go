package testutil

import (
	"net"
	"testing"
)

// eventBuffer is how many events of a stand-in fit into a channel before the test takes one.
const eventBuffer = 100

// Listen listens on a loopback port that the system chooses, until the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // a test may have closed it
	return listener
}
