package frontend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
	"ashshunt/internal/telemetry"
)

// closeReason says why the agent closes a client's connection, or rejects a request on it.
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
	closeCutRequest       closeReason = "bytes behind a request start no other request"
	closeClientGone       closeReason = "client has closed its connection or its sending side"
	closeClientReset      closeReason = "client has reset its connection"
	closeUnknown          closeReason = "not known"
)

// maxEndLinesPerSecond is the rate limit of the log's lines about the ends of connections, whose number clients
// determine. It leaves room for others within the rate limit of the log.
const maxEndLinesPerSecond = 5

// connectionEnds logs and counts the connections that the agent closes. It is safe for concurrent use.
type connectionEnds struct {
	log     *slog.Logger
	limiter *telemetry.Limiter

	mu         sync.Mutex // protects the fields below
	closed     map[closeReason]int
	rejected   map[closeReason]int
	unanswered map[closeReason]int
}

func newConnectionEnds(log *slog.Logger) *connectionEnds {
	return &connectionEnds{
		log:        log,
		limiter:    telemetry.NewLimiter(maxEndLinesPerSecond),
		closed:     map[closeReason]int{},
		rejected:   map[closeReason]int{},
		unanswered: map[closeReason]int{},
	}
}

// count adds an end to one of the counts.
func (e *connectionEnds) count(counts map[closeReason]int, reason closeReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts[reason]++
}

// logTotals logs the counts of all ends.
func (e *connectionEnds) logTotals() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Info(telemetry.MsgClientConnectionTotals, "idle_closed", formatCounts(e.closed),
		"rejected", formatCounts(e.rejected), "unanswered", formatCounts(e.unanswered))
}

// formatCounts returns the counts in the order of their reasons.
func formatCounts(counts map[closeReason]int) []string {
	var texts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%s: %d", reason, counts[reason]))
	}
	return texts
}

// logClose logs that an idle connection is about to be closed by the agent.
func (t *connectionTable) logClose(c *connection, reason closeReason) {
	t.ends.count(t.ends.closed, reason)
	if !t.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	t.log.Debug(telemetry.MsgClientConnectionClosed, "client", c.RemoteAddr().String(), "reason", string(reason),
		"age", time.Since(c.acceptedAt))
}

// logRejection logs that a request is rejected before it was complete or before net/http got it.
func (t *connectionTable) logRejection(c *connection, status int, reason closeReason) {
	t.ends.count(t.ends.rejected, reason)
	allowed, dropped := t.ends.limiter.Allow()
	if !allowed {
		return
	}
	age, readBytes := c.progress()
	t.log.Info(telemetry.MsgIncompleteRejected, "client", c.RemoteAddr().String(), "status", status,
		"reason", string(reason), "age", age, "read", readBytes, "unread", socket.Unread(c.Conn),
		telemetry.Dropped(dropped))
}

// unansweredRequest is a request of which bytes were read, and whose connection is closed without a response.
type unansweredRequest struct {
	id        string // empty: not known
	err       error  // why there is no response; nil: not known
	age       time.Duration
	readBytes int64
}

// logUnanswered logs that a connection is closed without a response to a request of which bytes were read, if there is
// one. previous is the phase that the connection has left in order to close.
func (c *connection) logUnanswered(previous phase) {
	request, ok := c.unanswered(previous)
	if !ok {
		return
	}
	ends, reason := c.table.ends, c.unansweredReason()
	ends.count(ends.unanswered, reason)
	allowed, dropped := ends.limiter.Allow()
	if !allowed {
		return
	}
	attributes := []any{
		telemetry.Request(request.id), "client", c.RemoteAddr().String(), "reason", string(reason), "age", request.age,
		"read", request.readBytes, "unread", socket.Unread(c.Conn), telemetry.Err(request.err),
		telemetry.Dropped(dropped),
	}
	if reason == closeUnknown {
		ends.log.Warn(telemetry.MsgRequestUnanswered, attributes...)
		return
	}
	ends.log.Info(telemetry.MsgClientLeft, attributes...)
}

// unansweredReason returns why a connection is closed without a response.
func (c *connection) unansweredReason() closeReason {
	switch {
	case socket.IsBroken(c.Conn):
		return closeClientReset
	case socket.Peer(c.Conn).Closed:
		return closeClientGone
	}
	return closeUnknown
}

// logIfCut logs that a request gets an error because of the bytes behind it, if err says so. isSubmitted says whether
// the request may have been forwarded.
func (c *connection) logIfCut(err error, isSubmitted bool) {
	if !errors.Is(err, errFollowedByOtherBytes) {
		return
	}
	ends := c.table.ends
	ends.count(ends.rejected, closeCutRequest)
	allowed, dropped := ends.limiter.Allow()
	if !allowed {
		return
	}
	id, age := c.requestAge()
	ends.log.Info(telemetry.MsgRequestCut, telemetry.Request(id), "client", c.RemoteAddr().String(),
		"age", age, "submitted", isSubmitted, telemetry.Dropped(dropped))
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
