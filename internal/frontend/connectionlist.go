package frontend

import (
	"container/list"
	"iter"
	"time"
)

// connectionList holds connections in the order in which they were added, with the times at which that happened. Its
// zero value is an empty list. It is guarded by the mutex of the connections' table.
type connectionList struct {
	elements list.List // of listedConnection
	position map[*connection]*list.Element
}

// listedConnection is an element of a connectionList.
type listedConnection struct {
	connection *connection
	since      time.Time // time at which it was added
}

func (l *connectionList) len() int { return l.elements.Len() }

func (l *connectionList) contains(c *connection) bool { return l.position[c] != nil }

// add appends a connection. If the list contains it already, it moves to the end.
func (l *connectionList) add(c *connection, now time.Time) {
	l.remove(c)
	if l.position == nil {
		l.position = map[*connection]*list.Element{}
	}
	l.position[c] = l.elements.PushBack(listedConnection{connection: c, since: now})
}

// remove removes a connection. It does nothing if the connection is not in the list.
func (l *connectionList) remove(c *connection) {
	if element := l.position[c]; element != nil {
		l.elements.Remove(element)
		delete(l.position, c)
	}
}

// all iterates over the connections and the times at which they were added. The loop body may remove the current
// connection.
func (l *connectionList) all() iter.Seq2[*connection, time.Time] {
	return func(yield func(*connection, time.Time) bool) {
		var next *list.Element
		for element := l.elements.Front(); element != nil; element = next {
			next = element.Next()
			if listed, ok := element.Value.(listedConnection); ok && !yield(listed.connection, listed.since) {
				return
			}
		}
	}
}
