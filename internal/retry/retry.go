// Package retry repeats what fails for a moment only, at the start of the agent.
package retry

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// firstPause is the wait after the first failure; it doubles up to maxPause.
	firstPause = 5 * time.Millisecond
	maxPause   = 200 * time.Millisecond
)

// lasting are the errors of system calls that do not pass by themselves: a name or a right is wrong.
var lasting = []syscall.Errno{syscall.ENOENT, syscall.ENOTDIR, syscall.EISDIR, syscall.ELOOP, syscall.ENAMETOOLONG,
	syscall.EACCES, syscall.EPERM, syscall.EINVAL, syscall.EAFNOSUPPORT, syscall.EPROTONOSUPPORT}

// MayPass reports whether an error comes from a system call and may be over in a moment.
func MayPass(err error) bool {
	var cause syscall.Errno
	return errors.As(err, &cause) && !slices.Contains(lasting, cause)
}

// Policy says which failures are followed by another try.
type Policy struct {
	Patience  time.Duration    // after which no further try begins
	MayPass   func(error) bool // whether an error may be over in a moment
	OnFailure func(error)      // is told each error that is followed by another try
}

// Do calls a function until it succeeds, or until the policy allows no further try.
func Do[T any](policy Policy, function func() (T, error)) (T, error) {
	end := time.Now().Add(policy.Patience)
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		value, err := function()
		if err == nil || !policy.MayPass(err) || time.Now().Add(pause).After(end) {
			return value, err
		}
		policy.OnFailure(err)
		time.Sleep(pause)
	}
}
