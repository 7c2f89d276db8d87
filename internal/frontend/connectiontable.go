package frontend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"ashshunt/internal/membudget"
	"ashshunt/internal/socket"
)

// connectionTable holds the open connections of a listener and limits their number: each connection occupies one of
// maxOpen slots until it is closed. Each holds a descriptor, and clients that stay silent, or keep their connection
// after one request, could otherwise use up all descriptors. The mutex also guards the states of the connections. It is
// never held during I/O that may block.
type connectionTable struct {
	maxOpen  int       // maximum number of open connections; 0: no limit
	timeouts *Timeouts // the timeouts of the Server
	budget   *membudget.Budget
	log      *slog.Logger
	ends     *connectionEnds
	released chan struct{} // receives a value when a connection is closed; each value wakes one waiter only

	mu            sync.Mutex
	open          int  // number of connections that hold a descriptor
	closeWhenIdle bool // set during a shutdown: close each connection once its response is written
	rejectAll     bool // set at the end of a shutdown: reject each request that is not complete
	ending        int  // number of connections that are in phaseRejected or linger
	reclaiming    bool // reclaimMemory runs
	// idle holds the connections in phaseIdle in the order in which they became idle, with two exceptions. A connection
	// that is found to have unread bytes is removed early. A connection that gets a response to a malformed request
	// without having been read again is in phaseServing and still in the list.
	idle       connectionList
	incomplete connectionList // connections in phaseReading, by the time at which their clients last made progress
	lingering  connectionList // connections in phaseClosing whose incoming bytes are discarded
	waiting    connectionList // connections whose request waits for memory
}

func newConnectionTable(maxOpen int, timeouts *Timeouts, budget *membudget.Budget,
	log *slog.Logger) *connectionTable {
	return &connectionTable{
		maxOpen:  maxOpen,
		timeouts: timeouts,
		budget:   budget,
		log:      log,
		ends:     newConnectionEnds(log),
		released: make(chan struct{}, 1),
	}
}

// add counts an accepted connection as open and idle, and wraps it.
func (t *connectionTable) add(accepted net.Conn) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
	c := &connection{Conn: socket.NewConn(accepted), table: t, acceptedAt: time.Now()}
	c.enterIdle()
	return c
}

// release frees the slot of a connection that has been closed.
func (t *connectionTable) release(c *connection) {
	t.remove(c)
	select {
	case t.released <- struct{}{}:
	default:
	}
}

// remove counts a connection as closed.
func (t *connectionTable) remove(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	if c.state.isEnding {
		c.state.isEnding = false
		t.ending--
	}
}

// counts returns the number of open connections, and how many of these are on the idle list.
func (t *connectionTable) counts() (open, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, t.idle.len()
}

// isNearLimit reports whether more than half of the allowed connections are open, or net/http has more than half of its
// memory in use. Each connection is then closed after its response: clients that keep their connection after one
// request could otherwise hold all slots until their connections may be reclaimed. The cost is that clients with
// further requests have to reconnect.
func (t *connectionTable) isNearLimit() bool {
	return t.budget.IsNearLimit(membudget.Handlers) || t.hasManyOpen()
}

// hasManyOpen reports whether more than half of the allowed connections are open.
func (t *connectionTable) hasManyOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxOpen > 0 && t.open > t.maxOpen/2
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
		c.closeIdle(closeShuttingDown)
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

// rejectIncomplete implements Server.RejectIncomplete, with the given status in the responses. Requests that start
// later are rejected as well.
func (t *connectionTable) rejectIncomplete(status int) {
	t.startRejectingAll()
	for c, number := range t.incompleteRequests() {
		if c.rejectIncomplete(number) {
			c.writeRejection(status, closeShuttingDown)
		}
	}
}

func (t *connectionTable) startRejectingAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejectAll = true
}

// rejectsAll reports whether each request that is not complete is rejected.
func (t *connectionTable) rejectsAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejectAll
}

// incompleteRequests returns the numbers of the incomplete requests by connection.
func (t *connectionTable) incompleteRequests() map[*connection]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	numbers := make(map[*connection]int, t.incomplete.len())
	for c := range t.incomplete.all() {
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
		c.closeIdle(closeShuttingDown)
	}
}
