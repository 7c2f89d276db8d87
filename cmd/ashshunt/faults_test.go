package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"ashshunt/internal/testutil"
)

// startWithLog starts the agent with a pipe as its log, of which the test holds both ends.
func startWithLog(t *testing.T, config configFile) (process agentProcess, reader, writer *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() }) // a test may have closed one
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), processVariable+"=1", "GW_CONFIG="+string(config))
	command.Stderr = writer
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = command.Process.Kill() }) // it may have ended
	return agentProcess{Cmd: command, log: bufio.NewScanner(reader)}, reader, writer
}

// fill writes to a pipe until it takes nothing more. It opens the pipe anew, so that the agent's own end still blocks.
func fill(t *testing.T, writer *os.File) {
	t.Helper()
	path := fmt.Sprintf("/proc/self/fd/%d", writer.Fd())
	fd, err := syscall.Open(path, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	for _, block := range [][]byte{make([]byte, 4096), make([]byte, 1)} {
		for err = nil; err == nil; {
			_, err = syscall.Write(fd, block)
		}
		if err != syscall.EAGAIN {
			t.Fatal(err)
		}
	}
}

// An agent whose log is closed by its reader, or is not read any more, goes on.
func TestBrokenLog(t *testing.T) {
	for name, breakLog := range map[string]func(t *testing.T, reader, writer *os.File){
		"closed":   func(_ *testing.T, reader, writer *os.File) { _, _ = reader.Close(), writer.Close() },
		"not read": func(t *testing.T, _, writer *os.File) { fill(t, writer) },
	} {
		t.Run(name, func(t *testing.T) {
			first, firstWatches := newDiscovery(t)
			second, secondWatches := newDiscovery(t)
			file := newConfigFile(t)
			file.write(t, configText(first, "", 300))
			process, reader, writer := startWithLog(t, file)
			addr := process.addr(t)
			expectWatch(t, firstWatches, "follow=1&since=0")
			breakLog(t, reader, writer)
			file.write(t, configText(second, "", 300))
			process.signal(t, syscall.SIGHUP)
			expectWatch(t, secondWatches, "follow=1")
			client := testutil.Dial(t, addr, requestText(1, 250))
			if status := testutil.ReadStatus(t, client); status != 503 {
				t.Errorf("status %d, want 503 since there is no endpoint", status)
			}
			process.signal(t, syscall.SIGTERM)
			if err := process.Wait(); err != nil {
				t.Errorf("it ends with %v", err)
			}
		})
	}
}

// A signal to reload is not lost when the file can't be read for a moment, or has come in part.
func TestReloadOnceTheFileCanBeRead(t *testing.T) {
	for name, breakFile := range map[string]func(t *testing.T, file configFile){
		"missing":      func(t *testing.T, file configFile) { removeFile(t, file) },
		"half-written": func(t *testing.T, file configFile) { file.write(t, `{"name":"n0",`) },
		"empty":        func(t *testing.T, file configFile) { file.write(t, "") },
	} {
		t.Run(name, func(t *testing.T) {
			first, firstWatches := newDiscovery(t)
			second, secondWatches := newDiscovery(t)
			file := newConfigFile(t)
			file.write(t, configText(first, "", 300))
			process := startAgent(t, file)
			expectWatch(t, firstWatches, "follow=1&since=0")
			breakFile(t, file)
			process.signal(t, syscall.SIGHUP)
			process.expectLine(t, "invalid configuration, keeping the old one")
			file.write(t, configText(second, "", 300))
			expectWatch(t, secondWatches, "follow=1")
		})
	}
}

func removeFile(t *testing.T, file configFile) {
	t.Helper()
	if err := os.Remove(string(file)); err != nil {
		t.Fatal(err)
	}
}

// An address that can't be listened on for a moment does not end the start.
func TestStartOnceItCanListen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	file := newConfigFile(t)
	listen := fmt.Sprintf(`"listen":%q`, listener.Addr())
	file.write(t, strings.Replace(configText("127.0.0.1:1", "", 300), `"listen":"127.0.0.1:0"`, listen, 1))
	process := startAgent(t, file)
	process.expectLine(t, "listen failed")
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	process.addr(t)
}

// A configuration that is being written as the agent starts does not end the start.
func TestStartOnceTheFileIsComplete(t *testing.T) {
	file := newConfigFile(t)
	text := configText("127.0.0.1:1", "", 300)
	file.write(t, text[:len(text)/2])
	process := startAgent(t, file)
	process.expectLine(t, "configuration can't be read")
	file.write(t, text)
	process.addr(t)
}
