package upstream

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

const rejection = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"

// A rejection that arrives before the request has reached the endpoint's machine proves nothing about the request.
func TestResponseBeforeRequestIsNoResponse(t *testing.T) {
	smallBuffers := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
		})
		return errors.Join(err, controlErr)
	}}
	listener, err := smallBuffers.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 1)) // the rest of the request does not fit into the receive buffer
		write(conn, rejection)
		<-t.Context().Done()
	}()
	client, request := newTestClient(t, listener.Addr().String()), newUnsafeRequest()
	request.Body = []byte(strings.Repeat("x", 64<<10))
	result, response := client.Attempt(context.Background(), request, "s0", newOptions(testutil.Timeout))
	if result != balancer.Reset || !errors.Is(response.Err, errUnrequestedBytes) {
		t.Errorf("got result %v, error %v, want a reset with errUnrequestedBytes", result, response.Err)
	}
	if open := client.OpenConnections(); open != 0 {
		t.Errorf("got %d open connections, want 0", open)
	}
}

// Bytes on a new connection, before its first request, are no response to that request.
func TestBytesBeforeFirstRequest(t *testing.T) {
	listener := testutil.Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			write(conn, rejection)
		}
	}()
	client, request := newTestClient(t, listener.Addr().String()), newUnsafeRequest()
	var dialed syscall.RawConn
	client.pool.dialer.Control = func(_, _ string, raw syscall.RawConn) error { dialed = raw; return nil }
	request.IsClientGone = func() bool { // called right before the request is sent
		testutil.WaitFor(t, "the rejection", func() bool { return hasUnread(dialed) })
		return false
	}
	result, response := client.Attempt(context.Background(), request, "s0", newOptions(testutil.Timeout))
	if result != balancer.ConnectFailed || !errors.Is(response.Err, errUnrequestedBytes) {
		t.Errorf("got result %v, error %v, want a failed connect with errUnrequestedBytes", result, response.Err)
	}
	if totals := client.Totals(); totals.Exchanges != 0 || totals.UnrequestedBytes != 1 {
		t.Errorf("got totals %+v, want no request sent and unrequested bytes once", totals)
	}
}

// hasUnread reports whether a socket has bytes to read.
func hasUnread(raw syscall.RawConn) (readable bool) {
	_ = raw.Control(func(fd uintptr) {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = n > 0
	})
	return readable
}
