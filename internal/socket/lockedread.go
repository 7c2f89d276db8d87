package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Receiver gets the bytes that ReadLocked reads.
type Receiver interface {
	sync.Locker
	// Receive gets bytes that were read. The lock is held.
	Receive(p []byte)
}

// ReadLocked reads from a connection like Conn.Read, and passes the bytes to a receiver before it returns. It holds the
// receiver's lock from each read of the socket until the bytes are passed on, but not while it waits for bytes. Whoever
// holds the lock thus finds each byte that has arrived either unread in the socket or passed on.
func ReadLocked(conn net.Conn, p []byte, receiver Receiver) (int, error) {
	raw, err := rawConn(conn)
	if err != nil { // not a socket, so that nobody can examine its unread bytes
		return readAndPass(conn, p, receiver)
	}
	call := getLockedRead()
	defer call.release()
	call.raw, call.buffer, call.receiver = raw, p, receiver
	n, err := retryRead(call.read)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &net.OpError{Op: "read", Net: conn.LocalAddr().Network(), Source: conn.LocalAddr(),
			Addr: conn.RemoteAddr(), Err: err}
	}
	return n, err
}

// readAndPass is ReadLocked for a connection that is not a socket. It holds the lock only while it passes the bytes on.
func readAndPass(conn net.Conn, p []byte, receiver Receiver) (int, error) {
	n, err := conn.Read(p)
	receiver.Lock()
	defer receiver.Unlock()
	receiver.Receive(p[:n])
	return n, err
}

// lockedReads holds unused lockedReads, so that ReadLocked allocates none.
var lockedReads sync.Pool

// lockedRead is one call of ReadLocked on a socket.
type lockedRead struct {
	read func() (int, error)   // waits until the socket has bytes, has ended or has failed, and reads from it
	try  func(fd uintptr) bool // reads without waiting, and reports whether that had a result

	raw      syscall.RawConn
	buffer   []byte
	receiver Receiver
	n        int
	err      error
}

func getLockedRead() *lockedRead {
	if call, ok := lockedReads.Get().(*lockedRead); ok {
		return call
	}
	call := &lockedRead{}
	call.read, call.try = call.waitAndRead, call.tryRead
	return call
}

// release makes the call available for others, without references to the connection.
func (r *lockedRead) release() {
	r.raw, r.buffer, r.receiver, r.n, r.err = nil, nil, nil, 0, nil
	lockedReads.Put(r)
}

func (r *lockedRead) waitAndRead() (int, error) {
	if err := r.raw.Read(r.try); err != nil { // closed by this side, or the read deadline has passed
		return 0, unwrapOpError(err)
	}
	return r.n, r.err
}

func (r *lockedRead) tryRead(fd uintptr) (hasResult bool) {
	r.receiver.Lock()
	defer r.receiver.Unlock()
	n, err := readAvailable(int(fd), r.buffer)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		r.n, r.err = 0, os.NewSyscallError("read", err)
	case n == 0 && len(r.buffer) > 0:
		r.n, r.err = 0, io.EOF
	default:
		r.n, r.err = n, nil
		r.receiver.Receive(r.buffer[:n])
	}
	return true
}

// readAvailable reads from a socket without waiting. It retries the call immediately after a transient failure.
func readAvailable(fd int, buffer []byte) (n int, err error) {
	for range maxRetries {
		if n, err = read(fd, buffer); !isTransient(err) {
			break
		}
	}
	return n, err
}

// unwrapOpError returns the cause of a *net.OpError, and other errors unchanged.
func unwrapOpError(err error) error {
	if opErr, ok := errors.AsType[*net.OpError](err); ok {
		return opErr.Err
	}
	return err
}
