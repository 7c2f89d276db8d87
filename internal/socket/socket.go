// Package socket looks at the receive side of TCP sockets without reading from them.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnread is how much may wait behind an open request.
const maxUnread = 16 << 10

// Peek peeks at a socket without waiting. quiet: nothing has come and the other side has not closed it.
// bytes: something is there to be read.
func Peek(c net.Conn) (quiet, bytes bool) {
	raw, err := rawConn(c)
	if err != nil {
		return false, false
	}
	if raw.Control(func(fd uintptr) { quiet, bytes = peek(fd) }) != nil {
		return false, false
	}
	return quiet, bytes
}

// WaitReadable waits until a socket has bytes to be read, or has ended.
func WaitReadable(c net.Conn) error {
	raw, err := rawConn(c)
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		quiet, _ := peek(fd)
		return !quiet
	})
}

func rawConn(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

func peek(fd uintptr) (quiet, bytes bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN, err == nil && n > 0
}

// PeerClosed reports whether a client has left, although bytes that it sent before may hide its end from whoever
// reads, and whether more waits to be read than follows an open request of a client that means to wait: behind
// that, no end would be seen.
func PeerClosed(c net.Conn) (left, flooded bool) {
	raw, err := rawConn(c)
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		left = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		waiting, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		flooded = err == nil && waiting > maxUnread
	})
	return left || err != nil, flooded // closed by this side, nobody can be answered on it
}

// HasUnread reports whether bytes wait to be read.
func HasUnread(c net.Conn) bool {
	_, bytes := Peek(c)
	return bytes
}
