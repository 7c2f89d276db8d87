package frontend

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/membudget"
	"ashshunt/internal/testutil"
)

const longBodySize = 60000

// smallBudget returns a budget that allows one long body at a time.
func smallBudget() *membudget.Budget {
	const bodies, parts = 1 << 16, 8 // bodies get an eighth of the budget
	return membudget.New(bodies*parts, testutil.NewLogger(&testutil.Log{}))
}

// startServerWithBudget starts a server with the given budget and loop.
func startServerWithBudget(t *testing.T, budget *membudget.Budget, loop *fakeEventLoop) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener, testutil.Config(t, "127.0.0.1:1"), clock.New(), loop, budget,
		testutil.NewLogger(&testutil.Log{}))
	serveUntilEnd(t, server)
	return server
}

// longPost returns a request with a long body.
func longPost(id string) string {
	return testutil.RawPost(id, fmt.Sprintf("Content-Length: %d\r\n", longBodySize)) + strings.Repeat("x", longBodySize)
}

// expectBalance waits until no memory of a budget is reserved.
func expectBalance(t *testing.T, budget *membudget.Budget) {
	t.Helper()
	testutil.WaitFor(t, "the release of all memory", func() bool { return budget.Used() == 0 })
}

// releaseAndRespond responds to a request as the event loop does.
func releaseAndRespond(r *Request) {
	r.Respond(Response{Status: http.StatusOK, Body: r.Body})
	r.Memory.Release()
}

// A head of very many short fields costs many times its length once it is parsed, so it is rejected before that,
// complete or not.
func TestHeadsOfManyFieldsAreRejected(t *testing.T) {
	for _, end := range []string{"", "\r\n"} {
		server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
		head := strings.TrimSuffix(testutil.RawGet(id), "\r\n") + strings.Repeat("a: b\r\n", maxHeadFields+1) + end
		client := testutil.Dial(t, server.Addr(), head)
		if status := testutil.ReadStatus(t, client); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("head that ends with %q: got status %d, want 431", end, status)
		}
		if count := loop.submittedCount.Load(); count != 0 {
			t.Errorf("head that ends with %q: got %d requests submitted, want none", end, count)
		}
	}
}

// With all slots taken by clients that have stopped within a request, the one that has stalled for longest gives up its
// slot, and is told that a retry is safe.
func TestStalledClientsAreEvictedForOthers(t *testing.T) {
	for name, text := range incompleteRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := testutil.Config(t, "127.0.0.1:1")
			config.MaxDescriptors = 4 // 2 for clients
			server, _ := startServer(t, config, echo, nil)
			first := testutil.Dial(t, server.Addr(), text)
			waitForIncomplete(t, server, 1)
			second := testutil.Dial(t, server.Addr(), text)
			waitForIncomplete(t, server, 2)
			third := testutil.Dial(t, server.Addr(), testutil.RawPost(otherID, ""))
			if status := testutil.ReadStatus(t, third); status != http.StatusOK {
				t.Errorf("got status %d for a whole request, want 200", status)
			}
			if status := testutil.ReadStatus(t, first); status != http.StatusServiceUnavailable {
				t.Errorf("got status %d for the client that stalled first, want 503", status)
			}
			if status := testutil.ReadStatus(t, second); status != http.StatusRequestTimeout {
				t.Errorf("got status %d for the client that stalled second, want 408", status)
			}
		})
	}
}

// waitForIncomplete waits until the given number of connections have started a request.
func waitForIncomplete(t *testing.T, server *Server, count int) {
	t.Helper()
	testutil.WaitFor(t, "the start of a request", func() bool {
		open, idle := server.ConnectionCounts()
		return open-idle == count
	})
}

// A long body for which there is no memory waits in the socket, and is rejected if none is released in time. Requests
// without a long body are not affected.
func TestLongBodiesWaitForMemory(t *testing.T) {
	t.Parallel()
	budget := smallBudget()
	submitted := make(chan *Request, 3)
	loop := newFakeEventLoop(func(r *Request) { submitted <- r })
	close(loop.ready)
	server := startServerWithBudget(t, budget, loop)
	first := testutil.Dial(t, server.Addr(), longPost(testutil.NthID(1)))
	holder := testutil.Receive(t, submitted)

	rejected := testutil.Dial(t, server.Addr(), longPost(testutil.NthID(2)))
	if status := testutil.ReadStatus(t, rejected); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d without memory, want 503", status)
	}
	short := testutil.Dial(t, server.Addr(), testutil.RawPost(testutil.NthID(3), ""))
	releaseAndRespond(testutil.Receive(t, submitted))
	if status := testutil.ReadStatus(t, short); status != http.StatusOK {
		t.Errorf("got status %d for a short request, want 200", status)
	}
	waiting := testutil.Dial(t, server.Addr(), longPost(testutil.NthID(4)))
	testutil.WaitFor(t, "the wait for memory", func() bool { return budget.Waiting(membudget.Bodies) == 1 })
	releaseAndRespond(holder)
	if status := testutil.ReadStatus(t, first); status != http.StatusOK {
		t.Errorf("got status %d for the first request, want 200", status)
	}
	releaseAndRespond(testutil.Receive(t, submitted))
	if status := testutil.ReadStatus(t, waiting); status != http.StatusOK {
		t.Errorf("got status %d for the request that waited, want 200", status)
	}
	for _, client := range []net.Conn{first, short, waiting} {
		_ = client.Close() // an error does not affect the test
	}
	expectBalance(t, budget)
}

// The waits of a request for several kinds of memory have one limit.
func TestMemoryWaitsAreAddedUp(t *testing.T) {
	t.Parallel()
	table, c, client, _ := newTestTable(t)
	receiveBytes(t, c, client, "GET")
	if err := c.handleReadable(); err != nil {
		t.Fatal(err)
	}
	c.recordHead(time.Now(), true, time.Second)
	first := c.memoryWait()
	if want := 600 * time.Millisecond; first != want {
		t.Errorf("got a wait of %v, want %v", first, want)
	}
	const waited = 20 * time.Millisecond
	c.setWaiting(true)
	time.Sleep(waited)
	c.setWaiting(false)
	if left := c.memoryWait(); left > first-waited {
		t.Errorf("got a second wait of %v, want at most %v", left, first-waited)
	}
	if _, ok := table.memoryWaited(); ok {
		t.Error("got a request that waits, want none")
	}
}

// A client that stops within a long body gives up its memory to others.
func TestStalledBodyIsEvictedForMemory(t *testing.T) {
	t.Parallel()
	budget := smallBudget()
	loop := newFakeEventLoop(releaseAndRespond)
	close(loop.ready)
	server := startServerWithBudget(t, budget, loop)
	whole := longPost(testutil.NthID(1))
	stalled := testutil.Dial(t, server.Addr(), whole[:len(whole)-100])
	testutil.WaitFor(t, "the reservation", func() bool { return budget.Used() >= longBodySize })
	other := testutil.Dial(t, server.Addr(), longPost(testutil.NthID(2)))
	if status := testutil.ReadStatus(t, other); status != http.StatusOK {
		t.Errorf("got status %d for a whole request, want 200", status)
	}
	if status := testutil.ReadStatus(t, stalled); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d for the client that stalled, want 503", status)
	}
	_ = other.Close() // an error does not affect the test
	expectBalance(t, budget)
}

// A long body that is written slowly, or only after an interim response, is served. It counts as arrived with its last
// byte.
func TestSlowLongBodies(t *testing.T) {
	for _, expectsContinue := range []bool{false, true} {
		t.Run(fmt.Sprint("expects 100: ", expectsContinue), func(t *testing.T) {
			t.Parallel()
			budget := smallBudget()
			loop := newFakeEventLoop(releaseAndRespond)
			close(loop.ready)
			server := startServerWithBudget(t, budget, loop)
			client, writtenAt := writeSlowly(t, server, expectsContinue)
			if status := testutil.ReadStatus(t, client); status != http.StatusOK {
				t.Fatalf("got status %d, want 200", status)
			}
			if request := testutil.Receive(t, loop.received); request.ArrivedAt < writtenAt {
				t.Errorf("got an arrival %v before the last byte", writtenAt-request.ArrivedAt)
			}
			_ = client.Close() // an error does not affect the test
			expectBalance(t, budget)
		})
	}
}

// writeSlowly sends a request with a long body in parts. It returns the time at which it has written the last byte.
func writeSlowly(t *testing.T, server *Server, expectsContinue bool) (client net.Conn, writtenAt time.Duration) {
	t.Helper()
	headers := fmt.Sprintf("Content-Length: %d\r\n", longBodySize)
	if expectsContinue {
		headers += "Expect: 100-continue\r\n"
	}
	client = testutil.Dial(t, server.Addr(), testutil.RawPost(id, headers))
	if expectsContinue {
		if status := testutil.ReadStatus(t, client); status != http.StatusContinue {
			t.Fatalf("got status %d, want 100", status)
		}
	}
	body := strings.Repeat("x", longBodySize)
	for _, part := range []string{body[:100], body[100:30000], body[30000 : longBodySize-1]} {
		testutil.Write(t, client, part)
		time.Sleep(bodyStallTimeout / 2)
	}
	writtenAt = server.handler.clock.Now()
	testutil.Write(t, client, body[longBodySize-1:])
	return client, writtenAt
}

// A client that stops within a long body costs no memory for it while others need that.
func TestHalfBodiesHoldNoMemoryThatOthersNeed(t *testing.T) {
	t.Parallel()
	budget := smallBudget()
	submitted := make(chan *Request, 2)
	loop := newFakeEventLoop(func(r *Request) { submitted <- r })
	close(loop.ready)
	server := startServerWithBudget(t, budget, loop)
	testutil.Dial(t, server.Addr(), longPost(testutil.NthID(1)))
	holder := testutil.Receive(t, submitted)
	for i := range 5 {
		whole := longPost(testutil.NthID(10 + i))
		testutil.Dial(t, server.Addr(), whole[:len(whole)-1])
	}
	waitForIncomplete(t, server, 6)
	time.Sleep(2 * bodyStallTimeout)
	if waiting := budget.Waiting(membudget.Bodies); waiting != 0 {
		t.Errorf("got %d half bodies that wait for memory, want none", waiting)
	}
	whole := testutil.Dial(t, server.Addr(), longPost(testutil.NthID(2)))
	testutil.WaitFor(t, "the wait for memory", func() bool { return budget.Waiting(membudget.Bodies) == 1 })
	releaseAndRespond(holder)
	releaseAndRespond(testutil.Receive(t, submitted))
	if status := testutil.ReadStatus(t, whole); status != http.StatusOK {
		t.Errorf("got status %d for the whole request, want 200", status)
	}
}

// Whatever becomes of a request, its memory is released.
func TestMemoryIsReleasedOnEveryPath(t *testing.T) {
	body := strings.Repeat("x", longBodySize)
	malformed := strings.Replace(testutil.RawPost(id, ""), "X-Budget-Ms", "X-Other", 1)
	withBody := func(headers string) string {
		return testutil.RawPost(id, fmt.Sprintf("Content-Length: %d\r\n%s", longBodySize, headers))
	}
	longField := "X-Long: " + strings.Repeat("v", 4000) + "\r\n"
	abandon := func(*Request) {} // the loop's hold is released below
	for _, test := range []struct {
		name, text string
		respond    func(*Request)
		leave      bool // the client closes its connection at once
	}{
		{"served", withBody(longField) + body, releaseAndRespond, false},
		{"no class", strings.Replace(withBody(""), "/settle", "/none", 1) + body, releaseAndRespond, false},
		{"malformed head", malformed, releaseAndRespond, false},
		{"head that is too long", testutil.RawPost(id, strings.Repeat(longField, 4)), releaseAndRespond, false},
		{"client leaves within the head", "POST /settle HTTP/1.1\r\n" + longField, releaseAndRespond, true},
		{"client leaves within the body", withBody("") + body[:100], releaseAndRespond, true},
		{"client leaves before the response", withBody("") + body, abandon, true},
		{"two requests at once", testutil.RawPost(id, "") + testutil.RawPost(otherID, longField), releaseAndRespond,
			false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			budget := membudget.New(32<<20, testutil.NewLogger(&testutil.Log{}))
			loop := newFakeEventLoop(test.respond)
			close(loop.ready)
			server := startServerWithBudget(t, budget, loop)
			client := testutil.Dial(t, server.Addr(), test.text)
			if !test.leave {
				testutil.ReadStatus(t, client)
			} else if strings.HasSuffix(test.name, "response") {
				request := testutil.Receive(t, loop.received)
				_ = client.Close() // an error does not affect the test
				testutil.Receive(t, loop.abandoned)
				request.Memory.Release()
			}
			_ = client.Close() // an error does not affect the test
			expectBalance(t, budget)
			testutil.WaitFor(t, "the close", func() bool { open, _ := server.ConnectionCounts(); return open == 0 })
		})
	}
}

// A client that does not read its response must not hold its memory for longer than its timeout and some slack.
func TestUnreadResponseIsGivenUp(t *testing.T) {
	t.Parallel()
	budget := newBudget()
	const responseSize = 32 << 20 // more than the buffers of the system hold
	loop := newFakeEventLoop(func(r *Request) {
		r.Respond(Response{Status: http.StatusOK, Body: make([]byte, responseSize)})
		r.Memory.Release()
	})
	close(loop.ready)
	server := startServerWithBudget(t, budget, loop)
	text := strings.Replace(testutil.RawPost(id, ""), "7000", "100", 1)
	testutil.Dial(t, server.Addr(), text)
	testutil.Receive(t, loop.received)
	testutil.WaitFor(t, "the end of the connection", func() bool {
		open, _ := server.ConnectionCounts()
		return open == 0
	})
	expectBalance(t, budget)
}

// The timeout of a request counts from its last byte, also if its connection has waited in the accept queue since.
func TestWaitForSlotCountsForTheDeadline(t *testing.T) {
	t.Parallel()
	for name, body := range map[string]string{
		"none": "", "short": "body", "read in parts": strings.Repeat("x", 8<<10),
		"long": strings.Repeat("x", longBodySize),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			verifyWaitForSlot(t, body)
		})
	}
}

// verifyWaitForSlot verifies that the arrival of a request with a body is not the end of its wait in the accept queue.
func verifyWaitForSlot(t *testing.T, body string) {
	t.Helper()
	const held = 200 * time.Millisecond
	config := testutil.Config(t, "127.0.0.1:1")
	config.MaxDescriptors = 2 // 1 for clients
	submitted := make(chan *Request, 2)
	server, _ := startServer(t, config, func(r *Request) { submitted <- r }, reclaimImmediately)
	testutil.Dial(t, server.Addr(), testutil.RawPost(id, ""))
	holder := testutil.Receive(t, submitted)
	text := testutil.RawPost(otherID, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
	testutil.Dial(t, server.Addr(), text) // waits in the accept queue
	time.Sleep(held)
	releasedAt := server.handler.clock.Now()
	releaseAndRespond(holder)
	if waited := releasedAt - testutil.Receive(t, submitted).ArrivedAt; waited < held/2 {
		t.Errorf("got an arrival %v before the end of the wait of %v, want the time of the last byte", waited, held)
	}
}

// The timeout of a request counts from its last byte, also if the request has waited for memory since.
func TestWaitForMemoryCountsForTheDeadline(t *testing.T) {
	t.Parallel()
	const held = 150 * time.Millisecond
	budget := smallBudget()
	submitted := make(chan *Request, 2)
	loop := newFakeEventLoop(func(r *Request) { submitted <- r })
	close(loop.ready)
	agentClock := clock.New()
	server := startServerWithBudget(t, budget, loop)
	server.handler.clock = agentClock
	testutil.Dial(t, server.Addr(), longPost(testutil.NthID(1)))
	holder := testutil.Receive(t, submitted)
	// The rest of the body is in the socket while the request waits.
	testutil.Dial(t, server.Addr(), longPost(testutil.NthID(2)))
	testutil.WaitFor(t, "the wait for memory", func() bool { return budget.Waiting(membudget.Bodies) == 1 })
	waitingSince := agentClock.Now()
	time.Sleep(held)
	releaseAndRespond(holder)
	request := testutil.Receive(t, submitted)
	if late := request.ArrivedAt - waitingSince; late > held/2 {
		t.Errorf("got an arrival %v after the start of the wait of %v, want the time of the last byte", late, held)
	}
	releaseAndRespond(request)
}
