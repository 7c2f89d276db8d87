package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"ashshunt/internal/endpoint"
	"ashshunt/internal/socket"
)

// pool owns the connections to endpoints. It does not use http.Transport, which resends a request by itself
// when a reused connection turns out dead: the request may then run twice.
//
// Nothing reads an idle connection: what arrives on it answers no request and must not be read as the response to the
// next one. A connection is examined when it is taken, and closed if anything has arrived.
//
// The pool has no goroutine of its own. While connections are idle, a timer runs a sweep that closes those that have
// been idle for too long and schedules the next sweep.
type pool struct {
	idleTimeout    time.Duration // a connection that is idle for longer is closed
	maxConnections int           // 0: no limit
	dialer         socket.Dialer

	mu             sync.Mutex                // protects what follows and the groups
	numOpen        int                       // connections that are idle, in use or being dialled
	groups         map[string]*endpointGroup // by endpoint ID, while it has connections
	sweepScheduled bool
}

func newPool(idleTimeout, connectTimeout time.Duration, maxConnections int) *pool {
	return &pool{
		idleTimeout:    idleTimeout,
		maxConnections: maxConnections,
		dialer:         socket.Dialer{Dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}},
		groups:         map[string]*endpointGroup{},
	}
}

// takeIdle returns the most recently used idle connection to an endpoint that is still usable, nil if there is none.
func (p *pool) takeIdle(endpointID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for group := p.groups[endpointID]; group != nil && len(group.idle) > 0; {
		conn := group.popNewest()
		// One that is not quiet has ended, has brought more than its last response, or can't be examined at present.
		if socket.Peek(conn.netConn) == socket.Quiet && time.Since(conn.idleSince) < p.idleTimeout {
			return conn
		}
		p.closeLocked(conn)
	}
	return nil
}

// dial opens a connection within the pool's limit, the connect timeout and the deadline.
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

// reserve counts a connection that is about to be dialled. At the limit it evicts an idle one; with none idle it
// returns ErrPoolExhausted.
func (p *pool) reserve(endpointID string) (*endpointGroup, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxConnections > 0 && p.numOpen >= p.maxConnections && !p.evictIdleLocked() {
		return nil, ErrPoolExhausted
	}
	group := p.groups[endpointID]
	if group == nil {
		group = &endpointGroup{endpointID: endpointID}
		p.groups[endpointID] = group
	}
	group.numOpen++
	p.numOpen++
	return group, nil
}

// unreserve undoes reserve for a dial that failed.
func (p *pool) unreserve(group *endpointGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementOpenLocked(group)
}

// evictIdleLocked closes the connection that has been idle for longest and reports whether there was one. The caller
// holds p.mu.
func (p *pool) evictIdleLocked() bool {
	oldest := p.oldestIdleLocked()
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.group.popOldest())
	return true
}

// release puts back a connection on which nothing is in flight. One of a retired group is closed instead.
func (p *pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.group.draining {
		p.closeLocked(conn)
		return
	}
	_ = conn.netConn.SetDeadline(time.Time{}) // fails on a connection that has ended, which takeIdle notices
	conn.idleSince = time.Now()
	conn.group.idle = append(conn.group.idle, conn)
	p.scheduleSweepLocked(p.idleTimeout)
}

// scheduleSweepLocked has sweep run after a delay, unless one is scheduled already. The caller holds p.mu.
func (p *pool) scheduleSweepLocked(after time.Duration) {
	if !p.sweepScheduled {
		p.sweepScheduled = true
		time.AfterFunc(after, p.sweep)
	}
}

// sweep closes the connections that have been idle for too long, and schedules the next sweep for when another one
// will have been.
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

// oldestIdleLocked returns the connection that has been idle for longest, nil if none is idle. The caller holds p.mu.
func (p *pool) oldestIdleLocked() *connection {
	var oldest *connection
	for _, group := range p.groups {
		if len(group.idle) > 0 && (oldest == nil || group.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = group.idle[0]
		}
	}
	return oldest
}

// close closes a connection that was taken or dialled.
func (p *pool) close(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(conn)
}

// closeLocked closes a connection that its group does not list as idle, and takes it off the counts, so it must be
// called once for each connection: by whoever took or dialled it, or by the pool for one that it took out of the idle
// ones. The caller holds p.mu.
func (p *pool) closeLocked(conn *connection) {
	_ = conn.netConn.Close() // nothing is left to be written
	p.decrementOpenLocked(conn.group)
}

// decrementOpenLocked takes one connection off the counts and drops a group that has none left. The caller holds p.mu.
func (p *pool) decrementOpenLocked(group *endpointGroup) {
	p.numOpen--
	group.numOpen--
	if group.numOpen == 0 && p.groups[group.endpointID] == group {
		delete(p.groups, group.endpointID)
	}
}

// drain ends the use of all connections to an endpoint: idle ones are closed at once, those in use after their
// exchange.
func (p *pool) drain(endpointID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if group := p.groups[endpointID]; group != nil {
		p.closeIdleSinceLocked(group, time.Now())
		group.draining = true
		delete(p.groups, endpointID)
	}
}

// closeIdle closes the idle connections to an endpoint; those in use stay, since they may still bring a response.
func (p *pool) closeIdle(endpointID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleSinceLocked(p.groups[endpointID], time.Now())
}

// closeIdleSince closes the connections to an endpoint that have been idle since a time or longer.
func (p *pool) closeIdleSince(endpointID string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleSinceLocked(p.groups[endpointID], since)
}

// closeIdleSinceLocked closes the group's connections that have been idle since a time or longer; the group may be
// nil. The caller holds p.mu.
func (p *pool) closeIdleSinceLocked(group *endpointGroup, since time.Time) {
	for group != nil && len(group.idle) > 0 && !group.idle[0].idleSince.After(since) {
		p.closeLocked(group.popOldest())
	}
}

// openConnections is the number of connections that are open or being dialled.
func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.numOpen
}
