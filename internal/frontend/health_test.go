package frontend

import (
	"net/http"
	"testing"

	"ashshunt/internal/protocol"
	"ashshunt/internal/testutil"
)

// healthStatus is what a server's health endpoint answers.
func healthStatus(t *testing.T, server *Server) int {
	t.Helper()
	response, _ := testutil.Do(t, server.Addr(), "GET", protocol.HealthPath, "")
	if !response.Close {
		t.Error("the connection is kept after a health check")
	}
	return response.StatusCode
}

// An agent is ready once its loop has taken a step and it knows an endpoint, or has waited for one, until it shuts
// down.
func TestHealth(t *testing.T) {
	t.Parallel()
	loop := newFakeEventLoop(echo)
	server := startServerWithLoop(t, testutil.Config(t, "127.0.0.1:1"), loop, nil)
	if status := healthStatus(t, server); status != http.StatusServiceUnavailable {
		t.Errorf("before the first step: status %d", status)
	}
	close(loop.ready)
	if status := healthStatus(t, server); status != http.StatusOK {
		t.Errorf("with an endpoint: status %d", status)
	}
	loop.noEndpoint.Store(true)
	if status := healthStatus(t, server); status != http.StatusServiceUnavailable {
		t.Errorf("with no endpoint: status %d", status)
	}
	loop.noEndpoint.Store(false)
	server.StartShutdown()
	if status := healthStatus(t, server); status != http.StatusServiceUnavailable {
		t.Errorf("during a shutdown: status %d", status)
	}
}
