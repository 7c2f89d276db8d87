package socket_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// connect returns both ends of a new TCP connection.
func connect(t *testing.T) (local net.Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	local, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), local.Close() })
	peer, ok := dialed.(*net.TCPConn)
	if !ok {
		t.Fatalf("got dialed connection of type %T, want *net.TCPConn", dialed)
	}
	return local, peer
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func closeWrite(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

func TestPeek(t *testing.T) {
	local, peer := connect(t)
	if state := socket.Peek(local); state != socket.Empty || socket.HasUnread(local) {
		t.Errorf("before any byte: got state %d, want Empty", state)
	}
	send(t, peer, "x")
	testutil.WaitFor(t, "an unread byte", func() bool { return socket.Peek(local) == socket.Readable })
	if !socket.HasUnread(local) {
		t.Error("with an unread byte: got HasUnread false, want true")
	}
	if _, err := io.ReadFull(local, make([]byte, 1)); err != nil {
		t.Errorf("read after Peek: got error %v, want the byte that Peek saw", err)
	}
	closeWrite(t, peer)
	testutil.WaitFor(t, "state Closed", func() bool { return socket.Peek(local) == socket.Closed })
}

func TestPeekAtUnusableConnections(t *testing.T) {
	pipe, other := net.Pipe()
	defer func() { _, _ = pipe.Close(), other.Close() }()
	closed, _ := connect(t)
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	for name, conn := range map[string]net.Conn{"not a socket": pipe, "closed by this side": closed} {
		if state := socket.Peek(conn); state != socket.Closed {
			t.Errorf("%s: got state %d, want Closed", name, state)
		}
		if err := socket.WaitForReadable(conn); err == nil {
			t.Errorf("%s: got no error from WaitForReadable, want one", name)
		}
	}
	if !socket.Peer(closed).Closed {
		t.Error("closed by this side: got Closed false, want true")
	}
}

func TestWaitReadable(t *testing.T) {
	for name, event := range map[string]func(*testing.T, *net.TCPConn){
		"bytes": func(t *testing.T, peer *net.TCPConn) {
			t.Helper()
			send(t, peer, "x")
		},
		"end": closeWrite,
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := connect(t)
			done := make(chan error, 1)
			go func() { done <- socket.WaitForReadable(local) }()
			event(t, peer)
			if err := testutil.Receive(t, done); err != nil {
				t.Error(err)
			}
			if state := socket.Peek(local); state == socket.Empty {
				t.Error("after WaitForReadable: got state Empty, want another")
			}
		})
	}
}

func TestPeer(t *testing.T) {
	flood := strings.Repeat("x", 24<<10)
	for _, tt := range []struct {
		name, extra string
		closes      bool
		want        socket.PeerState
	}{
		{"waits", "", false, socket.PeerState{}},
		{"waits, bytes after the request", "GET /", false, socket.PeerState{Unread: len("GET /")}},
		{"closes", "", true, socket.PeerState{Closed: true}},
		{"closes, bytes after the request", "GET /", true, socket.PeerState{Closed: true, Unread: len("GET /")}},
		{"floods", flood, false, socket.PeerState{Unread: len(flood)}},
		{"floods and closes", flood, true, socket.PeerState{Closed: true, Unread: len(flood)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			local, peer := connect(t)
			send(t, peer, tt.extra)
			if tt.closes {
				closeWrite(t, peer)
			}
			testutil.WaitFor(t, "the wanted state", func() bool { return socket.Peer(local) == tt.want })
			if unread := socket.Unread(local); unread != tt.want.Unread {
				t.Errorf("got %d unread bytes, want %d", unread, tt.want.Unread)
			}
		})
	}
}
