package frontend

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ashshunt/internal/socket"
)

// clients is a listener that bounds the connections it has given out, since every one holds a
// descriptor: clients that say nothing, or ask once and stay, would take them all. When short, it closes
// the one that has been without an open request for longest.
type connectionListener struct {
	net.Listener
	limit    int // 0: no limit
	timeouts *Timeouts

	mu    sync.Mutex
	open  int
	closing  bool          // draining: none stays without an open request
	idle  *list.List    // of *clientConn without an open request, the longest idle first
	released  chan struct{} // holds one when a connection has ended
	stopped chan struct{} // closed by Close
	stopOnce  sync.Once
}

// clientConn is one connection. Bytes end its idleness at once, before net/http makes a request of them.
type connection struct {
	net.Conn
	listener    *connectionListener
	idleElement *list.Element // in of.idle; nil while a request is open
	idleSince time.Time     // idle from then on
	used bool
	retired  bool
}

// clientKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// clientOf is the connection on which a request came.
func connectionOf(r *http.Request) *connection { return r.Context().Value(connectionKey{}).(*connection) }

func newListener(l net.Listener, limit int, timeouts *Timeouts) *connectionListener {
	return &connectionListener{Listener: l, limit: limit, timeouts: timeouts, idle: list.New(),
		released: make(chan struct{}, 1), stopped: make(chan struct{})}
}

// crowded reports whether connections begin to run short. Then each closes with its answer: clients that ask
// once and stay took all that there were, for the two seconds that a connection must have been idle before it
// may be closed, and the agents stood idle meanwhile. Guards against any client that keeps what it does not use.
// Harm: clients that would have asked again connect anew for each request.
func (l *connectionListener) nearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit > 0 && l.open > l.limit/2
}

// Accept takes the next connection once there is room for it. Those that come meanwhile wait in the
// system's queue, where they cost nothing.
func (l *connectionListener) Accept() (net.Conn, error) {
	for {
		wait, ok := l.freeSlot(time.Now())
		if ok {
			break
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-l.released:
		case <-l.stopped:
		}
		t.Stop()
		select {
		case <-l.stopped:
			return nil, net.ErrClosed
		default:
		}
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: nc, listener: l}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	return c, nil
}

// room makes room for one more connection, or says when to look again.
func (l *connectionListener) freeSlot(now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	if l.limit == 0 || l.open < l.limit {
		l.mu.Unlock()
		return 0, true
	}
	wait = l.timeouts.ReclaimIdle
	var victim *connection
	for e, next := l.idle.Front(), (*list.Element)(nil); e != nil && victim == nil; e = next {
		next = e.Next()
		c := e.Value.(*connection)
		need := l.timeouts.ReclaimIdle
		if !c.used {
			need = l.timeouts.ReclaimUnused
		}
		if idle := now.Sub(c.idleSince); idle < need {
			wait = min(wait, need-idle)
		} else if socket.HasUnread(c.Conn) {
			c.idleElement = nil
			l.idle.Remove(e) // a request has come that is not read yet
		} else {
			victim = c
			c.retire()
		}
	}
	l.mu.Unlock()
	if victim == nil {
		return max(wait, time.Millisecond), false
	}
	victim.closeRetired()
	return 0, true
}

// drain closes the connections that are without an open request, and from now on each as its answer is out. Those
// that have not said a word yet stay: who connects now is about to ask.
func (l *connectionListener) closeUsedIdle() { l.closeIdle(func(c *connection) bool { return c.used }) }

// drainAll closes them all.
func (l *connectionListener) closeAllIdle() { l.closeIdle(func(*connection) bool { return true }) }

func (l *connectionListener) closeIdle(of func(*connection) bool) {
	l.mu.Lock()
	l.closing = true
	var gone []*connection
	for e, next := l.idle.Front(), (*list.Element)(nil); e != nil; e = next {
		next = e.Next()
		if c := e.Value.(*connection); of(c) && !socket.HasUnread(c.Conn) {
			c.retire()
			gone = append(gone, c)
		}
	}
	l.mu.Unlock()
	for _, c := range gone {
		c.closeRetired()
	}
}

// empty waits until no connection is open.
func (l *connectionListener) waitUntilEmpty(ctx context.Context) {
	for {
		l.mu.Lock()
		open := l.open
		l.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-l.released:
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the listener, and a wait for room. net/http closes it as well, as soon as that wait is over.
func (l *connectionListener) Close() (err error) {
	l.stopOnce.Do(func() {
		close(l.stopped)
		err = l.Listener.Close()
	})
	return err
}

// note follows the states that net/http sees.
func (l *connectionListener) trackState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*connection)
	if !ok {
		return
	}
	l.mu.Lock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.markIdle()
	case http.StateActive:
		c.markActive()
	}
	end := l.closing && s == http.StateIdle && !c.retired && !socket.HasUnread(c.Conn) // answered as the drain began
	if end {
		c.retire()
	}
	l.mu.Unlock()
	if end {
		c.closeRetired()
	}
}

// rest and work keep the list. The caller holds of.mu.
func (c *connection) markIdle() {
	if c.idleElement == nil && !c.retired {
		c.idleSince = time.Now()
		c.idleElement = c.listener.idle.PushBack(c)
	}
}

func (c *connection) markActive() {
	c.used = true
	if c.idleElement != nil {
		c.listener.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// leave takes the connection out of use: nothing more is read of it. The caller holds of.mu and calls shut next,
// if it was the first.
func (c *connection) retire() (first bool) {
	first = !c.retired
	c.markActive()
	c.retired = true
	return first
}

// shut closes a connection that is out of use.
func (c *connection) closeRetired() error {
	err := c.Conn.Close()
	l := c.listener
	l.mu.Lock()
	l.open-- // not before: the descriptor is free only now
	l.mu.Unlock()
	select {
	case l.released <- struct{}{}:
	default:
	}
	return err
}

// Read takes an idle connection off the list before it reads any of its bytes. Guards against closing one to make
// room, or to drain, whose request has been read and is no longer to be seen waiting.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.awaitFirstByte(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *connection) awaitFirstByte() error {
	l := c.listener
	l.mu.Lock()
	idle := c.idleElement != nil
	l.mu.Unlock()
	if idle {
		if err := socket.WaitReadable(c.Conn); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.retired {
		return net.ErrClosed
	}
	if idle {
		c.markActive()
	}
	return nil
}

func (c *connection) Close() error {
	c.listener.mu.Lock()
	first := c.retire()
	c.listener.mu.Unlock()
	if !first {
		return c.Conn.Close()
	}
	return c.closeRetired()
}
