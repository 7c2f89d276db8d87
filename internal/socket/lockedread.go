package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// ReadLocked reads from a connection like Conn.Read, and passes the bytes to onRead before it returns. It holds a lock
// from each read of the socket until onRead has returned, but not while it waits for bytes. Whoever holds the lock thus
// finds each received byte either unread in the socket or passed to onRead.
func ReadLocked(conn net.Conn, p []byte, lock sync.Locker, onRead func([]byte)) (int, error) {
	raw, err := rawConn(conn)
	if err != nil { // not a socket, so that nobody can examine its unread bytes
		return readAndPass(conn, p, lock, onRead)
	}
	reader := lockedReader{raw: raw, buffer: p, lock: lock, onRead: onRead}
	n, err := retryRead(reader.read)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &net.OpError{Op: "read", Net: conn.LocalAddr().Network(), Source: conn.LocalAddr(),
			Addr: conn.RemoteAddr(), Err: err}
	}
	return n, err
}

// readAndPass is ReadLocked for a connection that is not a socket. It holds the lock only while it calls onRead.
func readAndPass(conn net.Conn, p []byte, lock sync.Locker, onRead func([]byte)) (int, error) {
	n, err := conn.Read(p)
	lock.Lock()
	defer lock.Unlock()
	onRead(p[:n])
	return n, err
}

// lockedReader is one call of ReadLocked on a socket.
type lockedReader struct {
	raw    syscall.RawConn
	buffer []byte
	lock   sync.Locker
	onRead func([]byte)
}

// read waits until the socket has bytes, has ended or has failed, and reads from it.
func (r *lockedReader) read() (n int, err error) {
	waitErr := r.raw.Read(func(fd uintptr) (isDone bool) {
		n, err = r.tryRead(fd)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if waitErr != nil { // closed by this side, or the read deadline has passed
		return 0, unwrapOpError(waitErr)
	}
	return n, err
}

// tryRead reads from the socket without waiting, and passes the bytes on.
func (r *lockedReader) tryRead(fd uintptr) (int, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	n, err := retryTransient(func() (int, error) { return read(int(fd), r.buffer) })
	switch {
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(r.buffer) > 0:
		return 0, io.EOF
	}
	r.onRead(r.buffer[:n])
	return n, nil
}

// unwrapOpError returns the cause of a *net.OpError, and other errors unchanged.
func unwrapOpError(err error) error {
	if opErr, ok := errors.AsType[*net.OpError](err); ok {
		return opErr.Err
	}
	return err
}
