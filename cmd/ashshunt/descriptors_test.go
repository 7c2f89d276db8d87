package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// descriptorLimit is the maximum number of open file descriptors of the agent in this test.
const descriptorLimit = 64

// Idle clients must not exhaust the descriptors while discovery is down, whether they have sent a request or not. The
// agent still needs descriptors for the next watch, for endpoints and for the next client.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	tests := []struct{ name, limits string }{
		{"limit in the configuration", fmt.Sprintf(`"limits":{"sockets":%d},`, descriptorLimit)},
		{"limit of the system only", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			endpoint := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "done") // an error means that the agent has disconnected
			})
			var discoveryUp atomic.Bool
			discovery := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
				if discoveryUp.Load() { // otherwise discovery does not respond
					writeList(w, fmt.Sprintf(`{"id":"s0","addr":%q,"state":"SERVING"}`, endpoint))
				}
				<-r.Context().Done()
			})
			file := newConfigFile(t)
			file.write(t, configText(discovery, tt.limits, 3000))
			limited := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, descriptorLimit), os.Args[0])
			process := startCommand(t, file, limited)
			addr := process.waitForAddr(t)
			go process.discardLog() // returns when the agent exits
			stop := startIdleClients(addr, 3*descriptorLimit)
			defer stop()
			discoveryUp.Store(true)
			waitForServed(t, addr)
		})
	}
}

// startIdleClients starts clients that keep their connections open and reconnect when a connection ends. Every other
// client sends a request on each connection; the others send nothing. startIdleClients returns when each client has
// connected or failed to; stop stops the clients.
func startIdleClients(addr net.Addr, count int) (stop func()) {
	stopped := make(chan struct{})
	var connected, ended sync.WaitGroup
	connected.Add(count)
	for i := range count {
		text := ""
		if i%2 == 0 {
			text = requestText(i, 3000)
		}
		ended.Go(func() {
			first := sync.OnceFunc(connected.Done)
			defer first()
			for open := true; open; {
				open = keepConnection(addr, text, first, stopped)
			}
		})
	}
	connected.Wait()
	return func() {
		close(stopped)
		ended.Wait()
	}
}

// keepConnection opens a connection, writes text to it and keeps it open until the agent closes it or stopped is
// closed. It reports whether the client is to reconnect.
func keepConnection(addr net.Addr, text string, connected func(), stopped <-chan struct{}) bool {
	client, err := net.Dial("tcp", addr.String())
	if err != nil {
		return false
	}
	defer func() { _ = client.Close() }()
	_, _ = io.WriteString(client, text) // fails if the agent has closed the connection
	connected()
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, client) // returns when the connection ends
		close(closed)
	}()
	select {
	case <-closed:
		return true
	case <-stopped:
		return false
	}
}

// waitForServed sends requests until one is served.
func waitForServed(t *testing.T, addr net.Addr) {
	t.Helper()
	const firstNumber = 1000 // greater than the numbers of the idle clients' requests
	for number, end := firstNumber, time.Now().Add(testutil.Timeout); ; number++ {
		client := testutil.Dial(t, addr, requestText(number, 3000))
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		_ = client.Close() // an error does not affect the test
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for a served request after discovery is up: got response %v, error %v",
				response, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
