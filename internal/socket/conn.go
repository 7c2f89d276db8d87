package socket

import (
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// initialRepeatDelay is the wait before a read or a write is repeated; it doubles with each repeat.
	initialRepeatDelay = time.Millisecond
	// maxRepeats is how often in a row a read, a write or an examination is repeated. Those that wait take about a
	// quarter of a second in all.
	maxRepeats = 8
)

// Conn is a TCP connection whose reads and writes are repeated if they fail by a transient lack of resources: the
// connection itself is healthy then, and to close it would lose the request on it.
type Conn struct{ net.Conn }

// NewConn wraps a connection.
func NewConn(conn net.Conn) Conn { return Conn{conn} }

// Read implements net.Conn.
func (c Conn) Read(p []byte) (n int, err error) {
	delay := initialRepeatDelay
	for range maxRepeats {
		if n, err = c.Conn.Read(p); n > 0 || !isTransient(err) {
			return n, err
		}
		time.Sleep(delay)
		delay *= 2
	}
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(p []byte) (written int, err error) {
	delay, repeats := initialRepeatDelay, 0
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case written == len(p):
			return written, nil
		case n > 0 && (err == nil || isTransient(err)):
			delay, repeats = initialRepeatDelay, 0
			continue
		case err == nil:
			return written, io.ErrShortWrite
		case !isTransient(err) || repeats == maxRepeats:
			return written, err
		}
		time.Sleep(delay)
		delay *= 2
		repeats++
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
