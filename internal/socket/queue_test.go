package socket_test

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// A connection reports the bytes that wait, and that no more will come.
func TestQueued(t *testing.T) {
	local, peer := connect(t)
	if state := socket.Peer(local); state.Unread != 0 || state.Closed {
		t.Errorf("before any byte: got %+v, want none on an open connection", state)
	}
	send(t, peer, "four")
	socket.WaitForQueued(local, 3)
	if state := socket.Peer(local); state.Unread != 4 || state.Closed {
		t.Errorf("got %+v, want 4 bytes on an open connection", state)
	}
	closeWrite(t, peer)
	socket.WaitForQueued(local, 4) // returns since no more bytes will come
	if state := socket.Peer(local); state.Unread != 4 || !state.Closed {
		t.Errorf("after the close: got %+v, want 4 bytes and closed", state)
	}
	if err := local.Close(); err != nil {
		t.Fatal(err)
	}
	if state := socket.Peer(local); !state.Closed {
		t.Errorf("after the close of this side: got %+v, want closed", state)
	}
}

// WaitForQueued returns at the read deadline.
func TestWaitForQueuedEndsAtDeadline(t *testing.T) {
	local, _ := connect(t)
	if err := local.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	socket.WaitForQueued(local, 0)
	if _, err := local.Read(make([]byte, 1)); !os.IsTimeout(err) {
		t.Errorf("got error %v, want a time-out", err)
	}
}

// The system must hold a whole body that is not read, and must report the next byte after that as readable.
func TestEnsureReceiveBuffer(t *testing.T) {
	const size = 200_000
	local, peer := connect(t)
	if err := socket.EnsureReceiveBuffer(local, size); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = peer.Write([]byte(strings.Repeat("x", size))) }() // a failure shows as missing bytes
	testutil.WaitFor(t, "the whole body", func() bool { return socket.Unread(local) == size })
	if n, err := local.Read(make([]byte, size)); n != size || err != nil {
		t.Fatalf("got %d bytes and error %v, want %d", n, err, size)
	}
	send(t, peer, "x")
	if n, err := local.Read(make([]byte, 2)); n != 1 || err != nil {
		t.Errorf("got %d bytes and error %v, want a single byte", n, err)
	}
}

// A connection is broken when nothing can be sent on it, not if the peer has only closed its sending side.
func TestIsBroken(t *testing.T) {
	local, peer := connect(t)
	closeWrite(t, peer)
	testutil.WaitFor(t, "the close", func() bool { return socket.Peek(local) == socket.Closed })
	if socket.IsBroken(local) {
		t.Error("got a broken connection after the peer has closed its sending side")
	}
	local, peer = connect(t)
	send(t, peer, "x")
	if err := peer.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	testutil.WaitFor(t, "the reset", func() bool { return socket.IsBroken(local) })
}

// PendingCount returns the number of connections in the accept queue.
func TestPendingCount(t *testing.T) {
	listener := testutil.Listen(t)
	if n := socket.PendingCount(listener); n != 0 {
		t.Errorf("got %d pending connections before any connect, want none", n)
	}
	const count = 3
	for range count {
		testutil.Dial(t, listener.Addr(), "")
	}
	testutil.WaitFor(t, "the connections", func() bool { return socket.PendingCount(listener) == count })
	for left := count - 1; left >= 0; left-- {
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = accepted.Close() }()
		if n := socket.PendingCount(listener); n != left {
			t.Errorf("got %d pending connections, want %d", n, left)
		}
	}
	if n := socket.PendingCount(struct{ net.Listener }{listener}); n != socket.UnknownPending {
		t.Errorf("got %d pending connections where that is unknown", n)
	}
}
