package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"ashshunt/internal/testutil"
)

// signalSelf sends a signal to the test process.
func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP must reload the configuration: the agent must watch a new address of discovery, ignore an invalid
// configuration, and start only one watch for several signals in quick succession.
func TestReload(t *testing.T) {
	file := newConfigFile(t)
	writeConfig := func(discovery string) {
		file.write(t, fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		 "limits":{"memory_mb":192,"sockets":1024},"known":{"version":3,"full":true,"servers":[]},
		 "settings":{"Balancers":1,"Me":0,"TickMs":1,"MembershipMode":"subscribe",
		  "Contract":{"ColdFrom":1,"AskWithinMs":640},
		  "Profiles":[{"Name":"a","AimMs":100,"DeadlineMs":500,"Worth":1,"Semantics":"once"}]}}`, discovery))
	}
	first, firstWatches := newDiscovery(t)
	second, secondWatches := newDiscovery(t)
	writeConfig(first)
	t.Setenv(configEnvVar, string(file))
	ended := make(chan error, 1)
	go func() { ended <- run(io.Discard) }()
	waitForWatch(t, firstWatches, "follow=1&since=3")
	file.write(t, "{")
	signalSelf(t, syscall.SIGHUP)
	writeConfig(second)
	for range 5 {
		signalSelf(t, syscall.SIGHUP)
	}
	waitForWatch(t, secondWatches, "follow=1")
	writeConfig(first)
	signalSelf(t, syscall.SIGHUP)
	waitForWatch(t, firstWatches, "follow=1")
	signalSelf(t, syscall.SIGTERM)
	if err := testutil.Receive(t, ended); err != nil {
		t.Error(err)
	}
	if len(firstWatches)+len(secondWatches) != 0 {
		t.Error("got a second watch of an address")
	}
}

// A SIGTERM during the start must make the agent exit with status 0. The test sends it while the agent is reading its
// configuration from a FIFO.
func TestSignalsDuringStart(t *testing.T) {
	file := newConfigFile(t)
	if err := syscall.Mkfifo(string(file), 0o600); err != nil {
		t.Fatal(err)
	}
	process := startAgent(t, file)
	writer, err := os.OpenFile(string(file), os.O_WRONLY, 0) // blocks until the agent opens the FIFO
	if err != nil {
		t.Fatal(err)
	}
	process.signal(t, syscall.SIGTERM)
	process.signal(t, syscall.SIGTERM)
	if _, err := writer.WriteString(configText("127.0.0.1:1", "", 300)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		t.Errorf("got exit error %v, want exit status 0", err)
	}
}

// Signals during a shutdown must not affect the requests in flight: neither a SIGHUP with a valid or an invalid
// configuration nor a second SIGTERM.
func TestSignalsDuringShutdown(t *testing.T) {
	listener := testutil.Listen(t)
	first, _ := newDiscovery(t)
	second, watches := newDiscovery(t)
	file := newConfigFile(t)
	config := func(discovery string) string {
		known := fmt.Sprintf(`"known":{"version":9,"full":true,"servers":[
		 {"id":"s0","addr":%q,"zone":"","kind":"","cell":1,"state":"SERVING","weight":1,"started_ms":0}]},`,
			listener.Addr())
		return configText(discovery, known, 20000)
	}
	file.write(t, config(first))
	process := startAgent(t, file)
	client := testutil.Dial(t, process.waitForAddr(t), requestText(1, 15000))
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
		t.Fatal(err)
	}
	process.signal(t, syscall.SIGTERM)
	process.waitForLogLine(t, `msg="shutting down"`)
	invalidSettings := strings.Replace(config(second), `"Balancers":1`, `"Balancers":0`, 1)
	for _, invalid := range []string{"{", invalidSettings} {
		file.write(t, invalid)
		process.signal(t, syscall.SIGHUP)
		process.waitForLogLine(t, "invalid configuration, keeping the old one")
	}
	file.write(t, config(second))
	process.signal(t, syscall.SIGHUP)
	waitForWatch(t, watches, "follow=1")
	process.signal(t, syscall.SIGTERM)
	testutil.Respond(server, http.StatusOK, "", "done")
	response := testutil.ReadResponse(t, bufio.NewReader(client))
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("got status %d, close %v, want 200, true", response.StatusCode, response.Close)
	}
	process.discardLog()
	if err := process.Wait(); err != nil {
		t.Errorf("got exit error %v, want exit status 0", err)
	}
}
