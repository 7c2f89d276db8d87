package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ashshunt/internal/socket"
)

// minSlotRetryInterval keeps a wait for a free slot from spinning.
const minSlotRetryInterval = time.Millisecond

// connectionTable holds the open connections of a listener, and bounds their number: each holds a descriptor, and
// clients that stay silent, or send one request and stay, would take them all. Its mutex also guards the states of the
// connections. It is never held over I/O that may block.
type connectionTable struct {
	maxOpen  int           // of open connections; 0: none
	timeouts *Timeouts     // those of the Server
	released chan struct{} // holds a value once a connection has ended; a value wakes one waiter alone

	mu            sync.Mutex
	open          int                      // connections that hold a descriptor
	closeWhenIdle bool                     // shutting down: a connection is closed as soon as its response is out
	idle          idleList                 // connections in phaseIdle; idleList names the exceptions
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

// add returns an accepted connection as one of the open ones.
func (t *connectionTable) add(accepted net.Conn) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
	return &connection{Conn: socket.NewConn(accepted), table: t, acceptedAt: time.Now()}
}

// release gives back the slot of a connection that has been closed.
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

// counts returns how many connections are open, and how many of these are without an open request.
func (t *connectionTable) counts() (open, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, t.idle.len()
}

// isNearLimit reports whether connections begin to run short. Then each is closed with its response: clients that send
// one request and stay would otherwise take all that there are, until each has been idle for long enough to be
// reclaimed. The price is that clients which would have sent another request connect anew.
func (t *connectionTable) isNearLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxOpen > 0 && t.open > t.maxOpen/2
}

// ensureSlot makes sure that the limit allows one more connection, if need be by closing an idle one. Otherwise it
// returns how long to wait before it is called again. It reserves nothing: one goroutine alone accepts connections.
func (t *connectionTable) ensureSlot(now time.Time) (wait time.Duration, ok bool) {
	reclaimed, wait, ok := t.tryReclaimSlot(now)
	if reclaimed != nil {
		_ = reclaimed.finishClose() // the descriptor is free in any case
	}
	return wait, ok
}

// tryReclaimSlot is ensureSlot, except that its caller closes the connection that was reclaimed, if any.
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

// reclaimIdle moves a connection to phaseClosing and returns it: of those that have been idle for long enough and have
// nothing unread, the one idle for longest. If there is none, wait is the time until the next one may qualify. One with
// unread bytes leaves the idle list. The caller holds the mutex.
func (t *connectionTable) reclaimIdle(now time.Time) (reclaimed *connection, wait time.Duration) {
	wait = t.timeouts.ReclaimIdle
	for c := range t.idle.all() {
		minIdle := t.minIdleDuration(c)
		if idle := now.Sub(c.state.idleAt); idle < minIdle {
			wait = min(wait, minIdle-idle)
			continue
		}
		if socket.HasUnread(c.Conn) { // a request has come that is not read yet
			t.idle.remove(c)
			continue
		}
		c.enterClosing()
		return c, 0
	}
	return nil, wait
}

// minIdleDuration is how long a connection must have been idle before it may be reclaimed.
func (t *connectionTable) minIdleDuration(c *connection) time.Duration {
	if c.state.hadRequest {
		return t.timeouts.ReclaimIdle
	}
	return t.timeouts.ReclaimUnused
}

// closeUsedIdle is Server.CloseUsedIdle.
func (t *connectionTable) closeUsedIdle() {
	t.closeIdle(func(c *connection) bool { return c.state.hadRequest })
}

// closeAllIdle is Server.CloseAllIdle.
func (t *connectionTable) closeAllIdle() {
	t.closeIdle(func(*connection) bool { return true })
}

// closeIdle closes the idle connections that match, and sets closeWhenIdle for good.
func (t *connectionTable) closeIdle(match func(*connection) bool) {
	for _, c := range t.startCloseIdle(match) {
		_ = c.finishClose() // nothing was under way on it
	}
}

// startCloseIdle sets closeWhenIdle, moves the idle connections that match to phaseClosing, and returns them. One whose
// next request has come, though it is not read yet, is not idle.
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

// rejectIncomplete is Server.RejectIncomplete, with the status of the answer.
func (t *connectionTable) rejectIncomplete(status int) {
	for c, number := range t.incompleteRequests() {
		if c.rejectIncomplete(number) {
			c.writeRejection(status)
		}
	}
}

// incompleteRequests returns the numbers of the incomplete requests, by connection.
func (t *connectionTable) incompleteRequests() map[*connection]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	numbers := make(map[*connection]int, len(t.incomplete))
	for c := range t.incomplete {
		numbers[c] = c.state.request.number
	}
	return numbers
}

// waitForAllClosed waits until no connection is open, or ctx ends.
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
		_ = c.finishClose() // nothing was under way on it
	}
}
