package upstream

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/socket"
	"ashshunt/internal/telemetry"
)

// pool manages the connections to endpoints. http.Transport is not used because it resends a request on its own if a
// reused connection fails, and the request may then run twice.
//
// Idle connections are not read. Bytes that arrive on one belong to no request and must not be read as the response to
// the next request, so a connection is examined when it is taken, and closed if any bytes have arrived. The sweeps
// (sweep.go) examine it while it is idle, so that the pool can report after what time such bytes come.
//
// The pool has no permanent goroutine. While connections are idle, a timer runs sweep.
type pool struct {
	idleTimeout    time.Duration // a connection that is idle for longer is closed
	maxConnections int           // maximum of openCount; 0 means no limit
	dialer         socket.Dialer
	log            *slog.Logger
	onEvent        func(balancer.Event) // see Options.OnEvent; called without the mutex
	losses         *connectionLosses

	mu         sync.Mutex                // protects the fields below and the groups
	openCount  int                       // number of connections that are idle, in use or being dialed
	groups     map[string]*endpointGroup // groups with openCount > 0 that are not draining, by endpoint ID
	sweepAt    time.Time                 // time of the next sweep; zero: none is scheduled
	sweepTimer *time.Timer               // runs sweep; nil before the first one is scheduled
	unreported []balancer.Event          // events for onEvent

	// These counts are safe for concurrent use.
	dials, exchanges, reuses, unrequestedBytes atomic.Int64
}

// Totals counts what the connections to endpoints have carried since the start.
type Totals struct {
	Dials            int64 // connections that were established
	Exchanges        int64 // requests that were sent, including health checks
	Reuses           int64 // requests that were sent on a connection with an earlier request
	UnrequestedBytes int64 // connections that were closed because of bytes that belong to no request
}

func newPool(idleTimeout, connectTimeout time.Duration, maxConnections int, log *slog.Logger) *pool {
	return &pool{
		idleTimeout:    idleTimeout,
		maxConnections: maxConnections,
		log:            log,
		dialer:         socket.Dialer{Dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}},
		losses:         newConnectionLosses(),
		groups:         map[string]*endpointGroup{},
	}
}

// takeIdle takes the most recently used connection to an endpoint that is still usable and has been idle for at least
// minIdle. It returns nil if there is none.
func (p *pool) takeIdle(endpointID string, minIdle time.Duration) *connection {
	p.mu.Lock()
	defer p.unlockAndReport()
	group := p.groups[endpointID]
	if group == nil {
		return nil
	}
	cutoff := time.Now().Add(-minIdle)
	for conn := group.popNewest(cutoff); conn != nil; conn = group.popNewest(cutoff) {
		reason := p.examineLocked(conn)
		if reason == "" {
			return conn
		}
		p.closeLocked(conn, reason)
	}
	return nil
}

// examineLocked returns the reason for which an idle connection must not be used, or "" if it may be used. The caller
// holds p.mu.
func (p *pool) examineLocked(conn *connection) closeReason {
	switch state := socket.Peek(conn.netConn); {
	case state == socket.Readable:
		return closeUnrequestedBytes
	case state == socket.Closed:
		return closeEndedByEndpoint
	case state == socket.Unknown:
		return closeNotExaminable
	case time.Since(conn.idleSince) >= p.idleTimeout:
		return closeIdleTimeout
	}
	conn.examinedAt = time.Now()
	return ""
}

// dial opens a connection, subject to the connection limit, the connect timeout and the deadline.
func (p *pool) dial(ctx context.Context, entry endpoint.Entry, deadline time.Time) (*connection, error) {
	group, err := p.reserve(entry.ID)
	if err != nil {
		return nil, err
	}
	dialer := p.dialer
	dialer.Deadline = deadline
	conn, err := dialer.DialContext(ctx, "tcp", entry.Addr)
	if err != nil {
		p.unreserve(group)
		return nil, err
	}
	return &connection{netConn: conn, number: p.dials.Add(1), group: group, entry: entry}, nil
}

// countExchange counts a request that is about to be sent on a connection.
func (p *pool) countExchange(conn *connection) {
	p.exchanges.Add(1)
	if conn.exchangeCount > 0 {
		p.reuses.Add(1)
	}
	conn.exchangeCount++
}

// totals returns the totals since the start.
func (p *pool) totals() Totals {
	return Totals{
		Dials:            p.dials.Load(),
		Exchanges:        p.exchanges.Load(),
		Reuses:           p.reuses.Load(),
		UnrequestedBytes: p.unrequestedBytes.Load(),
	}
}

// reserve counts a connection that is about to be dialed. At the connection limit it evicts an idle connection, or
// returns errPoolExhausted if none is idle.
func (p *pool) reserve(endpointID string) (*endpointGroup, error) {
	p.mu.Lock()
	defer p.unlockAndReport()
	if p.maxConnections > 0 && p.openCount >= p.maxConnections && !p.evictIdleLocked() {
		return nil, errPoolExhausted
	}
	group := p.groups[endpointID]
	if group == nil {
		group = &endpointGroup{endpointID: endpointID}
		p.groups[endpointID] = group
	}
	group.openCount++
	p.openCount++
	return group, nil
}

// unreserve reverts reserve after a failed dial.
func (p *pool) unreserve(group *endpointGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementOpenLocked(group)
}

// evictIdleLocked closes the connection that has been idle for the longest time, to any endpoint, and reports whether
// there was one. The caller holds p.mu.
func (p *pool) evictIdleLocked() bool {
	oldest := p.oldestIdleLocked()
	if oldest == nil {
		return false
	}
	conn := oldest.group.popOldest()
	p.closeLocked(conn, closeReasonOf(conn, closeConnectionLimit))
	return true
}

// release returns a connection without a request in flight to the pool. If its group is draining, the connection is
// closed instead.
func (p *pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.group.draining {
		p.closeLocked(conn, closeObsolete)
		return
	}
	_ = conn.netConn.SetDeadline(time.Time{}) // fails on a closed connection, which takeIdle will detect
	conn.idleSince = time.Now()
	conn.examinedAt = conn.idleSince
	conn.examineAt = conn.idleSince.Add(p.firstExamination())
	conn.group.idle = append(conn.group.idle, conn)
	p.scheduleSweepLocked(conn.examineAt)
}

// oldestIdleLocked returns the connection that has been idle for the longest time, or nil if none is idle. The caller
// holds p.mu.
func (p *pool) oldestIdleLocked() *connection {
	var oldest *connection
	for _, group := range p.groups {
		if len(group.idle) > 0 && (oldest == nil || group.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = group.idle[0]
		}
	}
	return oldest
}

// close closes a connection that was returned by takeIdle or dial.
func (p *pool) close(conn *connection, reason closeReason) {
	p.mu.Lock()
	defer p.unlockAndReport()
	p.closeLocked(conn, reason)
}

// unlockAndReport releases p.mu and then reports the events that occurred while it was held.
func (p *pool) unlockAndReport() {
	unreported := p.unreported
	p.unreported = nil
	p.mu.Unlock()
	for _, event := range unreported {
		if p.onEvent != nil {
			p.onEvent(event)
		}
	}
}

// closeLocked closes a connection and decrements the counts of open connections, so it must be called exactly once for
// each connection. The connection must not be in its group's idle list. The caller holds p.mu.
func (p *pool) closeLocked(conn *connection, reason closeReason) {
	if reason == closeUnrequestedBytes {
		p.recordUnrequestedBytesLocked(conn)
	} else if p.log.Enabled(context.Background(), slog.LevelDebug) {
		p.log.Debug(telemetry.MsgConnectionClosed, append(connectionAttrs(conn), "reason", string(reason))...)
	}
	if reason == closeEndedByEndpoint && !conn.group.draining {
		p.losses.record(conn.endpointID(), time.Now())
		p.unreported = append(p.unreported, balancer.ConnectionLost{Endpoint: conn.endpointID()})
	}
	_ = conn.netConn.Close() // no data is left to be written
	p.decrementOpenLocked(conn.group)
}

// recordUnrequestedBytesLocked logs that a connection has received bytes that belong to no request, and queues the
// report of it. The caller holds p.mu.
func (p *pool) recordUnrequestedBytesLocked(conn *connection) {
	after := conn.examinedAt.Sub(conn.idleSince)
	if elapsed := socket.SinceReceived(conn.netConn); elapsed > 0 {
		after = max(after, conn.idleDuration()-elapsed)
	}
	after = max(0, after) // the bytes may have come with the response
	event := balancer.UnrequestedBytes{Endpoint: conn.endpointID(), After: after}
	p.unreported = append(p.unreported, event)
	count := p.unrequestedBytes.Add(1)
	p.log.Warn(telemetry.MsgUnrequestedBytes, append(connectionAttrs(conn), "after", after, "count", count)...)
}

// connectionAttrs returns the attributes of a connection that is not in use.
func connectionAttrs(conn *connection) []any {
	return []any{telemetry.Endpoint(conn.endpointID()), telemetry.Connection(conn.number),
		telemetry.Exchanges(conn.exchangeCount), telemetry.Idle(conn.idleDuration())}
}

// decrementOpenLocked decrements the counts of open connections and removes the group if it has none left. The caller
// holds p.mu.
func (p *pool) decrementOpenLocked(group *endpointGroup) {
	p.openCount--
	group.openCount--
	if group.openCount == 0 && p.groups[group.endpointID] == group {
		delete(p.groups, group.endpointID)
	}
}

// drain closes the idle connections to an endpoint at once, and the connections in use when they are released. It is
// called when the endpoint is draining, was removed, was restarted or has a new address.
func (p *pool) drain(endpointID string) {
	p.losses.forget(endpointID)
	p.mu.Lock()
	defer p.mu.Unlock()
	if group := p.groups[endpointID]; group != nil {
		group.draining = true // the list explains what has happened to the connections
		p.closeIdleSinceLocked(group, time.Now(), closeObsolete)
		delete(p.groups, endpointID)
	}
}

// closeIdle closes the idle connections to an endpoint. Connections in use stay open, since their responses may still
// arrive.
func (p *pool) closeIdle(endpointID string, reason closeReason) {
	p.closeIdleSince(endpointID, time.Now(), reason)
}

// closeIdleSince closes the connections to an endpoint that became idle at or before cutoff.
func (p *pool) closeIdleSince(endpointID string, cutoff time.Time, reason closeReason) {
	p.mu.Lock()
	defer p.unlockAndReport()
	p.closeIdleSinceLocked(p.groups[endpointID], cutoff, reason)
}

// closeIdleSinceLocked closes the group's connections that became idle at or before cutoff. The group may be nil. The
// caller holds p.mu.
func (p *pool) closeIdleSinceLocked(group *endpointGroup, cutoff time.Time, reason closeReason) {
	for group != nil && len(group.idle) > 0 && !group.idle[0].idleSince.After(cutoff) {
		conn := group.popOldest()
		p.closeLocked(conn, closeReasonOf(conn, reason))
	}
}

// closeReasonOf returns closeEndedByEndpoint for an idle connection that its endpoint has ended, and reason for others:
// a close for another reason must not hide that the endpoint's process may have ended.
func closeReasonOf(conn *connection, reason closeReason) closeReason {
	if socket.Peek(conn.netConn) == socket.Closed {
		return closeEndedByEndpoint
	}
	return reason
}

// openConnections returns the number of connections that are open or being dialed.
func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}
