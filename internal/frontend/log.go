package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"ashshunt/internal/protocol"
	"ashshunt/internal/telemetry"
)

// closeReason says why the agent closes a client's connection, or refuses a request on it.
type closeReason string

// The reasons for closing a connection before net/http has a complete request, or while it is idle.
const (
	closeIdleForSlot      closeReason = "idle, its descriptor was needed"
	closeIdleForMemory    closeReason = "idle, its memory was needed"
	closeStalledForSlot   closeReason = "stalled within a request, its descriptor was needed"
	closeStalledForMemory closeReason = "stalled within a request, its memory was needed"
	closeShuttingDown     closeReason = "shutting down"
	closeTimedOut         closeReason = "request timed out"
	closeNoRequest        closeReason = "bytes start no request"
	closeHeadTooLong      closeReason = "head too long or too many fields"
	closeNoMemory         closeReason = "no memory for the request"
)

// logClose logs that a connection is about to be closed by the agent.
func (t *connectionTable) logClose(c *connection, reason closeReason) {
	if !t.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	t.log.Debug(telemetry.MsgClientConnectionClosed, "client", c.RemoteAddr().String(), "reason", string(reason),
		"age", time.Since(c.acceptedAt))
}

// logRefusal logs that a request is answered with an error before it is submitted, or that it is dropped because its
// client has disconnected.
func (h *handler) logRefusal(r *http.Request, err error) {
	if !h.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	h.log.Debug(telemetry.MsgRequestRefused, telemetry.Request(r.Header.Get(protocol.HeaderRequestID)),
		"client", r.RemoteAddr, telemetry.Err(err))
}
