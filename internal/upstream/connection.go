package upstream

import (
	"net"
	"slices"
	"time"

	"ashshunt/internal/endpoint"
)

// connection is a connection to an endpoint. From takeIdle or dial until release or close, only one goroutine uses it.
type connection struct {
	netConn       net.Conn // closed only by the pool, which counts the open connections
	number        int64    // number of its dial, which identifies it in the log
	group         *endpointGroup
	entry         endpoint.Entry // table entry of the endpoint at the time of the dial
	exchangeCount int            // number of requests that were sent on it
	idleSince     time.Time      // time of the last response or release, zero before the first
	examinedAt    time.Time      // latest time at which no bytes had arrived since idleSince; protected by pool.mu
	examineAt     time.Time      // time of the next examination while it is idle; protected by pool.mu
}

func (c *connection) endpointID() string { return c.group.endpointID }

// idleDuration returns how long a connection that was just taken has been idle. It is 0 for a new connection.
func (c *connection) idleDuration() time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return time.Since(c.idleSince)
}

// endOfLateWindow returns the end of the late window after the last response on the connection. Before it, no bytes are
// the response to the next request. It is zero for a new connection.
func (c *connection) endOfLateWindow(lateWindow time.Duration) time.Time {
	if c.idleSince.IsZero() {
		return time.Time{}
	}
	return c.idleSince.Add(lateWindow)
}

// closeReason says why the pool closes a connection.
type closeReason string

// The reasons for closing a connection.
const (
	closeUnusable         closeReason = "unusable after its last exchange"
	closeEndedByEndpoint  closeReason = "closed by the endpoint"
	closeUnrequestedBytes closeReason = "unrequested bytes"
	closeEarlyBytes       closeReason = "bytes too soon after the last response"
	closeNotExaminable    closeReason = "can't be examined"
	closeIdleTimeout      closeReason = "idle timeout"
	closeExcess           closeReason = "excess idle connection"
	closeConnectionLimit  closeReason = "connection limit"
	closeObsolete         closeReason = "endpoint drains, was removed, was restarted or has a new address"
	closePresumedDead     closeReason = "presumed dead"
	closeRequested        closeReason = "requested"
)

// endpointGroup holds the connections to one endpoint. pool.mu protects all fields but endpointID, which is constant.
type endpointGroup struct {
	endpointID string

	idle      []*connection // idle connections by idleSince, oldest first
	openCount int           // number of connections that are idle, in use or being dialed

	// draining is set when the group is removed from the pool because its endpoint is draining, was removed, was
	// restarted or has a new address. Connections that are in use are then closed on release.
	draining bool
}

// popNewest removes and returns the connection that became idle last, of those that became idle at or before cutoff. It
// returns nil if there is none.
func (g *endpointGroup) popNewest(cutoff time.Time) *connection {
	for i, conn := range slices.Backward(g.idle) {
		if !conn.idleSince.After(cutoff) {
			g.idle = slices.Delete(g.idle, i, i+1)
			return conn
		}
	}
	return nil
}

// popOldest removes and returns the connection that has been idle for the longest time. There must be an idle
// connection.
func (g *endpointGroup) popOldest() *connection {
	conn := g.idle[0]
	g.idle = g.idle[1:]
	return conn
}
