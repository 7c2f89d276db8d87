package socket

import (
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// FailSyscalls makes the next count calls of each system call on a socket fail with cause. The system calls are
// restored at the end of the test.
func FailSyscalls(t *testing.T, count int, cause error) {
	t.Helper()
	recvfromLeft, readLeft, pollLeft, ioctlLeft := count, count, count, count
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
	read = func(fd int, p []byte) (int, error) {
		if fails(&readLeft) {
			return -1, cause
		}
		return syscall.Read(fd, p)
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
	t.Cleanup(func() {
		recvfrom, read, poll, ioctlGetInt = syscall.Recvfrom, syscall.Read, unix.Poll, unix.IoctlGetInt
	})
}
