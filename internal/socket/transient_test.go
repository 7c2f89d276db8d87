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

// transientCauses are errors of system calls that may occur on a healthy connection.
var transientCauses = []error{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}

// The receive side of a socket and a close by the peer are detected even if system calls fail transiently.
func TestPeekRetriesTransientFailures(t *testing.T) {
	for _, cause := range transientCauses {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			local, peer := connect(t)
			socket.FailSyscalls(t, 3, cause)
			if state := socket.Peek(local); state != socket.Empty {
				t.Errorf("before any byte: got state %d, want Empty", state)
			}
			send(t, peer, strings.Repeat("x", 17<<10))
			testutil.WaitFor(t, "17 KiB", func() bool { return socket.Peer(local).Unread == 17<<10 })
			socket.FailSyscalls(t, 3, cause)
			if !socket.HasUnread(local) {
				t.Error("with unread bytes: got HasUnread false, want true")
			}
			if unread := socket.Peer(local).Unread; unread != 17<<10 {
				t.Errorf("with 17 KiB unread: got %d bytes, want all", unread)
			}
			closeWrite(t, peer)
			testutil.WaitFor(t, "state Closed", func() bool { return socket.Peer(local).Closed })
			socket.FailSyscalls(t, 3, cause)
			if !socket.Peer(local).Closed {
				t.Error("after the peer's close: got Closed false, want true")
			}
		})
	}
}

// A connection that can't be examined may have an unread request, so it must not be treated as idle or closed.
func TestPeekPersistentFailure(t *testing.T) {
	local, peer := connect(t)
	send(t, peer, "x")
	testutil.WaitFor(t, "an unread byte", func() bool { return socket.HasUnread(local) })
	socket.FailSyscalls(t, 1<<30, syscall.ENOBUFS)
	if !socket.HasUnread(local) {
		t.Error("got HasUnread false while system calls fail, want true")
	}
	if state := socket.Peer(local); state != (socket.PeerState{}) {
		t.Errorf("got %+v while system calls fail, want neither closed nor bytes", state)
	}
}

// flakyConn reads and writes one byte at a time. Every other call fails with cause.
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

// Short reads and writes, and transient failures between them, must not lose any bytes.
func TestConnRetriesTransientFailures(t *testing.T) {
	const text = "a request, or the response to it"
	for _, cause := range transientCauses {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			local, peer := connect(t)
			conn := socket.NewConn(&flakyConn{Conn: local, cause: cause})
			send(t, conn, text)
			received := make([]byte, len(text))
			if _, err := io.ReadFull(peer, received); err != nil || string(received) != text {
				t.Errorf("written bytes: got %q and error %v, want the text", received, err)
			}
			send(t, peer, text)
			if _, err := io.ReadFull(conn, received); err != nil || string(received) != text {
				t.Errorf("read bytes: got %q and error %v, want the text", received, err)
			}
		})
	}
}

// Dialed connections must retry transient failures, too.
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
		t.Errorf("got dialed connection of type %T, want socket.Conn", conn)
	}
}
