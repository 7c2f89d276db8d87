package socket

import (
	"context"
	"errors"
	"os"
	"syscall"
)

// IsTimeout reports whether err means that a deadline of this process has expired. Unlike the Timeout method of
// net.Error it is false for ETIMEDOUT, by which the system reports a broken connection.
func IsTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// isLocalFailure reports whether the cause of a failed dial may lie with this machine or its network. Among the errors
// of the system, only ECONNREFUSED and ECONNRESET certainly come from the peer; ETIMEDOUT may have a local cause. A
// dial that exceeds a deadline of this process has no system error; it means that the peer did not respond, and is no
// local failure.
func isLocalFailure(err error) bool {
	var cause syscall.Errno
	if !errors.As(err, &cause) {
		return false
	}
	return cause != syscall.ECONNREFUSED && cause != syscall.ECONNRESET
}

// isTransient reports whether a system call on a connection was interrupted, or failed for a lack of resources that may
// be temporary. The connection itself is unaffected.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
