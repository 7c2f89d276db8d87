package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"ashshunt/internal/testutil"
)

// processEnvVar is the environment variable that makes the test binary run the agent instead of the tests.
const processEnvVar = "ASHSHUNT_TEST_PROCESS"

// TestMain runs the agent instead of the tests if processEnvVar is set. Tests start the agent as a separate process in
// this way, to which they can send signals that terminate a process.
func TestMain(m *testing.M) {
	if os.Getenv(processEnvVar) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// configText returns a configuration with a single class. members holds additional JSON members, each terminated by a
// comma; deadlineMs is the deadline of the class.
func configText(discovery, members string, deadlineMs int) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",%s
	 "settings":{"Balancers":1,"Me":0,"TickMs":1,"Contract":{"ColdFrom":1},"PolicyLimits":{"ConnectTimeoutMs":1000},
	 "Profiles":[{"Name":"a","AimMs":100,"DeadlineMs":%d,"Worth":1,"Semantics":"once"}]}}`,
		discovery, members, deadlineMs)
}

// configFile is the path of a test's configuration file.
type configFile string

func newConfigFile(t *testing.T) configFile {
	t.Helper()
	return configFile(filepath.Join(t.TempDir(), "config.json"))
}

func (f configFile) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(string(f), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (f configFile) remove(t *testing.T) {
	t.Helper()
	if err := os.Remove(string(f)); err != nil {
		t.Fatal(err)
	}
}

// newDiscovery starts a discovery service that responds to each watch with an empty list. The channel receives the
// query of each watch.
func newDiscovery(t *testing.T) (addr string, watches <-chan string) {
	t.Helper()
	queries := make(chan string, 10)
	addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		writeList(w, "")
		queries <- r.URL.RawQuery
		<-r.Context().Done()
	})
	return addr, queries
}

// writeList writes a complete endpoint list as one line of a watch.
func writeList(w http.ResponseWriter, entries string) {
	// An error means that the agent has disconnected.
	_, _ = fmt.Fprintf(w, `{"version":7,"full":true,"servers":[%s]}`+"\n", entries)
	_ = http.NewResponseController(w).Flush()
}

// serveHTTP runs an HTTP server until the test ends and returns its address.
func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// waitForWatch waits for a watch and checks its query.
func waitForWatch(t *testing.T, watches <-chan string, want string) {
	t.Helper()
	if query := testutil.Receive(t, watches); query != want {
		t.Errorf("got a watch with query %q, want %q", query, want)
	}
}

// agentProcess is an agent that runs as a separate process.
type agentProcess struct {
	*exec.Cmd
	log *bufio.Scanner // scans the lines of the agent's log
}

// startAgent starts an agent with a configuration file.
func startAgent(t *testing.T, config configFile) agentProcess {
	t.Helper()
	return startCommand(t, config, exec.Command(os.Args[0]))
}

// startCommand starts a command that runs the agent, with its log on a pipe.
func startCommand(t *testing.T, config configFile, command *exec.Cmd) agentProcess {
	t.Helper()
	stderr, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	return startWithLog(t, config, command, stderr)
}

// startWithLog starts a command that runs the agent. log reads the agent's log.
func startWithLog(t *testing.T, config configFile, command *exec.Cmd, log io.Reader) agentProcess {
	t.Helper()
	command.Env = append(os.Environ(), processEnvVar+"=1", "GW_CONFIG="+string(config))
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = command.Process.Kill() }) // fails if the process has exited
	return agentProcess{Cmd: command, log: bufio.NewScanner(log)}
}

// signal sends a signal to the agent. It fails the test if the agent is not running.
func (p agentProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// waitForLogLine waits for a line of the log that contains text, and returns the line.
func (p agentProcess) waitForLogLine(t *testing.T, text string) string {
	t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	t.Fatalf("the log ended without a line that contains %q", text)
	return ""
}

// discardLog reads the log to its end, so that the agent's writes to it do not block.
func (p agentProcess) discardLog() {
	for p.log.Scan() {
	}
}

// waitForAddr waits until the agent serves and returns the address that it listens on.
func (p agentProcess) waitForAddr(t *testing.T) net.Addr {
	t.Helper()
	_, text, _ := strings.Cut(p.waitForLogLine(t, "msg=serving"), "listen=")
	addr, err := net.ResolveTCPAddr("tcp", strings.TrimSpace(text))
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// requestText returns a request with a timeout in milliseconds, as sent on the wire.
func requestText(number, timeoutMs int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n\r\n",
		testutil.NthID(number), timeoutMs)
}
