package frontend

import (
	"net/http"
	"testing"

	"ashshunt/internal/protocol"
	"ashshunt/internal/testutil"
)

// healthStatus returns the status of a health check.
func healthStatus(t *testing.T, server *Server) int {
	t.Helper()
	response, _ := testutil.Do(t, server.Addr(), "GET", protocol.HealthPath, "")
	if !response.Close {
		t.Error("got an open connection after a health check, want it closed")
	}
	return response.StatusCode
}

// The agent is ready once its event loop has taken its first step and has a serving endpoint, until it shuts down.
// Without a serving endpoint it is not ready before ReadyWithoutEndpoints has passed.
func TestHealth(t *testing.T) {
	t.Parallel()
	loop := newFakeEventLoop(echo)
	server := startServerWithLoop(t, testutil.Config(t, "127.0.0.1:1"), loop, nil)
	if status := healthStatus(t, server); status != http.StatusServiceUnavailable {
		t.Errorf("before the first step: got status %d, want 503", status)
	}
	close(loop.ready)
	if status := healthStatus(t, server); status != http.StatusOK {
		t.Errorf("with a serving endpoint: got status %d, want 200", status)
	}
	loop.noEndpoint.Store(true)
	if status := healthStatus(t, server); status != http.StatusServiceUnavailable {
		t.Errorf("without a serving endpoint: got status %d, want 503", status)
	}
	loop.noEndpoint.Store(false)
	server.StartShutdown()
	if status := healthStatus(t, server); status != http.StatusServiceUnavailable {
		t.Errorf("during a shutdown: got status %d, want 503", status)
	}
}
