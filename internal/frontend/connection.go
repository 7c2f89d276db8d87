package frontend

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"time"

	"ashshunt/internal/socket"
)

// connection is one accepted connection. Its first byte ends its idleness at once, before net/http makes a request of
// it. The fields are guarded by listener.mu.
type connection struct {
	net.Conn
	listener    *connectionListener
	idleElement *list.Element // in listener.idle; nil while a request is open
	idleSince   time.Time
	used        bool // it has had a request
	retired     bool // closed, or about to be: nothing more is read of it
}

// connectionKey is the key of a request's connection in the request's context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection on which a request came.
func connectionOf(r *http.Request) *connection {
	return r.Context().Value(connectionKey{}).(*connection)
}

// markIdle puts the connection on the idle list. The caller holds listener.mu.
func (c *connection) markIdle() {
	if c.idleElement == nil && !c.retired {
		c.idleSince = time.Now()
		c.idleElement = c.listener.idle.PushBack(c)
	}
}

// markActive takes the connection off the idle list. The caller holds listener.mu.
func (c *connection) markActive() {
	c.used = true
	if c.idleElement != nil {
		c.listener.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// retire takes the connection out of use and reports whether it was in use until now; if so, the caller closes it by
// closeRetired next. The caller holds listener.mu.
func (c *connection) retire() (first bool) {
	first = !c.retired
	c.markActive()
	c.retired = true
	return first
}

// closeRetired closes a connection that was retired and gives back its slot.
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

// Read takes an idle connection off the idle list before it reads any of its bytes. Otherwise a connection whose
// request has been read, so that no unread bytes show it any more, could be closed as idle.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.awaitFirstByte(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// awaitFirstByte waits until an idle connection has something to be read, and marks it as active.
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

// Close closes the connection and gives back its slot.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	first := c.retire()
	c.listener.mu.Unlock()
	if !first {
		return c.Conn.Close()
	}
	return c.closeRetired()
}
