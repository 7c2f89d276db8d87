package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"ashshunt/internal/endpoint"
	"ashshunt/internal/socket"
)

// pool holds the connections to endpoints. It is no http.Transport: that sends a request again by itself when a
// reused connection turns out dead, which may run its effect twice.
//
// Nothing reads an idle connection: what arrives on it answers no request and must not pass for the response to the
// next one. A connection is examined when it is taken, and closed if anything has arrived.
//
// The pool has no goroutine of its own. While connections are idle one timer is set, whose sweep closes those that
// have been idle for too long; it sets itself again until none is idle.
type pool struct {
	maxIdle        time.Duration // a connection that is idle for longer is closed
	maxConnections int           // 0: no limit
	dialer         socket.Dialer

	mu             sync.Mutex                // protects what follows and the fields of groups and connections that say so
	open           int                       // connections that are idle, in use or being dialled
	groups         map[string]*endpointGroup // by endpoint ID, while it has connections
	sweepScheduled bool
}

// endpointGroup holds what is open to one endpoint. A retired group is no longer in the pool: its connections that
// are in use close when they are done.
type endpointGroup struct {
	endpointID string

	// Protected by pool.mu.
	idle    []*connection // by idleSince, the longest idle first
	open    int           // idle, in use and being dialled
	retired bool
}

// connection is one connection to an endpoint. Whoever took or dialled it owns it until release or close.
type connection struct {
	net.Conn
	group     *endpointGroup
	entry     endpoint.Entry // as listed when it was dialled
	idleSince time.Time      // zero before its first release; written under pool.mu
	closed    bool           // protected by pool.mu
}

func (c *connection) endpointID() string { return c.group.endpointID }

func newPool(maxIdle, connectTimeout time.Duration, maxConnections int) *pool {
	return &pool{
		maxIdle:        maxIdle,
		maxConnections: maxConnections,
		dialer:         socket.Dialer{Dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}},
		groups:         map[string]*endpointGroup{},
	}
}

// takeIdle returns the most recently used idle connection to an endpoint that is still good, nil if there is none.
func (p *pool) takeIdle(endpointID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for group := p.groups[endpointID]; group != nil && len(group.idle) > 0; {
		last := len(group.idle) - 1
		conn := group.idle[last]
		group.idle = group.idle[:last]
		// Not quiet: the endpoint has closed it, or has sent more than its last response.
		if socket.Peek(conn.Conn) == socket.Quiet && time.Since(conn.idleSince) < p.maxIdle {
			return conn
		}
		p.closeLocked(conn)
	}
	return nil
}

// dial opens a connection, within the pool's limit and the connect timeout.
func (p *pool) dial(ctx context.Context, entry endpoint.Entry, deadline time.Time) (*connection, error) {
	group, err := p.reserve(entry.ID)
	if err != nil {
		return nil, err
	}
	dialer := p.dialer
	dialer.Deadline = deadline
	conn, err := dialer.DialContext(ctx, "tcp", entry.Addr)
	if err != nil {
		p.mu.Lock()
		p.discountLocked(group)
		p.mu.Unlock()
		return nil, err
	}
	return &connection{Conn: conn, group: group, entry: entry}, nil
}

// reserve counts a connection that is about to be dialled. At the limit another one has to make room.
func (p *pool) reserve(endpointID string) (*endpointGroup, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxConnections > 0 && p.open >= p.maxConnections && !p.evictLocked() {
		return nil, ErrPoolExhausted
	}
	group := p.groups[endpointID]
	if group == nil {
		group = &endpointGroup{endpointID: endpointID}
		p.groups[endpointID] = group
	}
	group.open++
	p.open++
	return group, nil
}

// evictLocked closes the connection that has been idle for longest and reports whether there was one. The caller
// holds p.mu.
func (p *pool) evictLocked() bool {
	var oldest *connection
	for _, group := range p.groups {
		if len(group.idle) > 0 && (oldest == nil || group.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = group.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLongestIdleLocked(oldest.group)
	return true
}

// release puts back a connection on which nothing is in flight.
func (p *pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.closed {
		return
	}
	if conn.group.retired {
		p.closeLocked(conn)
		return
	}
	_ = conn.SetDeadline(time.Time{}) // fails on a connection that has ended, which takeIdle notices
	conn.idleSince = time.Now()
	conn.group.idle = append(conn.group.idle, conn)
	p.scheduleSweepLocked(p.maxIdle)
}

// scheduleSweepLocked has sweep run after a while, unless it is to run already. The caller holds p.mu.
func (p *pool) scheduleSweepLocked(after time.Duration) {
	if !p.sweepScheduled {
		p.sweepScheduled = true
		time.AfterFunc(after, p.sweep)
	}
}

// sweep closes the connections that have been idle for too long, and runs again when the next one will have been.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepScheduled = false
	now := time.Now()
	next := time.Duration(-1) // none
	for _, group := range p.groups {
		p.closeIdleSinceLocked(group, now.Add(-p.maxIdle))
		if len(group.idle) == 0 {
			continue
		}
		if remaining := p.maxIdle - now.Sub(group.idle[0].idleSince); next < 0 || remaining < next {
			next = remaining
		}
	}
	if next >= 0 {
		p.scheduleSweepLocked(next)
	}
}

// close ends a connection that was taken or dialled.
func (p *pool) close(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(conn)
}

// closeLocked closes a connection that is not among the idle ones and no longer counts it. The caller holds p.mu.
func (p *pool) closeLocked(conn *connection) {
	if conn.closed {
		return
	}
	conn.closed = true
	_ = conn.Close() // nothing is left to be written
	p.discountLocked(conn.group)
}

// discountLocked takes one connection off the count; an endpoint's last takes its group along. The caller holds p.mu.
func (p *pool) discountLocked(group *endpointGroup) {
	p.open--
	group.open--
	if group.open == 0 && p.groups[group.endpointID] == group {
		delete(p.groups, group.endpointID)
	}
}

// retire ends the use of all connections to an endpoint that drains, is gone or was started again: those in use close
// when they are done.
func (p *pool) retire(endpointID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if group := p.groups[endpointID]; group != nil {
		p.closeIdleSinceLocked(group, time.Now())
		group.retired = true
		delete(p.groups, endpointID)
	}
}

// closeIdle closes the idle connections to an endpoint. One in use that still brings a response is good.
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
		p.closeLongestIdleLocked(group)
	}
}

// closeLongestIdleLocked closes the connection of a group that has been idle for longest. The caller holds p.mu.
func (p *pool) closeLongestIdleLocked(group *endpointGroup) {
	conn := group.idle[0]
	group.idle = group.idle[1:]
	p.closeLocked(conn)
}

// openConnections is the number of connections that are open or being dialled.
func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
