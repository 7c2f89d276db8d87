// Package retry repeats operations that fail transiently, with exponential backoff. The agent uses it for its start.
package retry

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// initialBackoff is the wait after the first failure. Each wait is retryBackoffFactor times the one before, up
	// to maxRetryBackoff.
	initialBackoff    = 5 * time.Millisecond
	backoffMultiplier = 2
	maxBackoff        = 200 * time.Millisecond
)

// permanentErrnos are the errors of system calls that do not pass by themselves: a name or a permission is wrong.
var permanentErrnos = []syscall.Errno{syscall.ENOENT, syscall.ENOTDIR, syscall.EISDIR, syscall.ELOOP, syscall.ENAMETOOLONG,
	syscall.EACCES, syscall.EPERM, syscall.EINVAL, syscall.EAFNOSUPPORT, syscall.EPROTONOSUPPORT}

// IsTransient reports whether an error comes from a system call and may pass by itself.
func IsTransient(err error) bool {
	var cause syscall.Errno
	return errors.As(err, &cause) && !slices.Contains(permanentErrnos, cause)
}

// Policy says which failures are retried.
type Policy struct {
	MaxElapsedTime time.Duration    // after which no retry begins
	IsTransient    func(error) bool // reports whether an error may pass by itself
	OnRetry        func(error)      // is called with each error that is retried
}

// Do calls operation until it succeeds or the policy allows no retry. It returns the last result as it is.
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
