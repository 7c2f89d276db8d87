// Package retry retries operations after transient failures, with exponential backoff. The agent uses it at startup.
package retry

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// initialBackoff is the backoff after the first failure. Each further failure multiplies the backoff by
	// backoffMultiplier, up to maxBackoff.
	initialBackoff    = 5 * time.Millisecond
	backoffMultiplier = 2
	maxBackoff        = 200 * time.Millisecond
)

// permanentErrnos lists the system call errors that are not retried: they mean a wrong name, address or permission,
// which a retry does not change.
var permanentErrnos = []syscall.Errno{syscall.ENOENT, syscall.ENOTDIR, syscall.EISDIR, syscall.ELOOP,
	syscall.ENAMETOOLONG, syscall.EACCES, syscall.EPERM, syscall.EINVAL, syscall.EAFNOSUPPORT, syscall.EPROTONOSUPPORT}

// IsTransient reports whether err is a system call error that is not in permanentErrnos.
func IsTransient(err error) bool {
	var cause syscall.Errno
	return errors.As(err, &cause) && !slices.Contains(permanentErrnos, cause)
}

// Policy determines which failures are retried, and for how long.
type Policy struct {
	MaxElapsedTime time.Duration    // no retry starts later than this after the first call
	IsTransient    func(error) bool // reports whether an error may be retried
	OnRetry        func(error)      // called with the error before each retry
}

// Do calls operation until it succeeds or the policy allows no further retry. It returns the result of the last call
// unchanged.
func Do[T any](policy Policy, operation func() (T, error)) (T, error) {
	deadline := time.Now().Add(policy.MaxElapsedTime)
	for backoff := initialBackoff; ; backoff = min(backoffMultiplier*backoff, maxBackoff) {
		value, err := operation()
		if err == nil || !policy.IsTransient(err) || time.Now().Add(backoff).After(deadline) {
			return value, err
		}
		policy.OnRetry(err)
		time.Sleep(backoff)
	}
}
