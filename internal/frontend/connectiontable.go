package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ashshunt/internal/socket"
)

// minSlotRetryInterval is the minimum wait between two attempts to free a slot. It prevents a busy loop.
const minSlotRetryInterval = time.Millisecond

// connectionTable holds the open connections of a listener and limits their number: each connection occupies one of
// maxOpen slots until it is closed. Each holds a descriptor, and clients that stay silent, or keep their connection
// after one request, could otherwise use up all descriptors. The mutex also guards the states of the connections. It is
// never held during I/O that may block.
type connectionTable struct {
	maxOpen  int           // maximum number of open connections; 0: no limit
	timeouts *Timeouts     // the timeouts of the Server
	released chan struct{} // receives a value when a connection is closed; each value wakes one waiter only

	mu            sync.Mutex
	open          int                      // number of connections that hold a descriptor
	closeWhenIdle bool                     // set during a shutdown: close each connection once its response is written
	idle          idleList                 // connections in phaseIdle; idleList documents the exceptions
	incomplete    map[*connection]struct{} // connections in phaseReading
}

func newConnectionTable(maxOpen int, timeouts *Timeouts) *connectionTable {
	return &connectionTable{
		maxOpen:    maxOpen,
		timeouts:   timeouts,
		released:   make(chan struct{}, 1),
		incomplete: map[*connection]struct{}{},
	}
}

// add counts an accepted connection as open, and wraps it.
func (t *connectionTable) add(accepted net.Conn) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
	return &connection{Conn: socket.NewConn(accepted), table: t, acceptedAt: time.Now()}
}

// release frees the slot of a connection that has been closed.
func (t *connectionTable) release() {
	t.decrementOpen()
	select {
	case t.released <- struct{}{}:
	default:
	}
}

func (t *connectionTable) decrementOpen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}

// counts returns the number of open connections, and how many of these are on the idle list.
func (t *connectionTable) counts() (open, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, t.idle.len()
}

// isNearLimit reports whether more than half of the allowed connections are open. Each connection is then closed after
// its response: clients that keep their connection after one request could otherwise hold all slots until their
// connections may be reclaimed. The cost is that clients with further requests have to reconnect.
func (t *connectionTable) isNearLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxOpen > 0 && t.open > t.maxOpen/2
}

// ensureSlot ensures that one more connection may be opened, and closes an idle connection if that is necessary. If
// there is none to close, it returns the time to wait before the next call. It does not reserve the slot, which is safe
// because a single goroutine accepts connections.
func (t *connectionTable) ensureSlot(now time.Time) (wait time.Duration, ok bool) {
	reclaimed, wait, ok := t.tryReclaimSlot(now)
	if reclaimed != nil {
		_ = reclaimed.finishClose() // the descriptor is released even if this returns an error
	}
	return wait, ok
}

// tryReclaimSlot implements ensureSlot, except that the caller must close the reclaimed connection, if there is one.
func (t *connectionTable) tryReclaimSlot(now time.Time) (reclaimed *connection, wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxOpen == 0 || t.open < t.maxOpen {
		return nil, 0, true
	}
	reclaimed, wait = t.reclaimIdle(now)
	if reclaimed == nil {
		return nil, max(wait, minSlotRetryInterval), false
	}
	return reclaimed, 0, true
}

// reclaimIdle selects the connection that has been idle longest, among those that may be reclaimed and have no unread
// bytes, moves it to phaseClosing and returns it. If there is none, wait is the time until the next connection may be
// reclaimed. Connections that are found with unread bytes are removed from the idle list. The caller holds the mutex.
func (t *connectionTable) reclaimIdle(now time.Time) (reclaimed *connection, wait time.Duration) {
	wait = t.timeouts.ReclaimIdle
	for c := range t.idle.all() {
		minIdle := t.minIdleDuration(c)
		if idle := now.Sub(c.state.idleSince); idle < minIdle {
			wait = min(wait, minIdle-idle)
			continue
		}
		if socket.HasUnread(c.Conn) { // a request has arrived and is not read yet
			t.idle.remove(c)
			continue
		}
		c.enterClosing()
		return c, 0
	}
	return nil, wait
}

// minIdleDuration returns how long a connection must have been idle before it may be reclaimed.
func (t *connectionTable) minIdleDuration(c *connection) time.Duration {
	if c.state.hadRequest {
		return t.timeouts.ReclaimIdle
	}
	return t.timeouts.ReclaimUnused
}

// closeUsedIdle implements Server.CloseUsedIdle.
func (t *connectionTable) closeUsedIdle() {
	t.closeIdle(func(c *connection) bool { return c.state.hadRequest })
}

// closeAllIdle implements Server.CloseAllIdle.
func (t *connectionTable) closeAllIdle() {
	t.closeIdle(func(*connection) bool { return true })
}

// closeIdle closes the matching idle connections and sets closeWhenIdle permanently.
func (t *connectionTable) closeIdle(match func(*connection) bool) {
	for _, c := range t.startCloseIdle(match) {
		_ = c.finishClose() // an idle connection has no data in transit
	}
}

// startCloseIdle sets closeWhenIdle, moves the matching idle connections to phaseClosing, and returns them. A
// connection with unread bytes is not idle: its next request has arrived and is not read yet.
func (t *connectionTable) startCloseIdle(match func(*connection) bool) (closing []*connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeWhenIdle = true
	for c := range t.idle.all() {
		if match(c) && !socket.HasUnread(c.Conn) {
			c.enterClosing()
			closing = append(closing, c)
		}
	}
	return closing
}

// rejectIncomplete implements Server.RejectIncomplete, with the given status in the responses.
func (t *connectionTable) rejectIncomplete(status int) {
	for c, number := range t.incompleteRequests() {
		if c.rejectIncomplete(number) {
			c.writeRejection(status)
		}
	}
}

// incompleteRequests returns the numbers of the incomplete requests by connection.
func (t *connectionTable) incompleteRequests() map[*connection]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	numbers := make(map[*connection]int, len(t.incomplete))
	for c := range t.incomplete {
		numbers[c] = c.state.request.number
	}
	return numbers
}

// waitForAllClosed blocks until no connection is open or ctx is done.
func (t *connectionTable) waitForAllClosed(ctx context.Context) {
	for {
		if open, _ := t.counts(); open == 0 {
			return
		}
		select {
		case <-t.released:
		case <-ctx.Done():
			return
		}
	}
}

// handleConnState is the ConnState hook of the http.Server.
func (t *connectionTable) handleConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if ok && c.handleConnState(state) {
		_ = c.finishClose() // an idle connection has no data in transit
	}
}
