package discovery

import (
	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

// applyWatchedList applies a list of a watch, unless a later watch has replaced that one, and reports whether it did.
func (c *Client) applyWatchedList(w *watch, list endpoint.List) bool {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if !c.source.activateWatch(w, list.Complete) {
		return false
	}
	c.applyAndPublish(list, c.source.recordVersion(w.addr, list.Version))
	return true
}

// applyPolledList applies a list that was polled from an address, unless discovery has another address by now.
func (c *Client) applyPolledList(addr string, list endpoint.List) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if freshness := c.source.recordVersion(addr, list.Version); freshness != incomparable {
		c.applyAndPublish(list, freshness)
	}
}

// applyAndPublish applies a list and passes it on. An outdated one, such as the response to a poll that the watch has
// overtaken, counts as an empty delta: it must change nothing, but a poll always has an event, and any list of a watch
// tells the decision module that discovery answers. A list of a watch from an earlier address, which is active until
// its successor is, has no comparable version and is applied. The caller holds applyMu.
func (c *Client) applyAndPublish(list endpoint.List, freshness listFreshness) {
	if freshness == outdated {
		list = endpoint.List{}
	}
	c.applyToTable(list)
	c.publish(list)
}

// applyToTable applies a list to the endpoint table and reports the endpoints whose connections that makes stale.
func (c *Client) applyToTable(list endpoint.List) {
	for _, id := range c.table.Apply(list) {
		c.onStaleConnections(id)
	}
}

// publish records the start times of a list and passes it on as an event. The caller holds applyMu.
func (c *Client) publish(list endpoint.List) {
	kind := balancer.ListDelta
	if list.Complete {
		kind = balancer.ListComplete
	}
	c.converter.starts.update(list)
	c.onList(c.converter.toEvent(list, kind))
}
