package frontend

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"ashshunt/internal/socket"
	"ashshunt/internal/telemetry"
)

const (
	// minSlotWait keeps a wait for a free slot from spinning.
	minSlotWait = time.Millisecond
	// minAcceptPause is the wait after a call of accept that has failed; it doubles up to maxAcceptPause.
	minAcceptPause = time.Millisecond
	maxAcceptPause = 50 * time.Millisecond
)

// connectionListener is a listener that bounds the connections it has given out, since each holds a descriptor:
// clients that stay silent, or send one request and stay, would take them all. At the limit it closes the connection
// that has been without an open request for longest.
type connectionListener struct {
	net.Listener
	limit    int // 0: no limit
	timeouts *Timeouts
	log      *slog.Logger

	mu       sync.Mutex
	open     int           // connections that hold a descriptor
	closing  bool          // shutting down: no connection stays open without a request
	idle     *list.List    // of *connection without an open request, the longest idle first
	released chan struct{} // holds one value once a connection has ended
	stopped  chan struct{} // closed by Close
	stopOnce sync.Once

	incomplete map[*connection]struct{} // those whose request has begun and is not complete
}

func newListener(l net.Listener, limit int, timeouts *Timeouts, log *slog.Logger) *connectionListener {
	return &connectionListener{
		Listener: l,
		limit:    limit,
		timeouts: timeouts,
		log:      log,
		idle:     list.New(),
		released: make(chan struct{}, 1),
		stopped:  make(chan struct{}),

		incomplete: map[*connection]struct{}{},
	}
}

// nearLimit reports whether connections begin to run short. Then each is closed with its response: clients that send
// one request and stay would otherwise take all that there are, until each has been idle for long enough to be
// reclaimed. The price is that clients which would have sent another request connect anew.
func (l *connectionListener) nearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit > 0 && l.open > l.limit/2
}

// counts returns how many connections are open, and how many of these are without an open request.
func (l *connectionListener) counts() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.idle.Len()
}

// Accept takes the next connection once the limit allows it. Those that come meanwhile wait in the system's queue,
// where they cost nothing.
func (l *connectionListener) Accept() (net.Conn, error) {
	if err := l.awaitSlot(); err != nil {
		return nil, err
	}
	accepted, err := l.acceptNext()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	return &connection{Conn: socket.NewConn(accepted), listener: l, acceptedAt: time.Now()}, nil
}

// acceptNext takes the next connection. Accept fails for many causes that are over in a moment, and of those that are
// not, none is mended by an end of the agent: it is called again until the listener is closed.
func (l *connectionListener) acceptNext() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		accepted, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return accepted, err
		}
		l.log.Warn(telemetry.MsgAcceptFailed, telemetry.Err(err))
		if !l.sleep(pause) {
			return nil, net.ErrClosed
		}
	}
}

// sleep waits and reports whether the listener was not closed meanwhile.
func (l *connectionListener) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.stopped:
		return false
	}
}

// awaitSlot waits until the limit allows one more connection.
func (l *connectionListener) awaitSlot() error {
	for {
		wait, ok := l.freeSlot(time.Now())
		if ok {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-l.released:
		case <-l.stopped:
		}
		timer.Stop()
		select {
		case <-l.stopped:
			return net.ErrClosed
		default:
		}
	}
}

// freeSlot sees to it that the limit allows one more connection, if need be by closing an idle one, or says how long
// to wait before it is called again.
func (l *connectionListener) freeSlot(now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	if l.limit == 0 || l.open < l.limit {
		l.mu.Unlock()
		return 0, true
	}
	victim, wait := l.reclaimIdle(now)
	l.mu.Unlock()
	if victim == nil {
		return max(wait, minSlotWait), false
	}
	_ = victim.closeRetired() // the descriptor is free in any case
	return 0, true
}

// reclaimIdle retires the connection that has been idle for longest, if it has been so for long enough; else it says
// when the next one will have been. The caller holds l.mu, and closes what is returned.
func (l *connectionListener) reclaimIdle(now time.Time) (victim *connection, wait time.Duration) {
	wait = l.timeouts.ReclaimIdle
	for element, next := l.idle.Front(), (*list.Element)(nil); element != nil; element = next {
		next = element.Next()
		c := element.Value.(*connection)
		minIdle := l.timeouts.ReclaimIdle
		if !c.used {
			minIdle = l.timeouts.ReclaimUnused
		}
		if idle := now.Sub(c.idleSince); idle < minIdle {
			wait = min(wait, minIdle-idle)
			continue
		}
		if socket.HasUnread(c.Conn) { // a request has come that is not read yet
			c.idleElement = nil
			l.idle.Remove(element)
			continue
		}
		c.retire()
		return c, 0
	}
	return nil, wait
}

// closeUsedIdle closes the connections that have had a request and are without an open one, and from now on each as
// its response is out. Those that have not had a request yet stay: who connects now is about to send one.
func (l *connectionListener) closeUsedIdle() {
	l.closeIdle(func(c *connection) bool { return c.used })
}

// closeAllIdle closes all connections without an open request.
func (l *connectionListener) closeAllIdle() {
	l.closeIdle(func(*connection) bool { return true })
}

// closeIdle closes the idle connections that match. One whose next request has come, though it is not read yet, is
// not idle.
func (l *connectionListener) closeIdle(match func(*connection) bool) {
	l.mu.Lock()
	l.closing = true
	var retired []*connection
	for element, next := l.idle.Front(), (*list.Element)(nil); element != nil; element = next {
		next = element.Next()
		if c := element.Value.(*connection); match(c) && !socket.HasUnread(c.Conn) {
			c.retire()
			retired = append(retired, c)
		}
	}
	l.mu.Unlock()
	for _, c := range retired {
		_ = c.closeRetired() // nothing was under way on it
	}
}

// refuseIncomplete answers the requests that have begun and are not complete, and closes their connections.
func (l *connectionListener) refuseIncomplete(status int) {
	l.mu.Lock()
	numbers := make(map[*connection]int, len(l.incomplete))
	for c := range l.incomplete {
		numbers[c] = c.requestNumber
	}
	l.mu.Unlock()
	for c, number := range numbers {
		c.refuse(number, status)
	}
}

// waitUntilEmpty waits until no connection is open, or ctx ends.
func (l *connectionListener) waitUntilEmpty(ctx context.Context) {
	for {
		if open, _ := l.counts(); open == 0 {
			return
		}
		select {
		case <-l.released:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes the listener and ends a wait for a slot. net/http closes it as well, once that wait is over.
func (l *connectionListener) Close() (err error) {
	l.stopOnce.Do(func() {
		close(l.stopped)
		err = l.Listener.Close()
	})
	return err
}

// trackState follows the states that net/http reports for a connection.
func (l *connectionListener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	l.mu.Lock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.markIdle()
	case http.StateActive:
		if c.phase == phaseIdle { // its bytes came with those of the request before
			c.beginRequest()
		}
	}
	// Its request may have been answered just as the shutdown began, when its response did not close it.
	end := l.closing && state == http.StateIdle && c.phase == phaseIdle && !socket.HasUnread(c.Conn)
	if end {
		c.retire()
	}
	l.mu.Unlock()
	if end {
		_ = c.closeRetired() // nothing was under way on it
	}
}
