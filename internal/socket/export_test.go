package socket

import (
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// FailSyscalls makes the next count calls of each system call that examines a socket fail with cause. The system calls
// are restored at the end of the test.
func FailSyscalls(t *testing.T, count int, cause error) {
	t.Helper()
	recvfromLeft, pollLeft, ioctlLeft := count, count, count
	fails := func(left *int) bool {
		*left--
		return *left >= 0
	}
	recvfrom = func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
		if fails(&recvfromLeft) {
			return -1, nil, cause
		}
		return syscall.Recvfrom(fd, p, flags)
	}
	poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if fails(&pollLeft) {
			return -1, cause
		}
		return unix.Poll(fds, timeout)
	}
	ioctlGetInt = func(fd int, request uint) (int, error) {
		if fails(&ioctlLeft) {
			return 0, cause
		}
		return unix.IoctlGetInt(fd, request)
	}
	t.Cleanup(func() { recvfrom, poll, ioctlGetInt = syscall.Recvfrom, unix.Poll, unix.IoctlGetInt })
}
