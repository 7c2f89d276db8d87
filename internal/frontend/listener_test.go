package frontend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

const id = testutil.RequestID

// impatient has an agent make room at once of connections whose request is over, but not of those whose first has
// yet to come: on a slow machine that takes a while.
func reclaimAtOnce(s *Server) {
	s.Timeouts.ReclaimIdle, s.Timeouts.ReclaimUnused = time.Millisecond, testutil.Timeout
}

// Guards against running out of descriptors: seen on a day on which clients ask once and keep their
// connection for good, and one on which they connect by hundreds and say nothing.
func TestConnectionsThatStay(t *testing.T) {
	for _, tt := range []struct{ name, say string }{{"silent", ""}, {"asked once", testutil.Post(id, "")}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := testutil.Config(t, "127.0.0.1:1")
			c.Sockets = 8 // 4 for clients
			s, _ := startServer(t, c, echo, func(s *Server) {
				if reclaimAtOnce(s); tt.say == "" {
					s.Timeouts.ReclaimUnused = time.Millisecond
				}
			})
			for i := range 12 {
				conn := testutil.Dial(t, s.Addr(), strings.Replace(tt.say, id, fmt.Sprintf("%016x", i), 1))
				if tt.say != "" && testutil.ReadStatus(t, conn) != 200 {
					t.Fatalf("request %d was not served", i)
				}
			}
			if resp, _ := testutil.Do(t, s.Addr(), "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
				t.Errorf("status %d behind connections that stay", resp.StatusCode)
			}
		})
	}
}

// Guards against making room by closing a connection with a request on it.
func TestRoomIsNotMadeOfRequests(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	submitted := make(chan *Request, 2)
	c := testutil.Config(t, "127.0.0.1:1")
	c.Sockets = 2 // 1 for clients
	s, _ := startServer(t, c, func(r *Request) {
		submitted <- r
		<-gate
		echo(r)
	}, reclaimAtOnce)
	first := testutil.Dial(t, s.Addr(), testutil.Post(id, ""))
	testutil.Receive(t, submitted)
	second := testutil.Dial(t, s.Addr(), testutil.Post(id[:15]+"2", "")) // waits in the system's queue
	if wait, ok := s.listener.freeSlot(time.Now().Add(time.Hour)); ok {
		t.Errorf("room was made of an open request (%v)", wait)
	}
	close(gate)
	if got := testutil.ReadStatus(t, first); got != 200 {
		t.Errorf("the first one got %d", got)
	}
	if got := testutil.ReadStatus(t, second); got != 200 {
		t.Errorf("the second one got %d", got)
	}
}

// Guards against a request inside the body of another, and against waiting for bodies that are not owed:
// each is answered from its head alone, and its connection closed.
func TestFraming(t *testing.T) {
	t.Parallel()
	s, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	hidden := testutil.Post(id[:15]+"9", "Content-Length: 0\r\n")
	chunk := "0\r\n\r\n" + hidden
	for _, tt := range []struct {
		name, text string
		want       int
	}{
		{"length and encoding", testutil.Post(id, fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(chunk))) + chunk, 411},
		{"encoding and length", testutil.Post(id, fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(chunk))) + chunk, 411},
		{"encoding alone", testutil.Post(id, "Transfer-Encoding: chunked\r\n") + chunk, 411},
		{"encoding in HTTP/1.0", strings.Replace(testutil.Post(id, "Connection: keep-alive\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n"), "/1.1", "/1.0", 1) + chunk, 505},
		{"an unknown encoding", testutil.Post(id, "Transfer-Encoding: gzip\r\n") + hidden, 501},
		{"two lengths", testutil.Post(id, "Content-Length: 4\r\nContent-Length: 9\r\n") + hidden, 400},
		{"a negative length", testutil.Post(id, "Content-Length: -1\r\n") + hidden, 400},
		{"a signed length", testutil.Post(id, "Content-Length: +4\r\n") + hidden, 400},
		{"a huge length", testutil.Post(id, "Content-Length: 3000000000\r\n") + hidden, 413},
		{"a length beyond numbers", testutil.Post(id, "Content-Length: 99999999999999999999\r\n") + hidden, 400},
		{"an endless head", testutil.Post(id, strings.Repeat("A: b\r\n", 1<<13)), 431},
		{"two ids", testutil.Post(id, "X-Call-Id: "+id[:15]+"2\r\nContent-Length: 0\r\n") + hidden, 400},
		{"two budgets", testutil.Post(id, "X-Budget-Ms: 1\r\n") + hidden, 400},
		{"an unsafe class with a key", testutil.Post(id, "Idempotency-Key: k\r\n") + hidden, 400},
		{"an unknown class with a body that never comes", strings.Replace(testutil.Post(id, "Content-Length: 100\r\n"), "settle", "x", 1), 404},
	} {
		c := testutil.Dial(t, s.Addr(), tt.text)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != tt.want {
			t.Errorf("%s: status %d, want %d", tt.name, resp.StatusCode, tt.want)
		}
		if n, err := in.Discard(1); n != 0 || isTimeout(err) {
			t.Errorf("%s: the connection goes on", tt.name)
		}
	}
	if n := loop.submitted.Load(); n != 0 {
		t.Errorf("the event loop got %d requests", n)
	}
}

// Guards against clients that begin a request and never end it.
func TestHalfRequests(t *testing.T) {
	t.Parallel()
	s, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	texts := []string{"", "POST /settle HTTP/1.1\r\nHo", testutil.Post(id, "Content-Length: 10\r\n") + "half"}
	var conns []net.Conn
	for _, text := range texts {
		conns = append(conns, testutil.Dial(t, s.Addr(), text))
	}
	for i, c := range conns {
		if _, err := io.Copy(io.Discard, c); isTimeout(err) { // ends once the agent has closed it
			t.Errorf("%q was kept", texts[i])
		}
	}
}

// Guards against clients that ask once and keep their connection, for as long as it may not be closed: they
// took all, and the next request waited unseen before an idle agent.
func TestCrowdedConnectionsCloseWithTheAnswer(t *testing.T) {
	t.Parallel()
	c := testutil.Config(t, "127.0.0.1:1")
	c.Sockets = 8 // 4 for clients
	s, _ := startServer(t, c, echo, func(s *Server) {
		s.Timeouts.ReclaimIdle = time.Hour
		s.Timeouts.Idle = time.Hour
	})
	for i := range 6 {
		conn := testutil.Dial(t, s.Addr(), testutil.Post(fmt.Sprintf("%016x", i), ""))
		if got := testutil.ReadStatus(t, conn); got != 200 {
			t.Fatalf("request %d: status %d", i, got)
		}
	}
}

// Guards against a stop, or a lack of room, that closes a connection under a request which has come but is not read
// yet, or is being read: whichever of the two is first has the connection.
func TestNoCloseUnderARequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clients := newListener(l, 1, &Timeouts{})
	defer clients.Close()
	connect := func() (client net.Conn, c *connection) {
		if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		nc, err := clients.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c = nc.(*connection)
		clients.trackState(c, http.StateNew)
		return client, c
	}
	buf := make([]byte, 10)

	client, c := connect()
	io.WriteString(client, "request")
	testutil.Eventually(t, "its bytes", func() bool { return socket.HasUnread(c.Conn) })
	clients.closeAllIdle()
	if n, err := c.Read(buf); n != 7 || err != nil {
		t.Fatalf("a request that waits to be read: %d bytes, %v", n, err)
	}
	clients.closeAllIdle() // read, but net/http has not made a request of it yet
	if _, ok := clients.freeSlot(time.Now()); ok {
		t.Error("room was made of a connection whose request is being read")
	}
	io.WriteString(client, "more")
	if n, err := c.Read(buf); n != 4 || err != nil {
		t.Errorf("the rest of a request: %d bytes, %v", n, err)
	}
	c.Close()

	client, c = connect()
	clients.mu.Lock()
	first := c.retire() // it was about to be closed as the request came
	clients.mu.Unlock()
	io.WriteString(client, "request")
	testutil.Eventually(t, "its bytes", func() bool { return socket.HasUnread(c.Conn) })
	if n, err := c.Read(buf); n != 0 || err == nil {
		t.Errorf("read %d bytes of a connection that is out of use, %v", n, err)
	}
	if !first || c.retire() {
		t.Error("a connection is to be shut once")
	}
	c.closeRetired()

	_, c = connect()
	clients.trackState(c, http.StateActive)
	clients.trackState(c, http.StateIdle) // its answer was on its way out as the drain began
	if !c.retired || clients.open != 0 {
		t.Errorf("at rest in a drain: gone %v, %d open", c.retired, clients.open)
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
