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

// reclaimImmediately has a server reclaim connections as soon as their response is out, but not those whose first request
// has yet to come: on a slow machine that takes a while.
func reclaimImmediately(s *Server) {
	s.Timeouts.ReclaimIdle, s.Timeouts.ReclaimUnused = time.Millisecond, testutil.Timeout
}

// Idle clients must not take all descriptors, be it that they keep a connection for good after one request, or that
// they connect by hundreds and stay silent.
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
					t.Fatalf("request %d: status %d", i, status)
				}
			}
			response, _ := testutil.Do(t, server.Addr(), "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "7000")
			if response.StatusCode != http.StatusOK {
				t.Errorf("status %d behind idle connections", response.StatusCode)
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
	second := testutil.Dial(t, server.Addr(), testutil.RawPost(otherID, "")) // waits in the system's queue
	if wait, ok := server.connections.ensureSlot(time.Now().Add(time.Hour)); ok {
		t.Errorf("a slot was freed under an open request (wait %v)", wait)
	}
	close(gate)
	if status := testutil.ReadStatus(t, first); status != http.StatusOK {
		t.Errorf("first request: status %d", status)
	}
	if status := testutil.ReadStatus(t, second); status != http.StatusOK {
		t.Errorf("second request: status %d", status)
	}
}

// Clients that keep a connection after one request, for as long as it may not be reclaimed, must not keep others out:
// near the limit, each connection is closed with its response.
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
			t.Fatalf("request %d: status %d", i, status)
		}
	}
}

// dialAndAccept connects to a listener and returns both ends of the connection.
func dialAndAccept(t *testing.T, listener *connectionListener) (client net.Conn, accepted *connection) {
	t.Helper()
	client = testutil.Dial(t, listener.Addr(), "")
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted, ok := conn.(*connection)
	if !ok {
		t.Fatalf("accepted a %T", conn)
	}
	listener.table.handleConnState(accepted, http.StateNew)
	return client, accepted
}

// newTestListener returns a listener with one slot, which reclaims idle connections at once.
func newTestListener(t *testing.T) *connectionListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := newConnectionTable(1, &Timeouts{ReadStall: testutil.Timeout})
	listener := newConnectionListener(inner, table, testutil.NewLogger(&testutil.Log{}))
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// A shutdown, or a lack of slots, must not close a connection under a request which has come but is not read yet, or
// is being read: whichever of the two is first has the connection.
func TestPendingRequestIsNotClosed(t *testing.T) {
	listener := newTestListener(t)
	buffer := make([]byte, 10)

	client, conn := dialAndAccept(t, listener)
	testutil.Write(t, client, "request")
	testutil.WaitFor(t, "its bytes", func() bool { return socket.HasUnread(conn.Conn) })
	listener.table.closeAllIdle()
	if n, err := conn.Read(buffer); n != len("request") || err != nil {
		t.Fatalf("a request that waits to be read: %d bytes, %v", n, err)
	}
	listener.table.closeAllIdle() // read, but net/http has not made a request of it yet
	if _, ok := listener.table.ensureSlot(time.Now()); ok {
		t.Error("a slot was freed under a request that is being read")
	}
	testutil.Write(t, client, "more")
	if n, err := conn.Read(buffer); n != len("more") || err != nil {
		t.Errorf("the rest of a request: %d bytes, %v", n, err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}

	client, conn = dialAndAccept(t, listener)
	previous := conn.startClose() // it was about to be closed as the request came
	testutil.Write(t, client, "request")
	testutil.WaitFor(t, "its bytes", func() bool { return socket.HasUnread(conn.Conn) })
	if n, err := conn.Read(buffer); n != 0 || err == nil {
		t.Errorf("read %d bytes of a closing connection, %v", n, err)
	}
	if previous == phaseClosing || conn.startClose() != phaseClosing {
		t.Error("a connection must begin to close once")
	}
	if err := conn.finishClose(); err != nil {
		t.Error(err)
	}

	_, conn = dialAndAccept(t, listener)
	listener.table.handleConnState(conn, http.StateActive)
	listener.table.handleConnState(conn, http.StateIdle) // its response was on its way out as the shutdown began
	if open, _ := listener.table.counts(); conn.state.phase != phaseClosing || open != 0 {
		t.Errorf("idle in a shutdown: phase %d, %d open", conn.state.phase, open)
	}
}

// failingListener is a listener whose next calls of accept fail.
type failingListener struct {
	net.Listener
	failures chan error // one for each of the next calls
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

// Calls of accept that fail for a moment must not end the agent, nor keep a client out for long.
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
				failing.Listener = s.listener.Listener
				s.listener.Listener = failing
			})
			client := testutil.Dial(t, server.Addr(), testutil.RawPost(id, ""))
			if status := testutil.ReadStatus(t, client); status != http.StatusOK {
				t.Errorf("status %d after accept failed", status)
			}
		})
	}
}
