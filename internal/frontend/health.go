package frontend

import (
	"io"
	"net/http"
	"time"
)

// serveHealth responds to a health check with the agent's readiness. It closes the connection, which a caller that
// checks only once would otherwise keep open.
func (h *handler) serveHealth(w http.ResponseWriter, r *http.Request) {
	if err := validateHealthCheck(r); err != nil {
		h.handleError(w, r, err)
		return
	}
	w.Header().Set("Connection", "close")
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // an error here means that the client has disconnected
}

// validateHealthCheck returns an error if a health check has a body, or other bytes behind it that start no request.
func validateHealthCheck(r *http.Request) error {
	if r.ContentLength != 0 {
		return badRequest("a body with a health check")
	}
	return connectionOf(r).validateFollowing()
}

// isReady reports whether the agent is ready to serve: its event loop has taken its first step, it is not shutting
// down, and it either has a serving endpoint or has waited for discovery for Timeouts.ReadyWithoutEndpoints.
func (h *handler) isReady() bool {
	select {
	case <-h.loop.Ready():
	default:
		return false
	}
	if h.shuttingDown.Load() {
		return false
	}
	return h.loop.HasServingEndpoint() || time.Since(h.createdAt) >= h.timeouts.ReadyWithoutEndpoints
}
