// Package socket extends net for the TCP sockets of the agent: dials and connections that retry transient failures, and
// functions that examine the receive side of a socket without reading from it.
package socket

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The system calls that examine a socket or read from it; tests replace them.
var (
	recvfrom    = syscall.Recvfrom
	read        = syscall.Read
	poll        = unix.Poll
	ioctlGetInt = unix.IoctlGetInt
)

// ReceiveState is the state of a socket's receive side.
type ReceiveState uint8

// The states of the receive side.
const (
	Closed   ReceiveState = iota // no more bytes will arrive: closed by either side, failed, or not a socket
	Empty                        // open, with no bytes to read
	Readable                     // has bytes to read; the peer may have closed its sending side after them
	Unknown                      // the system call failed transiently on each retry
)

// Peek returns the state of a socket's receive side, without blocking and without reading bytes.
func Peek(conn net.Conn) ReceiveState {
	raw, err := rawConn(conn)
	if err != nil {
		return Closed
	}
	call := getPeekCall()
	defer peekCalls.Put(call)
	call.buffer = call.firstByte[:]
	if raw.Control(call.run) != nil {
		return Closed
	}
	return receiveStateOf(call.n, call.err)
}

// PeekBytes copies the next bytes of a socket to a buffer, without blocking and without reading them. It returns their
// number, which is 0 if there are none or if that is unknown.
func PeekBytes(conn net.Conn, buffer []byte) int {
	raw, err := rawConn(conn)
	if err != nil {
		return 0
	}
	call := getPeekCall()
	defer peekCalls.Put(call)
	call.buffer = buffer
	controlErr := raw.Control(call.run)
	call.buffer = nil // drops the reference to the caller's memory
	if call.err != nil || controlErr != nil {
		return 0
	}
	return call.n
}

// peekCalls holds unused peekCalls, so that Peek and PeekBytes, which run several times for each request, allocate
// none.
var peekCalls sync.Pool

// peekCall is one call of peekBytes, with its result.
type peekCall struct {
	run       func(fd uintptr)
	firstByte [1]byte // the buffer of Peek
	buffer    []byte
	n         int
	err       error
}

func getPeekCall() *peekCall {
	if call, ok := peekCalls.Get().(*peekCall); ok {
		return call
	}
	call := &peekCall{}
	call.run = func(fd uintptr) { call.n, call.err = peekBytes(fd, call.buffer) }
	return call
}

// HasUnread reports whether a connection has bytes to read. It also reports true if that is unknown, so that no request
// is overlooked.
func HasUnread(conn net.Conn) bool {
	state := Peek(conn)
	return state == Readable || state == Unknown
}

// WaitForReadable blocks until a socket has bytes to read, or is closed, or can't be examined.
func WaitForReadable(conn net.Conn) error {
	raw, err := rawConn(conn)
	if err != nil {
		return err
	}
	var buffer [1]byte
	return raw.Read(func(fd uintptr) bool { return receiveStateOf(peekBytes(fd, buffer[:])) != Empty })
}

// PeerState describes a peer that sends a request or waits for its response.
type PeerState struct {
	Closed bool // the peer has closed its sending side or the whole connection, or the connection has failed
	Unread int  // bytes after its request that wait in the socket
}

// Peer returns the state of the peer. It also detects a close that follows unread bytes, as long as the system holds
// all of these (EnsureReceiveBuffer).
func Peer(conn net.Conn) PeerState {
	raw, err := rawConn(conn)
	if err != nil {
		return PeerState{}
	}
	var state PeerState
	err = raw.Control(func(fd uintptr) {
		// In this order no byte is missed: none arrives after the close.
		state.Closed = isHungUp(fd)
		state.Unread = queuedBytes(fd, unix.TIOCINQ)
	})
	if err != nil { // closed by this side: no response can be sent
		state.Closed = true
	}
	return state
}

// Unread returns the number of bytes that wait in a socket; 0 if that is unknown.
func Unread(conn net.Conn) int {
	raw, err := rawConn(conn)
	if err != nil {
		return 0
	}
	unread := 0
	_ = raw.Control(func(fd uintptr) { unread = queuedBytes(fd, unix.TIOCINQ) }) // fails on a closed connection
	return unread
}

// IsBroken reports whether a connection was reset, or closed in both directions, so that nothing can be sent on it.
func IsBroken(conn net.Conn) bool {
	raw, err := rawConn(conn)
	if err != nil {
		return false
	}
	isBroken := true
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection
		revents, pollErr := pollEvents(fd, 0)
		isBroken = pollErr == nil && revents&(unix.POLLERR|unix.POLLHUP) != 0
	})
	return isBroken
}

// UnknownPending is the result of PendingCount if the number is unknown and not 0, or if the system can't tell.
const UnknownPending = -1

// PendingCount returns the number of connections in the accept queue of a listener, or UnknownPending.
func PendingCount(listener net.Listener) int {
	raw, err := rawConn(listener)
	if err != nil {
		return UnknownPending
	}
	isPending := true
	controlErr := raw.Control(func(fd uintptr) {
		if revents, pollErr := pollEvents(fd, unix.POLLIN); pollErr == nil {
			isPending = revents != 0
		}
	})
	if controlErr == nil && !isPending {
		return 0
	}
	info, err := tcpInfo(listener)
	if err != nil || info.Unacked == 0 {
		return UnknownPending
	}
	return int(info.Unacked) // of a listener: the length of the accept queue
}

// WaitForQueued blocks until more than the given number of bytes wait in a socket, the peer has closed its side, or the
// read deadline has passed.
func WaitForQueued(conn net.Conn, moreThan int) {
	raw, err := rawConn(conn)
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // the caller examines the state
		return queuedBytes(fd, unix.TIOCINQ) > moreThan || isHungUp(fd)
	})
}

// EnsureReceiveBuffer makes the system hold at least the given number of received bytes that are not read, if it
// supports that.
func EnsureReceiveBuffer(conn net.Conn, bytes int) error {
	raw, err := rawConn(conn)
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		// Raising the low-water mark grows the buffer, and lowering it does not shrink it again.
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, bytes); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, 1)
		}
	})
	return errors.Join(controlErr, err)
}

// HasUnacknowledged reports whether the peer's machine has not acknowledged all bytes that were written to a
// connection. A response acknowledges its request, so that bytes which arrive before are no response to it.
// HasUnacknowledged reports false if that is unknown.
func HasUnacknowledged(conn net.Conn) bool {
	raw, err := rawConn(conn)
	if err != nil {
		return false
	}
	unacknowledged := 0
	err = raw.Control(func(fd uintptr) { unacknowledged = queuedBytes(fd, unix.TIOCOUTQ) })
	return err == nil && unacknowledged > 0
}

// maxTick is the maximum resolution of the system's clock of received bytes.
const maxTick = 10 * time.Millisecond

// SinceReceived returns how long ago at least the last bytes were received on a connection. It is less than the real
// time by up to two ticks of the system, and 0 if the time is unknown.
func SinceReceived(conn net.Conn) time.Duration {
	info, err := tcpInfo(conn)
	if err != nil {
		return 0
	}
	return max(0, time.Duration(info.Last_data_recv)*time.Millisecond-maxTick)
}

// tcpInfo returns the system's information on a TCP socket.
func tcpInfo(socket any) (info *unix.TCPInfo, err error) {
	raw, err := rawConn(socket)
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(controlErr, err)
}

// rawConn returns the raw connection of a socket. The error wraps errors.ErrUnsupported if conn is not a socket.
func rawConn(conn any) (syscall.RawConn, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("get raw connection of %T: %w", conn, errors.ErrUnsupported)
	}
	return syscallConn.SyscallConn()
}

// receiveStateOf returns the state of the receive side from the result of peekBytes with a buffer that is not empty.
func receiveStateOf(n int, err error) ReceiveState {
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

// peekBytes implements PeekBytes for a file descriptor.
func peekBytes(fd uintptr, buffer []byte) (n int, err error) {
	return retryTransient(func() (int, error) {
		n, _, err := recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
}

// isHungUp reports whether the peer has closed its sending side or the connection has failed.
func isHungUp(fd uintptr) bool {
	revents, err := pollEvents(fd, unix.POLLRDHUP)
	return err == nil && revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// pollEvents returns the events of a file descriptor without waiting for them.
func pollEvents(fd uintptr, events int16) (revents int16, err error) {
	polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := retryTransient(func() (int, error) { return poll(polled, 0) })
	if err != nil || n == 0 {
		return 0, err
	}
	return polled[0].Revents, nil
}

// queuedBytes returns the number of bytes in a queue of a socket; 0 if the system call fails. The request TIOCINQ
// selects the bytes that can be read, TIOCOUTQ the written bytes that are not acknowledged.
func queuedBytes(fd uintptr, request uint) int {
	n, err := retryTransient(func() (int, error) { return ioctlGetInt(int(fd), request) })
	if err != nil {
		return 0
	}
	return n
}

// retryTransient makes a non-blocking system call. It retries the call immediately after a transient failure, up to
// maxRetries calls.
func retryTransient(call func() (int, error)) (n int, err error) {
	for range maxRetries {
		if n, err = call(); !isTransient(err) {
			break
		}
	}
	return n, err
}
