package discovery

import (
	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

// applyWatchedList applies a list that was received on a watch and reports whether it did. The list is not applied if
// the watch was replaced or stopped, or if the watch has no version to continue from and its first list is a delta.
func (c *Client) applyWatchedList(w *watch, list endpoint.List) bool {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if !c.source.activateWatch(w, list.Complete) {
		return false
	}
	c.applyAndPublish(list, c.source.recordVersion(w.addr, list.Version))
	return true
}

// applyPolledList applies a list that was polled from addr, unless the address of discovery has changed since.
func (c *Client) applyPolledList(addr string, list endpoint.List) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if freshness := c.source.recordVersion(addr, list.Version); freshness != incomparable {
		c.applyAndPublish(list, freshness)
	}
}

// applyAndPublish applies a list to the table and publishes it as an event. The caller holds applyMu.
//
// An outdated list, such as a poll response that is older than the last list of the watch, is replaced by an empty
// delta. It must not change the table, but a poll must have an event even so, and each list of a watch shows the
// decision module that discovery responds.
//
// A list with an incomparable version comes from a watch of an earlier address, which stays active until the new watch
// becomes active. It is applied.
func (c *Client) applyAndPublish(list endpoint.List, freshness listFreshness) {
	if freshness == outdated {
		list = endpoint.List{}
	}
	list = c.table.ResolveTakeovers(list)
	c.applyToTable(list)
	c.publish(list)
}

// applyToTable applies a list to the endpoint table and calls onStaleConnections for the endpoints whose connections
// became stale.
func (c *Client) applyToTable(list endpoint.List) {
	for _, id := range c.table.Apply(list) {
		c.onStaleConnections(id)
	}
}

// publish records the start times of a list and passes the list to onList as an event. The caller holds applyMu.
func (c *Client) publish(list endpoint.List) {
	kind := balancer.ListDelta
	if list.Complete {
		kind = balancer.ListComplete
	}
	c.converter.starts.update(list)
	c.onList(c.converter.toEvent(list, kind))
}
