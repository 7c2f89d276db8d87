package frontend

import (
	"container/list"
	"iter"
	"time"
)

// idleList holds the connections in phaseIdle in the order in which they became idle, with two exceptions. A connection
// that is found to have unread bytes is removed early. A connection that gets a response to a malformed request without
// having been read again is in phaseServing and still in the list. Only idleList writes idleElement and idleSince in
// the states of connections. The list is guarded by the mutex of the connections' table.
type idleList struct{ elements list.List }

func (l *idleList) len() int { return l.elements.Len() }

// add appends a connection that has just become idle.
func (l *idleList) add(c *connection) {
	c.state.idleSince = time.Now()
	c.state.idleElement = l.elements.PushBack(c)
}

// remove removes a connection. It does nothing if the connection is not in the list.
func (l *idleList) remove(c *connection) {
	if c.state.idleElement != nil {
		l.elements.Remove(c.state.idleElement)
		c.state.idleElement = nil
	}
}

// all iterates over the connections. The loop body may remove the current connection.
func (l *idleList) all() iter.Seq[*connection] {
	return func(yield func(*connection) bool) {
		var next *list.Element
		for element := l.elements.Front(); element != nil; element = next {
			next = element.Next()
			if c, ok := element.Value.(*connection); ok && !yield(c) {
				return
			}
		}
	}
}
