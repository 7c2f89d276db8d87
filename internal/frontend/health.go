package frontend

import (
	"io"
	"net/http"
	"time"
)

// serveHealth answers whether the agent is ready. It closes the connection, which a caller that asks only once would
// otherwise keep open.
func (h *handler) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // an error here means that the client has gone
}

// isReady reports whether the agent can serve: it has taken its first step, is not shutting down, and knows an
// endpoint or has waited long enough for discovery.
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
