package agent

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/frontend"
	"ashshunt/internal/testutil"
)

// maxBodyBytes is the maximum size of request and response bodies. It repeats the value of protocol.MaxBodySize, so
// that a test fails if that limit is lowered.
const maxBodyBytes = 64 << 10

func TestServed(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Echo)
	a := startAgent(t, newConfig(t, server))
	response, body := testutil.Do(t, a.Addr(), "POST", "/hold/a%2Fb?x=%20y", "work", "X-Call-Id", id,
		"X-Budget-Ms", "7000", "Idempotency-Key", "k1", "X-Caller", "acme")
	if response.StatusCode != http.StatusOK || body != "did work" {
		t.Errorf("got response %d %q, want 200 \"did work\"", response.StatusCode, body)
	}
	forwarded := testutil.Receive(t, server.Received)
	if forwarded.Method != http.MethodPost || forwarded.RequestURI != "/hold/a%2Fb?x=%20y" ||
		forwarded.Header.Get("X-Call-Id") != id || forwarded.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("the endpoint got %s %s %v, want the client's request", forwarded.Method, forwarded.RequestURI,
			forwarded.Header)
	}
	if left := forwarded.Header.Get("X-Budget-Ms"); len(left) != 4 || left > "7000" {
		t.Errorf("the endpoint got a timeout of %s ms, want 1000 to 7000", left)
	}
	if status := healthStatus(t, a); status != http.StatusOK {
		t.Errorf("got health status %d, want 200", status)
	}
}

// healthStatus returns the status of an agent's health endpoint.
func healthStatus(t *testing.T, a *Agent) int {
	t.Helper()
	response, _ := testutil.Do(t, a.Addr(), "GET", "/healthz", "")
	return response.StatusCode
}

func TestLargestBody(t *testing.T) {
	t.Parallel()
	a := startAgent(t, newConfig(t, testutil.NewServer(t, testutil.Echo)))
	body := strings.Repeat("x", maxBodyBytes-len("did ")) // makes the body of the response maxBodyBytes long
	response, _ := testutil.Do(t, a.Addr(), "POST", "/settle", body, "X-Call-Id", id, "X-Budget-Ms", "7000")
	if response.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", response.StatusCode)
	}
}

func TestHealthWithoutEndpoints(t *testing.T) {
	t.Parallel()
	a := startAgent(t, newConfig(t))
	if status := healthStatus(t, a); status != http.StatusServiceUnavailable {
		t.Errorf("got health status %d without endpoints, want 503", status)
	}
}

// Agents must become ready while discovery is down: with endpoints from the cached list at once, and without endpoints
// after a short wait. As long as an agent is not ready, the application gets no response at all. A ready agent without
// endpoints rejects its requests.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	down := testutil.NewServer(t, testutil.Hang).Addr()
	server := testutil.NewServer(t, testutil.Echo)
	const agentCount = 350 // all running at the same time
	for i := range agentCount {
		c := testutil.Config(t, down, testutil.EntryJSON("s0", server.Addr(), "SERVING"))
		c.Settings.Subscribe, c.Settings.Agents, c.Settings.AgentIndex = i%2 == 0, agentCount, i
		a, _ := startAgentWith(t, c, func(a *Agent) { a.acceptDuration = time.Millisecond })
		if status := healthStatus(t, a); status != http.StatusOK {
			t.Fatalf("agent %d: got health status %d with endpoints known, want 200", i, status)
		}
	}
	a, _ := startAgentWith(t, testutil.Config(t, down),
		func(a *Agent) { a.frontend.Timeouts.ReadyWithoutEndpoints = 0 })
	if status := healthStatus(t, a); status != http.StatusOK {
		t.Errorf("got health status %d without endpoints after the wait for a list, want 200", status)
	}
	if wait := frontend.DefaultTimeouts().ReadyWithoutEndpoints; wait > 8*time.Second {
		t.Errorf("got a default wait for a list of %v, want at most 8s", wait)
	}
}

// The number of endpoints must not be limited, and endpoints without requests must not cost connections or goroutines.
func TestLargeFleet(t *testing.T) { // not parallel, since it counts the goroutines of the process
	server, service := testutil.NewServer(t, testutil.Echo), testutil.NewDiscovery(t)
	const endpointCount = 2000
	entriesFrom := func(first int) []string {
		entries := make([]string, endpointCount)
		for i := range entries {
			entries[i] = testutil.EntryJSON(fmt.Sprint("s", first+i), server.Addr(), "SERVING")
		}
		return entries
	}
	c := testutil.Config(t, service.Addr, entriesFrom(0)...)
	c.Settings.Agents, c.Settings.AgentIndex = endpointCount, endpointCount-1
	before := runtime.NumGoroutine()
	a := startAgent(t, c)
	testutil.Receive(t, service.Watches)
	service.Lines <- `{"version":2,"full":true,"servers":[` + strings.Join(entriesFrom(endpointCount), ",") + `]}`
	testutil.WaitFor(t, "the list", func() bool { return isServing(a, fmt.Sprint("s", 2*endpointCount-1)) })
	if status := requestStatus(t, a, "POST", "/settle", id, "7000"); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	if n := a.loop.upstream.OpenConnections(); n > 1 {
		t.Errorf("got %d connections for one request, want at most 1", n)
	}
	if n := runtime.NumGoroutine() - before; n > endpointCount/2 {
		t.Errorf("got %d goroutines for one agent and one request, want at most half the number of endpoints", n)
	}
}
