package frontend

import (
	"net"
	"net/http"
	"runtime"
	"sync"

	"ashshunt/internal/socket"
)

// admissionListener is the listener of net/http. It passes connections on once the head of their first request is
// complete and there is memory to serve them. Until then a connection costs little more than the bytes that were sent
// on it. Connections that are accepted when StopAccepting is called are still passed on.
type admissionListener struct {
	inner     *connectionListener
	admitted  chan *connection
	failed    chan error    // receives the error that ended acceptAll, unless inner was closed on purpose
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
}

func newAdmissionListener(inner *connectionListener) *admissionListener {
	return &admissionListener{
		inner:    inner,
		admitted: make(chan *connection),
		failed:   make(chan error, 1),
		closed:   make(chan struct{}),
	}
}

// Addr implements net.Listener.
func (l *admissionListener) Addr() net.Addr { return l.inner.Addr() }

// Accept implements net.Listener.
func (l *admissionListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.admitted:
		return c, nil
	case err := <-l.failed:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// StopAccepting closes the inner listener when the connections in its accept queue are accepted.
func (l *admissionListener) StopAccepting() error { return l.inner.drain() }

// Close implements net.Listener. It may be called more than once.
func (l *admissionListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.inner.Close()
}

// acceptAll accepts connections until the inner listener is closed.
func (l *admissionListener) acceptAll() {
	for {
		accepted, err := l.inner.accept()
		if err != nil {
			if !l.inner.isClosed() {
				l.failed <- err
			}
			return
		}
		go l.admit(accepted) // returns after the timeouts of a request at the latest
		// Requests that have been accepted go first. Otherwise clients that reconnect at full speed keep them waiting.
		runtime.Gosched()
	}
}

// admit reads the head of the first request and passes the connection to Accept.
func (l *admissionListener) admit(c *connection) {
	// The deadline ends with the first byte. The call fails only if the connection is closed.
	_ = c.Conn.SetReadDeadline(c.acceptedAt.Add(c.table.timeouts.FirstByte))
	if err := c.readFirstHead(); err != nil {
		_ = c.Close() // an error means that the connection is closed
		return
	}
	select {
	case l.admitted <- c:
	case <-l.closed:
		_ = c.rejectHead(http.StatusServiceUnavailable, closeShuttingDown) // an error means that it is closed
		_ = c.Close()                                                      // an error means that it is closed
	}
}

// readFirstHead reads the head of the first request, and reserves the memory for it and for net/http.
func (c *connection) readFirstHead() error {
	if err := c.waitForFirstByte(); err != nil {
		return err
	}
	if err := c.readHead(); err != nil {
		return err
	}
	if socket.Peer(c.Conn).Closed {
		return net.ErrClosed
	}
	if err := c.reserveHandler(); err != nil {
		return c.rejectHead(http.StatusServiceUnavailable, closeNoMemory)
	}
	if socket.Peer(c.Conn).Closed { // the client has left while the request waited
		return net.ErrClosed
	}
	return nil
}
