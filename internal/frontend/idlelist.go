package frontend

import (
	"container/list"
	"iter"
	"time"
)

// idleList holds the connections in phaseIdle, the longest idle first, except for those found with unread bytes. One
// that is answered for a malformed request without having been read again is in phaseServing and still listed. Only
// idleList writes the idleElement and the idleSince of their states. The mutex of the connections' table guards it.
type idleList struct{ elements list.List }

func (l *idleList) len() int { return l.elements.Len() }

// add appends a connection that becomes idle now.
func (l *idleList) add(c *connection) {
	c.state.idleAt = time.Now()
	c.state.idleElement = l.elements.PushBack(c)
}

// remove removes a connection, if it is in the list.
func (l *idleList) remove(c *connection) {
	if c.state.idleElement != nil {
		l.elements.Remove(c.state.idleElement)
		c.state.idleElement = nil
	}
}

// all iterates over the connections, each of which may be removed as it is visited.
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
