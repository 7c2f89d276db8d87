package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"ashshunt/internal/endpoint"
	"ashshunt/internal/socket"
)

// pool manages the connections to endpoints. http.Transport is not used because it resends a request on its own if a
// reused connection fails, and the request may then run twice.
//
// Idle connections are not read. Bytes that arrive on one belong to no request and must not be read as the response to
// the next request, so a connection is examined when it is taken, and closed if any bytes have arrived.
//
// The pool has no permanent goroutine. While connections are idle, a timer runs sweep, which closes those that have
// exceeded the idle timeout and schedules the next sweep.
type pool struct {
	idleTimeout    time.Duration // a connection that is idle for longer is closed
	maxConnections int           // maximum of openCount; 0 means no limit
	dialer         socket.Dialer

	mu             sync.Mutex                // protects the fields below and the groups
	openCount      int                       // number of connections that are idle, in use or being dialed
	groups         map[string]*endpointGroup // groups with openCount > 0 that are not draining, by endpoint ID
	sweepScheduled bool                      // a timer for sweep is running
}

func newPool(idleTimeout, connectTimeout time.Duration, maxConnections int) *pool {
	return &pool{
		idleTimeout:    idleTimeout,
		maxConnections: maxConnections,
		dialer:         socket.Dialer{Dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}},
		groups:         map[string]*endpointGroup{},
	}
}

// takeIdle takes the most recently used idle connection to an endpoint that is still usable. It returns nil if there is
// none.
func (p *pool) takeIdle(endpointID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for group := p.groups[endpointID]; group != nil && len(group.idle) > 0; {
		conn := group.popNewest()
		// In any state but Empty, the connection was closed, has received bytes after its last response, or can't be
		// examined.
		if socket.Peek(conn.netConn) == socket.Empty && time.Since(conn.idleSince) < p.idleTimeout {
			return conn
		}
		p.closeLocked(conn)
	}
	return nil
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
	return &connection{netConn: conn, group: group, entry: entry}, nil
}

// reserve counts a connection that is about to be dialed. At the connection limit it evicts an idle connection, or
// returns errPoolExhausted if none is idle.
func (p *pool) reserve(endpointID string) (*endpointGroup, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
	p.closeLocked(oldest.group.popOldest())
	return true
}

// release returns a connection without a request in flight to the pool. If its group is draining, the connection is
// closed instead.
func (p *pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.group.draining {
		p.closeLocked(conn)
		return
	}
	_ = conn.netConn.SetDeadline(time.Time{}) // fails on a closed connection, which takeIdle will detect
	conn.idleSince = time.Now()
	conn.group.idle = append(conn.group.idle, conn)
	p.scheduleSweepLocked(p.idleTimeout)
}

// scheduleSweepLocked schedules sweep to run after a delay, unless it is scheduled already. The caller holds p.mu.
func (p *pool) scheduleSweepLocked(after time.Duration) {
	if !p.sweepScheduled {
		p.sweepScheduled = true
		time.AfterFunc(after, p.sweep)
	}
}

// sweep closes the connections that have reached the idle timeout and schedules the next sweep for the time when the
// next connection reaches it.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepScheduled = false
	now := time.Now()
	for _, group := range p.groups {
		p.closeIdleSinceLocked(group, now.Add(-p.idleTimeout))
	}
	if oldest := p.oldestIdleLocked(); oldest != nil {
		p.scheduleSweepLocked(p.idleTimeout - now.Sub(oldest.idleSince))
	}
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
func (p *pool) close(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(conn)
}

// closeLocked closes a connection and decrements the counts of open connections, so it must be called exactly once for
// each connection. The connection must not be in its group's idle list. The caller holds p.mu.
func (p *pool) closeLocked(conn *connection) {
	_ = conn.netConn.Close() // no data is left to be written
	p.decrementOpenLocked(conn.group)
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
	p.mu.Lock()
	defer p.mu.Unlock()
	if group := p.groups[endpointID]; group != nil {
		p.closeIdleSinceLocked(group, time.Now())
		group.draining = true
		delete(p.groups, endpointID)
	}
}

// closeIdle closes the idle connections to an endpoint. Connections in use stay open, since their responses may still
// arrive.
func (p *pool) closeIdle(endpointID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleSinceLocked(p.groups[endpointID], time.Now())
}

// closeIdleSince closes the connections to an endpoint that became idle at or before cutoff.
func (p *pool) closeIdleSince(endpointID string, cutoff time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleSinceLocked(p.groups[endpointID], cutoff)
}

// closeIdleSinceLocked closes the group's connections that became idle at or before cutoff. The group may be nil. The
// caller holds p.mu.
func (p *pool) closeIdleSinceLocked(group *endpointGroup, cutoff time.Time) {
	for group != nil && len(group.idle) > 0 && !group.idle[0].idleSince.After(cutoff) {
		p.closeLocked(group.popOldest())
	}
}

// openConnections returns the number of connections that are open or being dialed.
func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}
