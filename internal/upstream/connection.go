package upstream

import (
	"net"
	"time"

	"ashshunt/internal/endpoint"
)

// connection is one connection to an endpoint. It belongs to whoever took or dialled it until release or close.
type connection struct {
	netConn   net.Conn // closed by the pool alone, which counts connections
	group     *endpointGroup
	entry     endpoint.Entry // as listed when it was dialled
	idleSince time.Time      // zero before its first release; written under pool.mu
}

func (c *connection) endpointID() string { return c.group.endpointID }

// idleDuration is how long a connection that was just taken has been idle; 0 for a new one.
func (c *connection) idleDuration() time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return time.Since(c.idleSince)
}

// endpointGroup holds the connections to one endpoint. A retired group is no longer in the pool, since its endpoint
// drains, is gone or was restarted: its connections that are in use are closed when they are released. pool.mu protects
// its fields, but for the ID.
type endpointGroup struct {
	endpointID string

	idle     []*connection // by idleSince, the longest idle first
	numOpen  int           // idle, in use and being dialled
	draining bool
}

// popNewest takes out the connection that became idle last; there must be one.
func (g *endpointGroup) popNewest() *connection {
	last := len(g.idle) - 1
	conn := g.idle[last]
	g.idle = g.idle[:last]
	return conn
}

// popOldest takes out the connection that has been idle for longest; there must be one.
func (g *endpointGroup) popOldest() *connection {
	conn := g.idle[0]
	g.idle = g.idle[1:]
	return conn
}
