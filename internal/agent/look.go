package agent

import (
	"errors"
	"net"
	"syscall"
)

// look peeks at a socket without waiting. quiet: nothing has come and the other side has not closed it.
// bytes: something is there to be read.
func look(c net.Conn) (quiet, bytes bool) {
	raw, err := rawConn(c)
	if err != nil {
		return false, false
	}
	if raw.Control(func(fd uintptr) { quiet, bytes = peek(fd) }) != nil {
		return false, false
	}
	return quiet, bytes
}

// await waits until a socket has bytes to be read, or has ended.
func await(c net.Conn) error {
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

// pending reports whether bytes wait to be read.
func pending(c net.Conn) bool {
	_, bytes := look(c)
	return bytes
}
