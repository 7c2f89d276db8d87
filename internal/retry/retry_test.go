package retry_test

import (
	"errors"
	"io/fs"
	"syscall"
	"testing"
	"time"

	"ashshunt/internal/retry"
	"ashshunt/internal/testutil"
)

func TestDo(t *testing.T) {
	for _, test := range []struct {
		name      string
		cause     error
		failures  int // number of calls that fail before one succeeds, if that many calls are made
		wantCalls int
	}{
		{"no failure", nil, 0, 1},
		{"file table full", syscall.ENFILE, 4, 5},
		{"I/O error", syscall.EIO, 2, 3},
		{"interrupted", syscall.EINTR, 3, 4},
		{"no such file", syscall.ENOENT, 4, 1},
		{"permission denied", syscall.EACCES, 4, 1},
		{"not a system call error", errors.New("invalid JSON"), 4, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			calls, retries := 0, 0
			policy := retry.Policy{
				MaxElapsedTime: testutil.Timeout,
				IsTransient:    retry.IsTransient,
				OnRetry:        func(error) { retries++ },
			}
			_, err := retry.Do(policy, func() (int, error) {
				if calls++; calls <= test.failures {
					return 0, &fs.PathError{Op: "open", Path: "config.json", Err: test.cause}
				}
				return calls, nil
			})
			if calls != test.wantCalls || retries != test.wantCalls-1 {
				t.Errorf("got %d calls and %d retries reported, want %d calls and one fewer retry",
					calls, retries, test.wantCalls)
			}
			if wantError := test.failures >= test.wantCalls; (err != nil) != wantError {
				t.Errorf("got error %v, want an error only if the last call failed", err)
			}
		})
	}
}

// Do must return the error of a persistent failure once the next retry would start after MaxElapsedTime.
func TestDoGivesUp(t *testing.T) {
	policy := retry.Policy{
		MaxElapsedTime: 20 * time.Millisecond,
		IsTransient:    retry.IsTransient,
		OnRetry:        func(error) {},
	}
	_, err := retry.Do(policy, func() (int, error) { return 0, syscall.ENFILE })
	if !errors.Is(err, syscall.ENFILE) {
		t.Errorf("got error %v, want ENFILE", err)
	}
}
