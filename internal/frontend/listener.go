package frontend

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"ashshunt/internal/socket"
	"ashshunt/internal/telemetry"
)

const (
	// initialAcceptBackoff is the wait after the first failed accept call.
	initialAcceptBackoff = time.Millisecond
	// maxAcceptBackoff bounds the wait after consecutive failures.
	maxAcceptBackoff = 50 * time.Millisecond
	// pendingPollInterval is the interval at which the accept queue is examined while no slot is free.
	pendingPollInterval = 2 * time.Millisecond
	// drainTimeout bounds the time for which connections are still accepted before the listener is closed.
	drainTimeout = 100 * time.Millisecond
	// acceptBackoffFactor is the growth of the wait with each consecutive failure.
	acceptBackoffFactor = 2
)

// connectionListener is a listener that adds its connections to a table, which limits their number.
type connectionListener struct {
	net.Listener
	table *connectionTable
	log   *slog.Logger

	closed    chan struct{} // closed by Close
	closeOnce sync.Once
	draining  chan struct{} // closed by drain
	drainOnce sync.Once

	// backlogSince is the time since which connections have waited in the accept queue for a slot; zero: none does. It
	// is used only by the goroutine that accepts connections.
	backlogSince time.Time
	// queueDelay is how long clients wait in the accept queue. It is used only by that goroutine.
	queueDelay queueDelay
}

func newConnectionListener(l net.Listener, table *connectionTable, log *slog.Logger) *connectionListener {
	return &connectionListener{
		Listener: l,
		table:    table,
		log:      log,
		closed:   make(chan struct{}),
		draining: make(chan struct{}),
	}
}

// accept accepts the next connection. It blocks while the limit allows no further connection. Clients that connect in
// the meantime wait in the kernel's accept queue, where they hold no descriptor of this process.
func (l *connectionListener) accept() (*connection, error) {
	if err := l.waitForSlot(); err != nil {
		return nil, err
	}
	if l.isDrained() {
		_ = l.Close() // the descriptor is released even if this returns an error
		return nil, net.ErrClosed
	}
	if !l.backlogSince.IsZero() {
		l.updateBacklog()
	}
	accepted, err := l.acceptWithRetry()
	if err != nil {
		return nil, err
	}
	c := l.table.add(accepted)
	l.queueDelay.recordAccept(c.acceptedAt)
	c.backlogSince = l.backlogSince
	return c, nil
}

// updateBacklog ends the backlog if the accept queue is empty.
func (l *connectionListener) updateBacklog() {
	pending := l.pendingCount()
	l.queueDelay.recordLength(time.Now(), pending)
	if pending == 0 {
		l.backlogSince = time.Time{}
	}
}

// waitForSlot blocks until the limit allows one more connection, or one may exceed it. While another client waits for a
// slot, those that are silent or have stalled within a request give way. It returns net.ErrClosed if the listener is
// closed.
func (l *connectionListener) waitForSlot() error {
	for !l.isDraining() || !l.table.mayExceedLimit() {
		now := time.Now()
		waited := l.queueDelay.current(now)
		wait, ok := l.table.ensureSlot(now, waited)
		if ok {
			return nil
		}
		pending := l.pendingCount()
		l.queueDelay.recordLength(now, pending)
		if l.backlogSince.IsZero() {
			l.backlogSince = now
		}
		if l.table.freeSlotForPending(pending, waited) {
			continue
		}
		if !l.sleep(min(wait, pendingPollInterval), l.table.released) {
			return net.ErrClosed
		}
	}
	return nil
}

// drain accepts the connections in the accept queue, which the close would reset, and then closes the listener. A part
// of them may exceed the limit. It blocks until the listener is closed, for drainTimeout at most.
func (l *connectionListener) drain() error {
	l.drainOnce.Do(func() { close(l.draining) })
	if l.isDrained() {
		return l.Close()
	}
	l.sleep(drainTimeout, nil)
	return l.Close()
}

func (l *connectionListener) isDraining() bool {
	select {
	case <-l.draining:
		return true
	default:
		return false
	}
}

// isDrained reports whether the listener drains and its accept queue is empty.
func (l *connectionListener) isDrained() bool {
	return l.isDraining() && l.pendingCount() == 0
}

// pendingCount returns the number of connections in the accept queue. If it is not known, it returns the number of
// slots, so that the queue's delay is about that of a turn of all slots.
func (l *connectionListener) pendingCount() int {
	pending := socket.PendingCount(l.Listener)
	if pending == socket.UnknownPending {
		return max(1, l.table.maxOpen)
	}
	return pending
}

// acceptWithRetry accepts the next connection, and retries until the listener is closed. Many causes of a failed accept
// call are transient, and a restart of the agent would fix none of the others.
func (l *connectionListener) acceptWithRetry() (net.Conn, error) {
	for backoff := initialAcceptBackoff; ; backoff = min(acceptBackoffFactor*backoff, maxAcceptBackoff) {
		accepted, err := l.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return accepted, err
		}
		l.log.Warn(telemetry.MsgAcceptFailed, telemetry.Err(err))
		if !l.sleep(backoff, nil) {
			return nil, net.ErrClosed
		}
	}
}

// sleep blocks for the given time, or until a value arrives on wake or the listener is closed. It reports whether the
// listener is still open.
func (l *connectionListener) sleep(wait time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-l.closed:
	}
	return !l.isClosed()
}

func (l *connectionListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Close closes the listener and ends a wait for a slot. It may be called more than once, since net/http also closes the
// listener after Accept has failed.
func (l *connectionListener) Close() (err error) {
	l.closeOnce.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}
