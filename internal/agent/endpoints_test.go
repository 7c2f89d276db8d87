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

// holdingServer keeps each request open until the test ends it.
type holdingServer struct {
	*testutil.Server
	finish chan bool // ends one request: by a response, or else by breaking its connection
}

func newHoldingServer(t *testing.T) *holdingServer {
	t.Helper()
	h := &holdingServer{finish: make(chan bool)}
	h.Server = testutil.NewServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		return <-h.finish && testutil.Echo(conn, r, body)
	})
	return h
}

// holdingPair is an agent with two servers that hold its requests.
type holdingPair struct {
	agent    *Agent
	servers  [2]*holdingServer
	open     [2]int // requests at each server
	sent     int
	statuses chan int
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

// send sends one more request and returns which server has got it.
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
		t.Fatal("a request reached no endpoint")
	}
	p.open[server]++
	return server
}

// finish ends one request of a server, by a response or by breaking its connection, and checks what its client gets.
func (p *holdingPair) finish(t *testing.T, server int, respond bool, want int) {
	t.Helper()
	p.servers[server].finish <- respond
	p.open[server]--
	if status := testutil.Receive(t, p.statuses); status != want {
		t.Fatalf("status %d, want %d", status, want)
	}
}

// closeConnections breaks the connections of all open requests.
func (p *holdingPair) closeConnections() {
	for _, server := range p.servers {
		close(server.finish)
	}
}

// Connections that break one by one do not pass for a process that died: while older requests are open at an endpoint,
// it stays in use.
func TestBrokenConnectionsWithOpenRequests(t *testing.T) {
	t.Parallel()
	p := newHoldingPair(t)
	defer p.closeConnections()
	for range 7 {
		p.send(t)
	}
	faulty := 0 // the one that has got at least four of them
	if p.open[1] > p.open[0] {
		faulty = 1
	}
	p.finish(t, faulty, true, http.StatusOK)
	p.finish(t, faulty, false, http.StatusBadGateway)
	p.finish(t, faulty, false, http.StatusBadGateway)
	for range 3 {
		if p.send(t) == faulty { // which has the least open
			return
		}
	}
	t.Error("nothing goes to an endpoint with a request open, after two broken connections")
}

// Queued requests must not take all of the clients' connections, since the next request would wait unseen: before that,
// the one with the lowest priority is rejected.
func TestQueueLeavesConnectionsFree(t *testing.T) {
	t.Parallel()
	server := newHoldingServer(t)
	c := newConfig(t, server.Server)
	c.Descriptors = 30 // ten open requests, of which one is kept free
	for i := range c.Settings.Classes {
		class := &c.Settings.Classes[i]
		class.Objective, class.Deadline = 10*testutil.Timeout, 10*testutil.Timeout
	}
	c.Settings.Classes[2].Priority, c.Settings.GoalOverall = 10, 1 // settle
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
	for range 4 { // what one endpoint gets at once
		send("POST", "/settle")
		testutil.Receive(t, server.Received)
	}
	send("GET", "/look")
	for range 4 {
		send("POST", "/settle")
	}
	if path := testutil.Receive(t, rejected); path != "/look" {
		t.Errorf("%s was rejected, and not the request with the lowest priority", path)
	}
}

// newServerHangingFirst returns a server that never answers its first requests, and echoes the others.
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

// Responses that never come must not pass for load on their endpoint: once they are overdue, and later ones have come,
// it is as good as any other.
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
			t.Fatalf("status %d", status)
		}
	}
	for i := range lost { // their clients disconnect at the end of the test
		testutil.Dial(t, a.Addr(), fmt.Sprintf("POST /settle HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\n"+
			"X-Budget-Ms: 60000\r\nContent-Length: 0\r\n\r\n", testutil.NthID(1000000+i)))
		testutil.Receive(t, first.Received)
	}
	send()
	testutil.Receive(t, first.Received)
	service.Lines <- `{"version":2,"full":false,"servers":[` + testutil.EntryJSON("s1", second.Addr(), "SERVING") + `]}`
	testutil.WaitFor(t, "the second endpoint", func() bool { return isServing(a, "s1") })
	used := false // the second endpoint; from then on the first is not the only one
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
	t.Error("of 1000 requests, one at a time, none went to an endpoint that has lost two responses")
}
