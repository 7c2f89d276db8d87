package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"ashshunt/internal/testutil"
)

// logPipe is the pipe to which an agent writes its log. The test process has both ends open.
type logPipe struct{ reader, writer *os.File }

// startWithLogPipe starts the agent with a pipe as its log.
func startWithLogPipe(t *testing.T, config configFile) (agentProcess, logPipe) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	pipe := logPipe{reader: reader, writer: writer}
	t.Cleanup(pipe.close)
	command := exec.Command(os.Args[0])
	command.Stderr = writer
	return startWithLog(t, config, command, reader), pipe
}

// close closes both ends in the test process. It ignores that they may be closed.
func (p logPipe) close() { _, _ = p.reader.Close(), p.writer.Close() }

// fill writes to the pipe until it is full. It opens a new non-blocking descriptor for this, so that writes of the
// agent still block.
func (p logPipe) fill(t *testing.T) {
	t.Helper()
	path := fmt.Sprintf("/proc/self/fd/%d", p.writer.Fd())
	fd, err := syscall.Open(path, syscall.O_WRONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	for _, block := range [][]byte{make([]byte, 4096), make([]byte, 1)} {
		for err = nil; err == nil; {
			_, err = syscall.Write(fd, block)
		}
		if !errors.Is(err, syscall.EAGAIN) {
			t.Fatal(err)
		}
	}
}

// The agent must continue to serve, reload and shut down if the reader of its log closes the pipe or stops reading.
func TestUnreadableLogDoesNotStopAgent(t *testing.T) {
	tests := []struct {
		name   string
		closed bool // the pipe is closed; otherwise it is full
	}{
		{"closed", true},
		{"not read", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, firstWatches := newDiscovery(t)
			second, secondWatches := newDiscovery(t)
			file := newConfigFile(t)
			file.write(t, configText(first, "", 300))
			process, pipe := startWithLogPipe(t, file)
			addr := process.waitForAddr(t)
			waitForWatch(t, firstWatches, "follow=1&since=0")
			if tt.closed {
				pipe.close()
			} else {
				pipe.fill(t)
			}
			file.write(t, configText(second, "", 300))
			process.signal(t, syscall.SIGHUP)
			waitForWatch(t, secondWatches, "follow=1")
			client := testutil.Dial(t, addr, requestText(1, 250))
			if status := testutil.ReadStatus(t, client); status != http.StatusServiceUnavailable {
				t.Errorf("got status %d, want 503, since there are no endpoints", status)
			}
			process.signal(t, syscall.SIGTERM)
			if err := process.Wait(); err != nil {
				t.Errorf("got exit error %v, want exit status 0", err)
			}
		})
	}
}

// The agent must retry a reload whose file is missing or incomplete, without a further signal.
func TestReloadRetriesUnreadableFile(t *testing.T) {
	tests := []struct {
		name, text string
		missing    bool
	}{
		{name: "missing", missing: true},
		{name: "incomplete", text: `{"name":"n0",`},
		{name: "empty", text: ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, firstWatches := newDiscovery(t)
			second, secondWatches := newDiscovery(t)
			file := newConfigFile(t)
			file.write(t, configText(first, "", 300))
			process := startAgent(t, file)
			waitForWatch(t, firstWatches, "follow=1&since=0")
			if tt.missing {
				file.remove(t)
			} else {
				file.write(t, tt.text)
			}
			process.signal(t, syscall.SIGHUP)
			process.waitForLogLine(t, "invalid configuration, keeping the old one")
			file.write(t, configText(second, "", 300))
			waitForWatch(t, secondWatches, "follow=1")
		})
	}
}

// The start must retry to listen on an address that is temporarily in use.
func TestStartRetriesListen(t *testing.T) {
	listener := testutil.Listen(t)
	file := newConfigFile(t)
	listen := fmt.Sprintf(`"listen":%q`, listener.Addr())
	file.write(t, strings.Replace(configText("127.0.0.1:1", "", 300), `"listen":"127.0.0.1:0"`, listen, 1))
	process := startAgent(t, file)
	process.waitForLogLine(t, "listen failed")
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	process.waitForAddr(t)
}

// The start must retry to read a configuration file that another process is still writing.
func TestStartRetriesIncompleteFile(t *testing.T) {
	file := newConfigFile(t)
	text := configText("127.0.0.1:1", "", 300)
	file.write(t, text[:len(text)/2])
	process := startAgent(t, file)
	process.waitForLogLine(t, "configuration can't be read")
	file.write(t, text)
	process.waitForAddr(t)
}

// An unknown log level must end the start with one plain line.
func TestUnknownLogLevel(t *testing.T) {
	t.Setenv("GW_LOG_LEVEL", "loud")
	file := newConfigFile(t)
	file.write(t, configText("127.0.0.1:1", "", 300))
	process := startAgent(t, file)
	process.waitForLogLine(t, `ashshunt: GW_LOG_LEVEL: invalid value "loud", want DEBUG, INFO, WARN or ERROR`)
	process.discardLog()
	var exit *exec.ExitError
	if err := process.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("got exit error %v, want exit status 1", err)
	}
}
