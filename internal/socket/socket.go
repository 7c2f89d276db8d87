// Package socket has what the agent needs of TCP sockets beyond net: dials and connections that withstand transient
// failures, and ways to examine the receive side of a socket without reading from it.
package socket

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The system calls that examine a socket; tests replace them.
var (
	recvfrom    = syscall.Recvfrom
	poll        = unix.Poll
	ioctlGetInt = unix.IoctlGetInt
)

// maxUnreadBytes is how many bytes a peer may send behind an open request before it counts as flooding.
const maxUnreadBytes = 16 << 10

// ReceiveState is what the receive side of a socket holds.
type ReceiveState uint8

// The states of a receive side.
const (
	Closed   ReceiveState = iota // nothing will come: either side has closed it, or it failed, or it is no socket
	Empty                        // open, with nothing to read
	Readable                     // bytes wait to be read; the other side may have closed it behind them
	Unknown                      // the system call fails transiently, however often it is repeated
)

// Peek examines a socket without waiting.
func Peek(conn net.Conn) ReceiveState {
	raw, err := rawConn(conn)
	if err != nil {
		return Closed
	}
	state := Unknown
	if raw.Control(func(fd uintptr) { state = peek(fd) }) != nil {
		return Closed
	}
	return state
}

// HasUnread reports whether bytes wait to be read, or may wait: a request must not be overlooked.
func HasUnread(conn net.Conn) bool {
	state := Peek(conn)
	return state == Readable || state == Unknown
}

// WaitForReadable waits until a socket may have bytes to be read, or has ended.
func WaitForReadable(conn net.Conn) error {
	raw, err := rawConn(conn)
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool { return peek(fd) != Empty })
}

// PeerState is what a socket shows of the other side while that waits for a response.
type PeerState struct {
	Closed  bool // it has closed the connection or at least its sending side, or the connection has failed
	Flooded bool // it has sent more than maxUnread behind its request
}

// IsGone reports whether the other side gets no answer any more.
func (s PeerState) IsGone() bool { return s.Closed || s.Flooded }

// Peer examines the other side of a socket. It sees a close behind unread bytes too.
func Peer(conn net.Conn) PeerState {
	raw, err := rawConn(conn)
	if err != nil {
		return PeerState{}
	}
	var state PeerState
	err = raw.Control(func(fd uintptr) {
		state = PeerState{Closed: isHungUp(fd), Flooded: unreadBytes(fd) > maxUnreadBytes}
	})
	if err != nil { // closed by this side: no answer can be sent on it
		state.Closed = true
	}
	return state
}

// rawConn returns the raw connection of a socket, or ErrUnsupported if conn is none.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("raw connection of a %T: %w", conn, errors.ErrUnsupported)
	}
	return syscallConn.SyscallConn()
}

// peek examines the receive side of a socket.
func peek(fd uintptr) ReceiveState {
	var buffer [1]byte
	n, err := retryTransient(func() (int, error) {
		n, _, err := recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return Empty
	case isTransient(err):
		return Unknown
	case err == nil && n > 0:
		return Readable
	}
	return Closed
}

// isHungUp reports whether the other side has closed its sending side or the connection has failed.
func isHungUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := retryTransient(func() (int, error) { return poll(polled, 0) })
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// unreadBytes is the number of bytes that wait to be read; 0 if the system call fails.
func unreadBytes(fd uintptr) int {
	n, err := retryTransient(func() (int, error) { return ioctlGetInt(int(fd), unix.TIOCINQ) })
	if err != nil {
		return 0
	}
	return n
}

// retryTransient makes a system call that does not wait, and repeats it at once while it fails transiently.
func retryTransient(call func() (int, error)) (n int, err error) {
	for range maxRetries {
		if n, err = call(); !isTransient(err) {
			break
		}
	}
	return n, err
}
