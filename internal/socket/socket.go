// Package socket has what the agent needs of TCP sockets beyond net: dials and connections that withstand failures of a
// moment, and looks at the receive side that read nothing.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The system calls that examine a socket; tests have them fail.
var (
	recvfrom    = syscall.Recvfrom
	poll        = unix.Poll
	ioctlGetInt = unix.IoctlGetInt
)

// maxUnread is how many bytes may wait behind an open request.
const maxUnread = 16 << 10

// ReceiveState is what the receive side of a socket holds.
type ReceiveState uint8

// The states of a receive side.
const (
	Ended    ReceiveState = iota // either side has closed it, or it failed
	Quiet                        // open, with nothing to read
	Readable                     // bytes wait to be read
	Unknown                      // the system does not tell at present
)

// Peek examines a socket without waiting.
func Peek(conn net.Conn) ReceiveState {
	raw, err := rawConn(conn)
	if err != nil {
		return Ended
	}
	state := Unknown
	if raw.Control(func(fd uintptr) { state = peek(fd) }) != nil {
		return Ended
	}
	return state
}

// HasUnread reports whether bytes wait to be read, or may wait: a request must not be taken for nothing.
func HasUnread(conn net.Conn) bool {
	state := Peek(conn)
	return state == Readable || state == Unknown
}

// WaitReadable waits until a socket may have bytes to be read, or has ended.
func WaitReadable(conn net.Conn) error {
	raw, err := rawConn(conn)
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool { return peek(fd) != Quiet })
}

// PeerState is what a socket tells about the other side while that waits for a response.
type PeerState struct {
	Closed  bool // it has closed the connection, or at least its sending
	Flooded bool // it has sent so much behind its request that a close behind that would not be seen
}

// Gone reports whether the other side is not to be answered any more.
func (s PeerState) Gone() bool { return s.Closed || s.Flooded }

// Peer examines the other side of a socket. It sees a close also behind bytes that nobody has read yet.
func Peer(conn net.Conn) PeerState {
	raw, err := rawConn(conn)
	if err != nil {
		return PeerState{}
	}
	var state PeerState
	err = raw.Control(func(fd uintptr) {
		state = PeerState{Closed: hungUp(fd), Flooded: unread(fd) > maxUnread}
	})
	if err != nil { // closed by this side: nobody can be answered on it
		state.Closed = true
	}
	return state
}

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return syscallConn.SyscallConn()
}

func peek(fd uintptr) ReceiveState {
	var buffer [1]byte
	n, err := repeatTransient(func() (int, error) {
		n, _, err := recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
	switch {
	case err == syscall.EAGAIN:
		return Quiet
	case isTransient(err):
		return Unknown
	case err == nil && n > 0:
		return Readable
	}
	return Ended
}

// hungUp reports whether the other side has ended its sending or the connection has failed.
func hungUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := repeatTransient(func() (int, error) { return poll(polled, 0) })
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// unread is the number of bytes that wait to be read; 0 if that is not known.
func unread(fd uintptr) int {
	n, err := repeatTransient(func() (int, error) { return ioctlGetInt(int(fd), unix.TIOCINQ) })
	if err != nil {
		return 0
	}
	return n
}

// repeatTransient makes a system call that does not wait, and makes it again at once while it fails for a moment.
func repeatTransient(call func() (int, error)) (n int, err error) {
	for range maxRepeats {
		if n, err = call(); !isTransient(err) {
			break
		}
	}
	return n, err
}
