package frontend

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/membudget"
	"ashshunt/internal/testutil"
)

// Two valid request IDs.
const (
	id      = testutil.RequestID
	otherID = "00000000000000a2"
)

// fakeEventLoop is an event loop whose responses are determined by the test.
type fakeEventLoop struct {
	respond        func(*Request)
	submittedCount atomic.Int32
	received       chan *Request
	abandoned      chan *Request
	ready          chan struct{}
	done           chan struct{}
	noEndpoint     atomic.Bool
}

func newFakeEventLoop(respond func(*Request)) *fakeEventLoop {
	return &fakeEventLoop{
		respond:   respond,
		received:  make(chan *Request, 100),
		abandoned: make(chan *Request, 100),
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
	}
}

func (l *fakeEventLoop) Submit(r *Request) {
	l.submittedCount.Add(1)
	l.received <- r
	go l.respond(r)
}

func (l *fakeEventLoop) Abandon(r *Request)       { l.abandoned <- r }
func (l *fakeEventLoop) Ready() <-chan struct{}   { return l.ready }
func (l *fakeEventLoop) Done() <-chan struct{}    { return l.done }
func (l *fakeEventLoop) HasServingEndpoint() bool { return !l.noEndpoint.Load() }

// echo responds with the body of the request after the prefix "did ".
func echo(r *Request) {
	r.Respond(Response{Status: http.StatusOK, Body: append([]byte("did "), r.Body...)})
}

// startServer runs a server until the end of the test, with an event loop that has taken its first step. configure is
// called before the server starts, unless it is nil.
func startServer(t *testing.T, c *config.Config, respond func(*Request),
	configure func(*Server)) (*Server, *fakeEventLoop) {
	t.Helper()
	loop := newFakeEventLoop(respond)
	close(loop.ready)
	return startServerWithLoop(t, c, loop, configure), loop
}

// startServerWithLoop is like startServer, but uses the given event loop.
func startServerWithLoop(t *testing.T, c *config.Config, loop *fakeEventLoop, configure func(*Server)) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener, c, clock.New(), loop, newBudget(), testutil.NewLogger(&testutil.Log{}))
	if configure != nil {
		configure(server)
	}
	serveUntilEnd(t, server)
	return server
}

// serveUntilEnd runs a server until the end of the test.
func serveUntilEnd(t *testing.T, server *Server) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve() }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error("Close:", err)
		}
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error("Serve:", err)
		}
	})
}

// newBudget returns a memory budget that does not limit a test.
func newBudget() *membudget.Budget {
	return membudget.New(256<<20, testutil.NewLogger(&testutil.Log{}))
}
