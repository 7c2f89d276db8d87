package socket_test

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// receiver keeps the bytes that it gets. The mutex protects them.
type receiver struct {
	sync.Mutex
	received []byte
}

// Receive implements socket.Receiver.
func (r *receiver) Receive(p []byte) { r.received = append(r.received, p...) }

// readLocked calls ReadLocked with a buffer, and returns the bytes that were read and those that were passed on.
func readLocked(conn net.Conn, size int) (read, passed string, err error) {
	var r receiver
	buffer := make([]byte, size)
	n, err := socket.ReadLocked(conn, buffer, &r)
	return string(buffer[:n]), string(r.received), err
}

// Whoever holds the lock must find each byte of a stream once: passed on, or unread in the socket. Otherwise bytes that
// are being read are taken for missing, and what follows them for the first ones.
func TestReadLockedHidesNoBytes(t *testing.T) {
	t.Parallel()
	stream := strings.Repeat("0123456789", 2000)
	local, peer := connect(t)
	var r receiver
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := socket.ReadLocked(local, make([]byte, 1), &r); err != nil {
				ended <- err
				return
			}
		}
	}()
	go func() {
		_, _ = io.WriteString(peer, stream) // a failure shows in the number of bytes
		_ = peer.CloseWrite()               // fails only if the connection is closed
	}()
	for {
		select {
		case err := <-ended:
			if !errors.Is(err, io.EOF) || string(r.received) != stream {
				t.Errorf("got %d bytes and error %v, want the stream and its end", len(r.received), err)
			}
			return
		default:
		}
		r.Lock()
		next := make([]byte, 1)
		if n := socket.PeekBytes(local, next); n == 1 && next[0] != stream[len(r.received)] {
			t.Fatalf("got unread byte %q behind %d bytes, want %q", next, len(r.received), stream[len(r.received)])
		}
		r.Unlock()
	}
}

// ReadLocked must not hold the lock while it waits.
func TestReadLockedWaitsWithoutLock(t *testing.T) {
	t.Parallel()
	local, peer := connect(t)
	var r receiver
	read := make(chan error, 1)
	go func() {
		_, err := socket.ReadLocked(local, make([]byte, 4), &r)
		read <- err
	}()
	for range 100 { // some of them while it waits
		r.Lock()
		time.Sleep(10 * time.Microsecond)
		r.Unlock()
	}
	send(t, peer, "text")
	if err := testutil.Receive(t, read); err != nil || string(r.received) != "text" {
		t.Errorf("got %q and error %v, want the text", r.received, err)
	}
}

// ReadLocked must return the errors of Read, which net/http tells apart.
func TestReadLockedErrors(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		cause func(local net.Conn, peer *net.TCPConn) error
		want  error
	}{
		{"end", func(_ net.Conn, peer *net.TCPConn) error { return peer.CloseWrite() }, io.EOF},
		{"reset", func(_ net.Conn, peer *net.TCPConn) error { return errors.Join(peer.SetLinger(0), peer.Close()) },
			syscall.ECONNRESET},
		{"deadline", func(local net.Conn, _ *net.TCPConn) error { return local.SetReadDeadline(time.Unix(1, 0)) },
			os.ErrDeadlineExceeded},
		{"close", func(local net.Conn, _ *net.TCPConn) error { return local.Close() }, net.ErrClosed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			local, peer := connect(t)
			if err := tt.cause(local, peer); err != nil {
				t.Fatal(err)
			}
			read, passed, err := readLocked(local, 4)
			if read+passed != "" || !errors.Is(err, tt.want) {
				t.Errorf("got %q, %q passed and error %v, want %v alone", read, passed, err, tt.want)
			}
			wantOp := "read"
			if errors.Is(tt.want, io.EOF) {
				wantOp = "" // net/http compares with io.EOF itself
			}
			if op := operationOf(err); op != wantOp {
				t.Errorf("got error %#v of the operation %q, want the operation %q", err, op, wantOp)
			}
		})
	}
}

// operationOf returns the operation of a *net.OpError, and an empty string for other errors.
func operationOf(err error) string {
	if opErr, ok := errors.AsType[*net.OpError](err); ok {
		return opErr.Op
	}
	return ""
}

// Bytes must be passed on once where reads fail transiently, and where the connection is not a socket.
func TestReadLockedReadsEverything(t *testing.T) {
	for _, cause := range transientCauses {
		t.Run(cause.Error(), func(t *testing.T) {
			local, peer := connect(t)
			send(t, peer, "text")
			socket.FailSyscalls(t, 3, cause)
			expectText(t, local)
		})
	}
	t.Run("pipe", func(t *testing.T) {
		local, peer := net.Pipe()
		go func() { _, _ = io.WriteString(peer, "text") }() // a failure shows as missing bytes
		expectText(t, local)
	})
}

// expectText verifies that the next bytes of a connection are "text", and are passed on.
func expectText(t *testing.T, conn net.Conn) {
	t.Helper()
	if read, passed, err := readLocked(conn, 8); read != "text" || passed != read || err != nil {
		t.Errorf("got %q, %q passed and error %v, want the text", read, passed, err)
	}
}
