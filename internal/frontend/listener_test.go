package frontend

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// reclaimImmediately makes a server reclaim connections as soon as their response is written. Connections that wait for
// their first request are not reclaimed, since that request may take long to arrive on a slow machine.
func reclaimImmediately(s *Server) {
	s.Timeouts.ReclaimIdle, s.Timeouts.ReclaimUnused = time.Millisecond, testutil.Timeout
}

// Idle clients must not use up all descriptors, neither by keeping their connections after one request nor by opening
// many connections without sending anything.
func TestIdleConnectionsAreReclaimed(t *testing.T) {
	for _, test := range []struct {
		name          string
		silent        bool
		reclaimUnused time.Duration
	}{
		{"silent", true, time.Millisecond},
		{"one request", false, testutil.Timeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			config := testutil.Config(t, "127.0.0.1:1")
			config.MaxDescriptors = 8 // 4 for clients
			server, _ := startServer(t, config, echo, func(s *Server) {
				reclaimImmediately(s)
				s.Timeouts.ReclaimUnused = test.reclaimUnused
			})
			for i := range 12 {
				if test.silent {
					testutil.Dial(t, server.Addr(), "")
					continue
				}
				client := testutil.Dial(t, server.Addr(), testutil.RawPost(testutil.NthID(i), ""))
				if status := testutil.ReadStatus(t, client); status != http.StatusOK {
					t.Fatalf("request %d: got status %d, want 200", i, status)
				}
			}
			response, _ := testutil.Do(t, server.Addr(), "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "7000")
			if response.StatusCode != http.StatusOK {
				t.Errorf("with idle connections: got status %d, want 200", response.StatusCode)
			}
		})
	}
}

func TestOpenRequestsAreNotReclaimed(t *testing.T) {
	t.Parallel()
	gate, submitted := make(chan struct{}), make(chan *Request, 2)
	config := testutil.Config(t, "127.0.0.1:1")
	config.MaxDescriptors = 2 // 1 for clients
	server, _ := startServer(t, config, func(r *Request) {
		submitted <- r
		<-gate
		echo(r)
	}, reclaimImmediately)
	first := testutil.Dial(t, server.Addr(), testutil.RawPost(id, ""))
	testutil.Receive(t, submitted)
	second := testutil.Dial(t, server.Addr(), testutil.RawPost(otherID, "")) // waits in the accept queue
	if wait, ok := server.connections.ensureSlot(time.Now().Add(time.Hour), 0); ok {
		t.Errorf("got a slot of an open request (wait %v), want none", wait)
	}
	close(gate)
	if status := testutil.ReadStatus(t, first); status != http.StatusOK {
		t.Errorf("first request: got status %d, want 200", status)
	}
	if status := testutil.ReadStatus(t, second); status != http.StatusOK {
		t.Errorf("second request: got status %d, want 200", status)
	}
}

// Clients that keep their connection after one request must not keep other clients out while their connections may not
// be reclaimed yet. Near the limit, each connection is closed after its response.
func TestResponsesCloseConnectionsNearLimit(t *testing.T) {
	t.Parallel()
	config := testutil.Config(t, "127.0.0.1:1")
	config.MaxDescriptors = 8 // 4 for clients
	server, _ := startServer(t, config, echo, func(s *Server) {
		s.Timeouts.ReclaimIdle = time.Hour
		s.Timeouts.Idle = time.Hour
	})
	for i := range 6 {
		client := testutil.Dial(t, server.Addr(), testutil.RawPost(testutil.NthID(i), ""))
		if status := testutil.ReadStatus(t, client); status != http.StatusOK {
			t.Fatalf("request %d: got status %d, want 200", i, status)
		}
	}
}

// dialAndAccept connects to a listener and returns both ends of the connection.
func dialAndAccept(t *testing.T, listener *connectionListener) (client net.Conn, accepted *connection) {
	t.Helper()
	client = testutil.Dial(t, listener.Addr(), "")
	accepted, err := listener.accept()
	if err != nil {
		t.Fatal(err)
	}
	listener.table.handleConnState(accepted, http.StateNew)
	return client, accepted
}

// newTestListener returns a listener with a single slot, which reclaims idle connections immediately.
func newTestListener(t *testing.T) *connectionListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := newConnectionTable(1, &Timeouts{ReadStall: testutil.Timeout, ReclaimStalled: testutil.Timeout},
		newBudget(), testutil.NewLogger(&testutil.Log{}))
	listener := newConnectionListener(inner, table, testutil.NewLogger(&testutil.Log{}))
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// A shutdown or a lack of slots must not close a connection whose request has arrived but is not read yet, or is being
// read. Between the close and the read, the one that changes the phase first wins.
func TestPendingRequestIsNotClosed(t *testing.T) {
	const head = "GET / HTTP/1.1\r\n\r\n" // a connection returns no bytes of an incomplete head
	listener := newTestListener(t)
	buffer := make([]byte, 100)

	client, conn := dialAndAccept(t, listener)
	testutil.Write(t, client, head)
	testutil.WaitFor(t, "bytes of the request", func() bool { return socket.HasUnread(conn.Conn) })
	listener.table.closeAllIdle()
	if n, err := conn.Read(buffer); n != len(head) || err != nil {
		t.Fatalf("request that is not read yet: got %d bytes and error %v, want %d bytes", n, err, len(head))
	}
	listener.table.closeAllIdle() // the bytes are read, but net/http has not parsed a request yet
	if _, ok := listener.table.ensureSlot(time.Now(), 0); ok {
		t.Error("got a slot of a request that is being read, want none")
	}
	testutil.Write(t, client, "more")
	if n, err := conn.Read(buffer); n != len("more") || err != nil {
		t.Errorf("rest of the request: got %d bytes and error %v, want 4 bytes", n, err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}

	client, conn = dialAndAccept(t, listener)
	previous := conn.startClose() // the close starts before the request arrives
	testutil.Write(t, client, head)
	testutil.WaitFor(t, "bytes of the request", func() bool { return socket.HasUnread(conn.Conn) })
	if n, err := conn.Read(buffer); n != 0 || err == nil {
		t.Errorf("read of a closing connection: got %d bytes and error %v, want an error", n, err)
	}
	if previous == phaseClosing || conn.startClose() != phaseClosing {
		t.Error("got a wrong previous phase, want phaseClosing from the second startClose only")
	}
	if err := conn.finishClose(); err != nil {
		t.Error(err)
	}

	_, conn = dialAndAccept(t, listener)
	listener.table.handleConnState(conn, http.StateActive)
	listener.table.handleConnState(conn, http.StateIdle) // its response was being written when the shutdown started
	if open, _ := listener.table.counts(); conn.state.phase != phaseClosing || open != 0 {
		t.Errorf("idle in a shutdown: got phase %d and %d open connections, want phaseClosing and none",
			conn.state.phase, open)
	}
}

// A request that was read together with the previous one must not be closed as idle: it would get no answer.
func TestRequestReadWithPreviousOneIsNotClosed(t *testing.T) {
	const head = "GET / HTTP/1.1\r\n\r\n"
	listener := newTestListener(t)
	client, conn := dialAndAccept(t, listener)
	testutil.Write(t, client, head+head)
	testutil.WaitFor(t, "both requests", func() bool { return socket.Unread(conn.Conn) == 2*len(head) })
	if n, err := conn.Read(make([]byte, 100)); n != 2*len(head) || err != nil {
		t.Fatalf("got %d bytes and error %v, want both requests", n, err)
	}
	conn.scanner.startBody(0)
	conn.startResponse()
	listener.table.handleConnState(conn, http.StateIdle) // net/http has the second request, and has not parsed it yet
	listener.table.closeAllIdle()
	if !conn.isReading() {
		t.Errorf("got phase %d, want phaseReading", conn.state.phase)
	}
	conn.scanner.startBody(0)
	conn.startResponse()
	listener.table.handleConnState(conn, http.StateIdle)
	if conn.state.phase != phaseClosing {
		t.Errorf("after the second request: got phase %d, want phaseClosing in a shutdown", conn.state.phase)
	}
}

// failingListener is a listener whose next accept calls fail.
type failingListener struct {
	net.Listener
	failures chan error // causes of the next failures, one for each call
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.failures:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	default:
		return l.Listener.Accept()
	}
}

// Transient failures of accept must neither stop the agent nor delay clients for long.
func TestAcceptFailures(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EPROTO, syscall.EPERM,
		syscall.ENOSR, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ETIMEDOUT} {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			failing := &failingListener{failures: make(chan error, 4)}
			for range cap(failing.failures) {
				failing.failures <- cause
			}
			server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, func(s *Server) {
				failing.Listener = s.listener.inner.Listener
				s.listener.inner.Listener = failing
			})
			client := testutil.Dial(t, server.Addr(), testutil.RawPost(id, ""))
			if status := testutil.ReadStatus(t, client); status != http.StatusOK {
				t.Errorf("after accept failures: got status %d, want 200", status)
			}
		})
	}
}
