package agent

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// holdingServer keeps each request open until the test finishes it.
type holdingServer struct {
	*testutil.Server
	finish chan bool // finishes one request: true responds, false closes its connection
}

func newHoldingServer(t *testing.T) *holdingServer {
	t.Helper()
	h := &holdingServer{finish: make(chan bool)}
	h.Server = testutil.NewServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		return <-h.finish && testutil.Echo(conn, r, body)
	})
	return h
}

// holdingPair is an agent with two holdingServers.
type holdingPair struct {
	agent    *Agent
	servers  [2]*holdingServer
	open     [2]int   // number of open requests at each server
	sent     int      // number of requests sent
	statuses chan int // statuses of the responses
}

func newHoldingPair(t *testing.T) *holdingPair {
	t.Helper()
	p := &holdingPair{
		servers:  [2]*holdingServer{newHoldingServer(t), newHoldingServer(t)},
		statuses: make(chan int, 100),
	}
	p.agent = startAgent(t, newConfig(t, p.servers[0].Server, p.servers[1].Server))
	return p
}

// send sends a request and returns the index of the server that has received it.
func (p *holdingPair) send(t *testing.T) int {
	t.Helper()
	p.sent++
	id := testutil.NthID(p.sent)
	go func() { p.statuses <- requestStatus(t, p.agent, "POST", "/settle", id, "7900") }()
	server := 0
	select {
	case <-p.servers[0].Received:
	case <-p.servers[1].Received:
		server = 1
	case <-time.After(testutil.Timeout):
		t.Fatal("timed out waiting for a request at either endpoint")
	}
	p.open[server]++
	return server
}

// finish finishes one request of a server, by a response or by closing its connection, and checks the status that the
// client gets.
func (p *holdingPair) finish(t *testing.T, server int, respond bool, want int) {
	t.Helper()
	p.servers[server].finish <- respond
	p.open[server]--
	if status := testutil.Receive(t, p.statuses); status != want {
		t.Fatalf("got status %d, want %d", status, want)
	}
}

// closeConnections closes the connections of all open requests.
func (p *holdingPair) closeConnections() {
	for _, server := range p.servers {
		close(server.finish)
	}
}

// Connections that break one by one must not be interpreted as a crash of the endpoint: an endpoint with older open
// requests must stay in use.
func TestBrokenConnectionsWithOpenRequests(t *testing.T) {
	t.Parallel()
	p := newHoldingPair(t)
	defer p.closeConnections()
	for range 7 {
		p.send(t)
	}
	faulty := 0 // the server with at least four open requests
	if p.open[1] > p.open[0] {
		faulty = 1
	}
	p.finish(t, faulty, true, http.StatusOK)
	p.finish(t, faulty, false, http.StatusBadGateway)
	p.finish(t, faulty, false, http.StatusBadGateway)
	for range 3 {
		if p.send(t) == faulty { // faulty has the fewest open requests
			return
		}
	}
	t.Error("no request was sent to an endpoint with an open request after two broken connections")
}

// Queued requests must not occupy all client connections, since the agent would not see the next request. Before that
// happens, the request with the lowest priority must be rejected.
func TestQueueLeavesConnectionsFree(t *testing.T) {
	t.Parallel()
	server := newHoldingServer(t)
	c := newConfig(t, server.Server)
	c.MaxDescriptors = 30 // allow ten open requests, one of which is kept free
	for i := range c.Settings.Classes {
		class := &c.Settings.Classes[i]
		class.Objective, class.Deadline = 10*testutil.Timeout, 10*testutil.Timeout
	}
	c.Settings.Classes[2].Priority, c.Settings.GoalOverall = 10, 1 // class "settle"
	a := startAgent(t, c)
	defer close(server.finish)
	sent := 0
	rejected := make(chan string, 20)
	send := func(method, path string) {
		sent++
		id := testutil.NthID(sent)
		go func() {
			if requestStatus(t, a, method, path, id, "190000") == http.StatusServiceUnavailable {
				rejected <- path
			}
		}()
	}
	for range 4 { // the concurrency limit of one endpoint
		send("POST", "/settle")
		testutil.Receive(t, server.Received)
	}
	send("GET", "/look")
	for range 4 {
		send("POST", "/settle")
	}
	if path := testutil.Receive(t, rejected); path != "/look" {
		t.Errorf("got a rejection of %s, want that of /look, which has the lowest priority", path)
	}
}

// newServerHangingFirst returns a server that does not answer the given number of first requests and echoes the others.
func newServerHangingFirst(t *testing.T, requests int32) *testutil.Server {
	t.Helper()
	var received atomic.Int32
	return testutil.NewServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		if received.Add(1) <= requests {
			return testutil.Hang(conn, r, body)
		}
		return testutil.Echo(conn, r, body)
	})
}

// Lost responses must not be counted as load of their endpoint. Once they are overdue and later responses have arrived,
// the endpoint must be picked like any other.
func TestLostResponsesDoNotCountAsLoad(t *testing.T) {
	t.Parallel()
	const lost = 2
	first, second := newServerHangingFirst(t, lost), testutil.NewServer(t, testutil.Echo)
	service := testutil.NewDiscovery(t)
	c := testutil.Config(t, service.Addr, testutil.EntryJSON("s0", first.Addr(), "SERVING"))
	for i := range c.Settings.Classes {
		class := &c.Settings.Classes[i]
		class.Objective, class.Deadline = 200*time.Millisecond, 3*testutil.Timeout
	}
	a := startAgent(t, c)
	sent := 0
	send := func() {
		sent++
		if status := requestStatus(t, a, "POST", "/settle", testutil.NthID(sent), "60000"); status != http.StatusOK {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	for i := range lost { // the clients of these requests stay connected until the end of the test
		testutil.Dial(t, a.Addr(), fmt.Sprintf("POST /settle HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\n"+
			"X-Budget-Ms: 60000\r\nContent-Length: 0\r\n\r\n", testutil.NthID(1000000+i)))
		testutil.Receive(t, first.Received)
	}
	send()
	testutil.Receive(t, first.Received)
	service.Lines <- `{"version":2,"full":false,"servers":[` + testutil.EntryJSON("s1", second.Addr(), "SERVING") + `]}`
	testutil.WaitFor(t, "the second endpoint", func() bool { return isServing(a, "s1") })
	used := false // the second endpoint has received a request
	for range 1000 {
		send()
		select {
		case <-first.Received:
			if used {
				return
			}
		case <-second.Received:
			used = true
		}
	}
	t.Error("none of 1000 sequential requests was sent to an endpoint that has lost two responses")
}
