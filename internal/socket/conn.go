package socket

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// initialRetryDelay is the delay before the first retry of a read or a write. It doubles with each further retry.
	initialRetryDelay = time.Millisecond
	// maxRetries bounds the consecutive calls of a read or of a system call that examines a socket, and the retries of
	// a write that makes no progress. The delays of a read or a write, 1 ms to 128 ms, add up to about a quarter of a
	// second.
	maxRetries = 8
)

// Conn is a TCP connection that retries reads and writes after transient failures (see isTransient). The connection is
// still healthy after such a failure, and closing it would lose the request on it.
type Conn struct {
	net.Conn
	raw syscall.RawConn // nil if the wrapped connection is not a socket
}

// NewConn wraps conn.
func NewConn(conn net.Conn) Conn {
	raw, err := rawConn(conn)
	if err != nil {
		raw = nil
	}
	return Conn{Conn: conn, raw: raw}
}

// Read implements net.Conn.
func (c Conn) Read(p []byte) (n int, err error) {
	return retryRead(func() (int, error) { return c.Conn.Read(p) })
}

// retryRead calls a function that reads, and retries it while it fails transiently without reading any byte.
func retryRead(read func() (int, error)) (n int, err error) {
	delay := initialRetryDelay
	for range maxRetries {
		if n, err = read(); n > 0 || !isTransient(err) {
			return n, err
		}
		time.Sleep(delay)
		delay *= 2
	}
	return n, err
}

// Write implements net.Conn. It continues after a partial write, unless that write failed permanently.
func (c Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := c.writeSome(p[written:])
		written += n
		switch {
		case written == len(p):
			return written, nil
		case n > 0 && (err == nil || isTransient(err)): // write the rest
		case err == nil:
			return written, io.ErrShortWrite
		default:
			return written, err
		}
	}
	return written, nil
}

// writeSome calls Write, and retries it while it fails transiently without writing any byte.
func (c Conn) writeSome(p []byte) (n int, err error) {
	delay := initialRetryDelay
	for retries := 0; ; retries++ {
		n, err = c.Conn.Write(p)
		if n > 0 || !isTransient(err) || retries == maxRetries {
			return n, err
		}
		time.Sleep(delay)
		delay *= 2
	}
}

// WriteNow writes p to a socket as far as the system takes it at once, whatever the write deadline. Errors are ignored.
func WriteNow(conn net.Conn, p []byte) {
	raw, err := rawConn(conn)
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection
		_, _ = retryTransient(func() (int, error) { return unix.Write(int(fd), p) }) // sockets of net do not block
	})
}

// SyscallConn implements syscall.Conn.
func (c Conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return rawConn(c.Conn) // the error says why there is none
	}
	return c.raw, nil
}

// CloseWrite closes the sending side of a connection; the peer reads EOF after all bytes written before. It has no
// effect on a connection that does not support this or is already closed.
func CloseWrite(conn net.Conn) {
	if wrapper, ok := conn.(Conn); ok {
		conn = wrapper.Conn
	}
	if writer, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = writer.CloseWrite()
	}
}
