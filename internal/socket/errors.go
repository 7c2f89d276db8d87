package socket

import (
	"context"
	"errors"
	"os"
	"syscall"
)

// IsTimeout reports whether an error says that a deadline of this process has passed. net.Error's Timeout is true of
// ETIMEDOUT as well, by which the system reports a broken connection.
func IsTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// isLocalFailure reports whether an error of a dial may have its cause on this machine or its network. Of the system's
// errors only a refusal and a reset certainly come from the other side; ETIMEDOUT does not. A dial that ran into a
// deadline of this process carries no error of the system: it shows that the other side is silent.
func isLocalFailure(err error) bool {
	var cause syscall.Errno
	if !errors.As(err, &cause) {
		return false
	}
	return cause != syscall.ECONNREFUSED && cause != syscall.ECONNRESET
}

// isTransient reports whether a call on a connection failed by an interruption, or by a lack of resources that may pass
// by itself. The connection is as good as before.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
