package frontend

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"ashshunt/internal/telemetry"
)

const (
	// initialAcceptBackoff is the wait after the first failed call of accept.
	initialAcceptBackoff = time.Millisecond
	// maxAcceptBackoff bounds that wait, which grows with each failure in a row.
	maxAcceptBackoff = 50 * time.Millisecond
	// acceptBackoffFactor is the growth of that wait.
	acceptBackoffFactor = 2
)

// connectionListener is a listener whose connections are kept in a table, which bounds their number.
type connectionListener struct {
	net.Listener
	table *connectionTable
	log   *slog.Logger

	closed    chan struct{} // closed by Close
	closeOnce sync.Once
}

func newConnectionListener(l net.Listener, table *connectionTable, log *slog.Logger) *connectionListener {
	return &connectionListener{Listener: l, table: table, log: log, closed: make(chan struct{})}
}

// Accept returns the next connection once the limit allows it. Those that come meanwhile wait in the system's queue,
// where they cost nothing.
func (l *connectionListener) Accept() (net.Conn, error) {
	if err := l.waitForSlot(); err != nil {
		return nil, err
	}
	accepted, err := l.acceptWithRetry()
	if err != nil {
		return nil, err
	}
	return l.table.add(accepted), nil
}

// waitForSlot waits until the limit allows one more connection.
func (l *connectionListener) waitForSlot() error {
	for {
		wait, ok := l.table.ensureSlot(time.Now())
		if ok {
			return nil
		}
		if !l.sleep(wait, l.table.released) {
			return net.ErrClosed
		}
	}
}

// acceptWithRetry accepts the next connection. Accept fails for many causes that are over in a moment, and an end of the
// agent mends none of the others: it is called again until the listener is closed.
func (l *connectionListener) acceptWithRetry() (net.Conn, error) {
	for backoff := initialAcceptBackoff; ; backoff = min(acceptBackoffFactor*backoff, maxAcceptBackoff) {
		accepted, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return accepted, err
		}
		l.log.Warn(telemetry.MsgAcceptFailed, telemetry.Err(err))
		if !l.sleep(backoff, nil) {
			return nil, net.ErrClosed
		}
	}
}

// sleep waits, until something comes out of wake at the latest, and reports whether the listener is still open.
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

// Close closes the listener and ends a wait for a slot. net/http closes it as well, once that wait is over.
func (l *connectionListener) Close() (err error) {
	l.closeOnce.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}
