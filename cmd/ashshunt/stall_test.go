package main

import (
	"syscall"
	"testing"
	"time"
)

// An agent that is stopped and continued in turns has a third of a core.
const (
	stoppedTime   = 60 * time.Millisecond
	continuedTime = 30 * time.Millisecond
)

// stallInTurns stops and continues a process in turns, until the returned function is called.
func stallInTurns(t *testing.T, process agentProcess) (end func()) {
	t.Helper()
	stop, ended := make(chan struct{}), make(chan struct{})
	signal := func(s syscall.Signal) {
		if err := process.Process.Signal(s); err != nil {
			t.Errorf("send %v to the agent: %v", s, err)
		}
	}
	go func() {
		defer close(ended)
		for {
			signal(syscall.SIGSTOP)
			time.Sleep(stoppedTime)
			signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(continuedTime):
			}
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}
