package socket

import (
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// firstRepeatPause is the wait before a read, a write or an examination is repeated; it doubles with each repeat.
	firstRepeatPause = time.Millisecond
	// maxRepeats is how often in a row one is repeated: for about a quarter of a second in all.
	maxRepeats = 8
)

// Conn is a TCP connection whose reads and writes are repeated if they fail by a lack of resources that may be over in a
// moment: the connection itself is in good health then, and to close it would lose the request on it.
type Conn struct{ net.Conn }

// NewConn returns a connection on top of another one.
func NewConn(conn net.Conn) Conn { return Conn{conn} }

// Read implements net.Conn.
func (c Conn) Read(p []byte) (n int, err error) {
	pause := firstRepeatPause
	for range maxRepeats {
		if n, err = c.Conn.Read(p); n > 0 || !isTransient(err) {
			return n, err
		}
		time.Sleep(pause)
		pause *= 2
	}
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(p []byte) (written int, err error) {
	pause, repeats := firstRepeatPause, 0
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case written == len(p):
			return written, nil
		case n > 0 && (err == nil || isTransient(err)):
			pause, repeats = firstRepeatPause, 0
			continue
		case err == nil:
			return written, io.ErrShortWrite
		case !isTransient(err) || repeats == maxRepeats:
			return written, err
		}
		time.Sleep(pause)
		pause *= 2
		repeats++
	}
}

// SyscallConn implements syscall.Conn.
func (c Conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// CloseWrite ends the sending on a connection; the other side sees its end behind all that was written. A connection
// that can't do so, or has ended, stays as it is.
func CloseWrite(conn net.Conn) {
	if wrapper, ok := conn.(Conn); ok {
		conn = wrapper.Conn
	}
	if writer, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = writer.CloseWrite()
	}
}
