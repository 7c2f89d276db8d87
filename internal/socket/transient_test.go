package socket_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// transientCauses are errors of system calls on a connection that is in good health.
var transientCauses = []error{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}

// What a socket holds, and whether the other side has gone, is seen also where system calls fail for a moment.
func TestPeekRetriesTransientFailures(t *testing.T) {
	for _, cause := range transientCauses {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			local, peer := connect(t)
			socket.FailSyscalls(t, 3, cause)
			if state := socket.Peek(local); state != socket.Empty {
				t.Errorf("before any byte: state %d, want Quiet", state)
			}
			send(t, peer, strings.Repeat("x", 17<<10))
			testutil.WaitFor(t, "the bytes", func() bool { return socket.Peer(local).Flooded })
			socket.FailSyscalls(t, 3, cause)
			if !socket.HasUnread(local) {
				t.Error("unread bytes are not reported")
			}
			if !socket.Peer(local).Flooded {
				t.Error("so many unread bytes are not reported")
			}
			closeWrite(t, peer)
			testutil.WaitFor(t, "the end", func() bool { return socket.Peer(local).Closed })
			socket.FailSyscalls(t, 3, cause)
			if !socket.Peer(local).Closed {
				t.Error("the other side's end is not reported")
			}
		})
	}
}

// A connection that can't be examined at all may hold a request: it does not count as idle.
func TestPeekPersistentFailure(t *testing.T) {
	local, peer := connect(t)
	send(t, peer, "x")
	testutil.WaitFor(t, "the byte", func() bool { return socket.HasUnread(local) })
	socket.FailSyscalls(t, 1<<30, syscall.ENOBUFS)
	if !socket.HasUnread(local) {
		t.Error("a connection that can't be examined counts as idle")
	}
	if socket.Peer(local).IsGone() {
		t.Error("the other side counts as gone")
	}
}

// flakyConn is a connection that reads and writes one byte at a time, with a failure before each.
type flakyConn struct {
	net.Conn
	cause error
	calls int
}

func (c *flakyConn) failAlternately(p []byte, operation func([]byte) (int, error)) (int, error) {
	if c.calls++; c.calls%2 == 1 {
		return 0, &net.OpError{Op: "operation", Err: c.cause}
	}
	return operation(p[:min(1, len(p))])
}

func (c *flakyConn) Read(p []byte) (int, error) { return c.failAlternately(p, c.Conn.Read) }

func (c *flakyConn) Write(p []byte) (int, error) { return c.failAlternately(p, c.Conn.Write) }

// Reads and writes that are short, or fail for a moment, lose nothing.
func TestConnRetriesTransientFailures(t *testing.T) {
	const text = "a request, or the response to it"
	for _, cause := range transientCauses {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			local, peer := connect(t)
			conn := socket.NewConn(&flakyConn{Conn: local, cause: cause})
			send(t, conn, text)
			received := make([]byte, len(text))
			if _, err := io.ReadFull(peer, received); err != nil || string(received) != text {
				t.Errorf("written: %q, %v", received, err)
			}
			send(t, peer, text)
			if _, err := io.ReadFull(conn, received); err != nil || string(received) != text {
				t.Errorf("read: %q, %v", received, err)
			}
		})
	}
}

// Connections that are dialled withstand such failures.
func TestDialerReturnsRetryingConn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := new(socket.Dialer).DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, ok := conn.(socket.Conn); !ok {
		t.Errorf("dialled a %T", conn)
	}
}
