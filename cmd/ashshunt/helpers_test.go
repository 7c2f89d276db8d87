package main

import (
	"bufio"
	"fmt"
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

// processVariable has the test program run the agent in place of the tests.
const processVariable = "ASHSHUNT_TEST_PROCESS"

// TestMain lets a test run the agent as a process of its own, for signals that the tests would not survive.
func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// configText returns a configuration with an address of discovery, further members, each ended by a comma, and the
// deadline of the one class in milliseconds.
func configText(discovery, members string, deadlineMs int) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",%s
	 "settings":{"Balancers":1,"Me":0,"TickMs":1,"Contract":{"ColdFrom":1},"PolicyLimits":{"ConnectTimeoutMs":1000},
	 "Profiles":[{"Name":"a","AimMs":100,"DeadlineMs":%d,"Worth":1,"Semantics":"once"}]}}`, discovery, members, deadlineMs)
}

// configFile is a configuration file of a test.
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

// newDiscovery starts a discovery that answers each watch by an empty list. The watches' queries come out of the
// channel.
func newDiscovery(t *testing.T) (addr string, watches chan string) {
	t.Helper()
	watches = make(chan string, 10)
	addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		writeList(w, "")
		watches <- r.URL.RawQuery
		<-r.Context().Done()
	})
	return addr, watches
}

// writeList writes the whole endpoint list as one line of a watch.
func writeList(w http.ResponseWriter, entries string) {
	// An error means that the agent has gone.
	_, _ = fmt.Fprintf(w, `{"version":7,"full":true,"servers":[%s]}`+"\n", entries)
	w.(http.Flusher).Flush()
}

// serveHTTP runs an HTTP server until the test ends and returns its address.
func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func expectWatch(t *testing.T, watches <-chan string, want string) {
	t.Helper()
	if query := testutil.Receive(t, watches); query != want {
		t.Errorf("watched with %q, want %q", query, want)
	}
}

// agentProcess is the agent as a process of its own.
type agentProcess struct {
	*exec.Cmd
	log *bufio.Scanner // its log, line by line
}

// startAgent starts the agent.
func startAgent(t *testing.T, config configFile) agentProcess {
	t.Helper()
	return startCommand(t, config, exec.Command(os.Args[0]))
}

// startCommand starts a command that ends in the agent.
func startCommand(t *testing.T, config configFile, command *exec.Cmd) agentProcess {
	t.Helper()
	command.Env = append(os.Environ(), processVariable+"=1", "GW_CONFIG="+string(config))
	stderr, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = command.Process.Kill() }) // it may have ended
	return agentProcess{Cmd: command, log: bufio.NewScanner(stderr)}
}

// signal sends a signal to the agent.
func (p agentProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// expectLine waits for a line of the log that holds a text.
func (p agentProcess) expectLine(t *testing.T, text string) string {
	t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	t.Fatalf("the log ends without %q", text)
	return ""
}

// discardLog reads the log to its end, so that the agent does not wait for its reader.
func (p agentProcess) discardLog() {
	for p.log.Scan() {
	}
}

// addr waits until the agent serves and returns the address that it listens on.
func (p agentProcess) addr(t *testing.T) net.Addr {
	t.Helper()
	_, text, _ := strings.Cut(p.expectLine(t, "msg=serving"), "listen=")
	addr, err := net.ResolveTCPAddr("tcp", strings.TrimSpace(text))
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// requestText is a request whose client waits so long.
func requestText(number, timeoutMs int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n\r\n",
		testutil.ID(number), timeoutMs)
}
