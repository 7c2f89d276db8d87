package socket

import (
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// initialRetryDelay is the wait before a read or a write is repeated; it doubles with each repeat.
	initialRetryDelay = time.Millisecond
	// maxRetries is how many calls in a row a read or an examination makes at most, and how often a write without
	// progress is repeated after its first call. The waits take about a quarter of a second in all.
	maxRetries = 8
)

// Conn is a TCP connection whose reads and writes are repeated if they fail transiently (see isTransient): the
// connection itself is healthy then, and to close it would lose the request on it.
type Conn struct{ net.Conn }

// NewConn wraps a connection.
func NewConn(conn net.Conn) Conn { return Conn{conn} }

// Read implements net.Conn.
func (c Conn) Read(p []byte) (n int, err error) {
	delay := initialRetryDelay
	for range maxRetries {
		if n, err = c.Conn.Read(p); n > 0 || !isTransient(err) {
			return n, err
		}
		time.Sleep(delay)
		delay *= 2
	}
	return n, err
}

// Write implements net.Conn. It continues after a write that was cut short, unless that has failed for good.
func (c Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := c.writeSome(p[written:])
		written += n
		switch {
		case written == len(p):
			return written, nil
		case n > 0 && (err == nil || isTransient(err)): // the rest follows
		case err == nil:
			return written, io.ErrShortWrite
		default:
			return written, err
		}
	}
	return written, nil
}

// writeSome writes until at least one byte is written, and repeats writes that fail transiently without that.
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

// SyscallConn implements syscall.Conn.
func (c Conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// CloseWrite closes the sending side of a connection; the other side sees the end after all that was written. A
// connection that can't do so, or has ended, stays as it is.
func CloseWrite(conn net.Conn) {
	if wrapper, ok := conn.(Conn); ok {
		conn = wrapper.Conn
	}
	if writer, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = writer.CloseWrite()
	}
}
