package discovery

import (
	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

// applyWatched applies a list of a watch, unless a later watch has replaced that one, and reports whether it did.
func (c *Client) applyWatched(w *watch, list endpoint.List) bool {
	c.applying.Lock()
	defer c.applying.Unlock()
	if !c.source.activateWatch(w, list.Complete) {
		return false
	}
	c.publish(list, c.source.recordVersion(w.addr, list.Version))
	return true
}

// applyPolled applies a list that was polled from an address, unless discovery has another address by now.
func (c *Client) applyPolled(addr string, list endpoint.List) {
	c.applying.Lock()
	defer c.applying.Unlock()
	if origin := c.source.recordVersion(addr, list.Version); origin != otherAddr {
		c.publish(list, origin)
	}
}

// publish applies a list to the table and passes it on as an event. An outdated one, such as the response to a poll
// that the watch has overtaken, is passed on as an empty delta: a poll always has an event. The caller holds applying.
func (c *Client) publish(list endpoint.List, origin listOrigin) {
	if origin == outdated {
		list = endpoint.List{}
	}
	for _, id := range c.table.Apply(list) {
		c.onStale(id)
	}
	kind := balancer.ListDelta
	if list.Complete {
		kind = balancer.ListComplete
	}
	c.onList(c.converter.event(list, kind))
}
