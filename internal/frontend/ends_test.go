package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// expectAnswerWithoutReset reads a response with the given status and then to the end of the connection, which must not
// be a reset: on a network the reset can overtake the response.
func expectAnswerWithoutReset(t *testing.T, client net.Conn, status int) {
	t.Helper()
	in := bufio.NewReader(client)
	if response := testutil.ReadResponse(t, in); response.StatusCode != status {
		t.Errorf("got status %d, want %d", response.StatusCode, status)
	}
	if _, err := io.Copy(io.Discard, in); err != nil {
		t.Errorf("got error %v behind the response, want the end of the connection", err)
	}
}

// A client that is evicted gets its 503 although the rest of its request comes later.
func TestRestOfEvictedRequestDoesNotResetItsAnswer(t *testing.T) {
	t.Parallel()
	for _, length := range []int{100, 20000} {
		config := testutil.Config(t, "127.0.0.1:1")
		config.MaxDescriptors = 2 // 1 for clients
		server, _ := startServer(t, config, echo, nil)
		post := testutil.RawPost(id, "Content-Length: "+strconv.Itoa(length)+"\r\n")
		evicted := testutil.Dial(t, server.Addr(), post+"half")
		waitForIncomplete(t, server, 1)
		other := testutil.Dial(t, server.Addr(), testutil.RawPost(otherID, ""))
		testutil.WaitFor(t, "the eviction", func() bool { return socket.HasUnread(evicted) })
		testutil.Write(t, evicted, strings.Repeat("x", length-len("half")))
		expectAnswerWithoutReset(t, evicted, http.StatusServiceUnavailable)
		_ = evicted.Close() // an error does not affect the test
		if status := testutil.ReadStatus(t, other); status != http.StatusOK {
			t.Errorf("got status %d for the other client, want 200", status)
		}
	}
}

// A client that gets an error before its body has come gets it although the body comes later.
func TestBodyBehindAnErrorDoesNotResetIt(t *testing.T) {
	t.Parallel()
	const length = 100
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	post := strings.Replace(testutil.RawPost(id, "Content-Length: "+strconv.Itoa(length)+"\r\n"), "/settle", "/none", 1)
	client := testutil.Dial(t, server.Addr(), post)
	testutil.WaitFor(t, "the error", func() bool { return socket.HasUnread(client) })
	time.Sleep(2 * server.Timeouts.MalformedLinger)
	testutil.Write(t, client, strings.Repeat("x", length))
	expectAnswerWithoutReset(t, client, http.StatusNotFound)
}

// newTestTable returns a table without a limit, and an accepted connection with its client.
func newTestTable(t *testing.T) (table *connectionTable, c *connection, client net.Conn, log *testutil.Log) {
	t.Helper()
	listener := testutil.Listen(t)
	client = testutil.Dial(t, listener.Addr(), "")
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	timeouts := DefaultTimeouts()
	log = &testutil.Log{}
	table = newConnectionTable(0, &timeouts, newBudget(), testutil.NewLogger(log))
	c = table.add(accepted)
	t.Cleanup(func() { _ = c.Close() }) // an error means that it is closed
	return table, c, client, log
}

// receiveBytes makes the client send text, and waits until it can be read.
func receiveBytes(t *testing.T, c *connection, client net.Conn, text string) {
	t.Helper()
	testutil.Write(t, client, text)
	testutil.WaitFor(t, "the bytes", func() bool { return socket.Unread(c.Conn) == len(text) })
}

// A request that crosses the close of an idle connection must not be read: its client sends it again only then.
func TestCloseOfIdleConnectionReadsNothing(t *testing.T) {
	t.Parallel()
	table, c, client, _ := newTestTable(t)
	receiveBytes(t, c, client, testutil.RawGet(id))
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got error %v, want a reset", err)
	}
	if open, _ := table.counts(); open != 0 {
		t.Errorf("got %d open connections, want none", open)
	}
}

// A request that arrives as the wait for it times out is served.
func TestRequestAtIdleTimeoutIsRead(t *testing.T) {
	t.Parallel()
	_, c, client, _ := newTestTable(t)
	receiveBytes(t, c, client, testutil.RawGet(id))
	if err := c.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1000)); n != len(testutil.RawGet(id)) || err != nil {
		t.Errorf("got %d bytes and error %v, want the request", n, err)
	}
}

// The response to a rejected request must be written before its connection is closed, even if whoever reads the
// connection closes it first.
func TestCloseWaitsForRejection(t *testing.T) {
	t.Parallel()
	_, c, client, _ := newTestTable(t)
	receiveBytes(t, c, client, "GET / HTTP")
	if err := c.handleReadable(); err != nil {
		t.Fatal(err)
	}
	if !c.rejectCurrent() {
		t.Fatal("got no request to reject")
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond) // a held-up agent
	c.writeRejection(http.StatusServiceUnavailable, closeShuttingDown)
	expectAnswerWithoutReset(t, client, http.StatusServiceUnavailable)
}

// A rejection must reach its client although the agent was held up for so long that a write deadline has passed.
func TestRejectionHasNoWriteDeadline(t *testing.T) {
	t.Parallel()
	_, c, client, _ := newTestTable(t)
	receiveBytes(t, c, client, "GET / HTTP")
	if err := c.handleReadable(); err != nil {
		t.Fatal(err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	c.rejectCurrent()
	c.writeRejection(http.StatusServiceUnavailable, closeStalledForSlot)
	_ = c.Close() // an error does not affect the test
	expectAnswerWithoutReset(t, client, http.StatusServiceUnavailable)
}

// A client has stalled only while the agent waits for its bytes.
func TestOnlyAwaitedClientsAreEvicted(t *testing.T) {
	t.Parallel()
	table, c, client, _ := newTestTable(t)
	const part = "GET / HTTP"
	receiveBytes(t, c, client, part)
	isStalled := func() bool { return table.takeStalled(time.Now().Add(time.Hour), holdsSlot, time.Second) != nil }
	read := make(chan struct{})
	if err := c.handleReadable(); err != nil {
		t.Fatal(err)
	}
	if isStalled() {
		t.Error("got a client that has stalled before its bytes are read")
	}
	go func() {
		defer close(read)
		_, _ = c.Read(make([]byte, 100)) // returns when the test ends
	}()
	testutil.WaitFor(t, "the read", func() bool { return !socket.HasUnread(c.Conn) })
	testutil.WaitFor(t, "the wait for the rest", isStalled)
	c.evict(closeStalledForSlot)
	<-read
}

// After the incomplete requests are rejected at the end of a shutdown, those that start later are rejected as well.
func TestRequestsAfterLastRejectionAreAnswered(t *testing.T) {
	t.Parallel()
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	server.RejectIncomplete()
	client := testutil.Dial(t, server.Addr(), testutil.RawGet(id))
	expectAnswerWithoutReset(t, client, http.StatusServiceUnavailable)
	if count := loop.submittedCount.Load(); count != 0 {
		t.Errorf("got %d requests submitted, want none", count)
	}
}

// Each end of a request without a response of the event loop is logged with its reason, and counted.
func TestEndsAreLogged(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		end  func(t *testing.T, c *connection, client net.Conn)
		want []string
	}{
		{"rejected", func(_ *testing.T, c *connection, _ net.Conn) {
			c.rejectCurrent()
			c.writeRejection(http.StatusRequestTimeout, closeTimedOut)
		}, []string{`"incomplete request rejected"`, "status=408", `reason="request timed out"`, "read=3", "unread=0"}},
		{"cut", func(_ *testing.T, c *connection, _ net.Conn) { c.logIfCut(errFollowedByOtherBytes, true) },
			[]string{`"request may be cut"`, "id=" + id, "submitted=true", "bytes behind a request"}},
		{"client left", func(t *testing.T, c *connection, client net.Conn) {
			t.Helper()
			_ = client.Close() // an error does not affect the test
			testutil.WaitFor(t, "the end", func() bool { return socket.Peer(c.Conn).Closed })
			_ = c.Close() // an error does not affect the test
		}, []string{`"client left before its response"`, "id=" + id, "read=3"}},
		{"no response", func(_ *testing.T, c *connection, _ net.Conn) {
			c.recordRequestError(errLoopStopped)
			_ = c.Close() // an error does not affect the test
		}, []string{`"connection closed without a response"`, "level=WARN", "id=" + id, `err="event loop stopped"`}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			table, c, client, log := newTestTable(t)
			receiveBytes(t, c, client, "GET")
			if err := c.handleReadable(); err != nil {
				t.Fatal(err)
			}
			if _, err := c.readSocket(make([]byte, 10)); err != nil {
				t.Fatal(err)
			}
			c.recordParsedHead(id, false)
			test.end(t, c, client)
			table.ends.logTotals()
			for _, want := range append(test.want, `"client connections ended"`, ": 1]") {
				if !log.Contains(want) {
					t.Errorf("got no %s in the log %s", want, log)
				}
			}
		})
	}
}

// A client that closes its connection between two requests leaves no request unanswered.
func TestCloseBetweenRequestsIsNotLogged(t *testing.T) {
	t.Parallel()
	table, c, client, log := newTestTable(t)
	_ = client.Close() // an error does not affect the test
	if n, err := c.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Fatalf("got %d bytes and error %v, want the end of the connection", n, err)
	}
	_ = c.Close() // an error does not affect the test
	table.ends.logTotals()
	if log.Contains("client left") || !log.Contains("unanswered=[]") {
		t.Errorf("got the log %s, want no unanswered request", log)
	}
}

// The longer a client has waited for a slot, the sooner a stalled one gives way.
func TestStallPatience(t *testing.T) {
	timeouts := DefaultTimeouts()
	for _, test := range []struct{ waited, want time.Duration }{
		{0, 250 * time.Millisecond},
		{350 * time.Millisecond, 250 * time.Millisecond},
		{400 * time.Millisecond, 200 * time.Millisecond},
		{time.Second, 50 * time.Millisecond},
	} {
		if got := timeouts.stallPatience(test.waited); got != test.want {
			t.Errorf("after a wait of %v: got %v, want %v", test.waited, got, test.want)
		}
	}
}

// The delay of the accept queue is that of the connections that were at its end when the measurement started.
func TestQueueDelay(t *testing.T) {
	var delay queueDelay
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	expect := func(now, want int) {
		t.Helper()
		if got := delay.current(at(now)); got != time.Duration(want)*time.Millisecond {
			t.Errorf("after %d ms: got %v, want %d ms", now, got, want)
		}
	}
	expect(0, 0)
	delay.recordLength(at(0), 2)
	delay.recordLength(at(10), 5) // a measurement is under way
	expect(30, 30)
	delay.recordAccept(at(40))
	expect(50, 50)
	delay.recordAccept(at(60))
	expect(100, 60)
	delay.recordLength(at(100), 1)
	expect(110, 60)
	expect(200, 100)
	delay.recordAccept(at(200))
	expect(300, 100)
	delay.recordLength(at(300), 0)
	expect(400, 0)
}

// Requests that a client sends without waiting for responses are all answered, those beyond a burst after pauses.
func TestPipelinedRequestsArePaced(t *testing.T) {
	t.Parallel()
	const count = maxPipelined + 5
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	var text strings.Builder
	for i := range count {
		text.WriteString(testutil.RawGet(testutil.NthID(i)))
	}
	start := time.Now()
	in := bufio.NewReader(testutil.Dial(t, server.Addr(), text.String()))
	for i := range count {
		if status := testutil.ReadResponse(t, in).StatusCode; status != http.StatusOK {
			t.Fatalf("request %d: got status %d, want 200", i, status)
		}
	}
	if took, least := time.Since(start), (count-maxPipelined-1)*pipelinedPause; took < least {
		t.Errorf("got all responses within %v, want at least %v", took, least)
	}
}

// A request that waits in the accept queue when the listener closes gets its answer.
func TestQueuedRequestIsAnsweredInShutdown(t *testing.T) {
	t.Parallel()
	config := testutil.Config(t, "127.0.0.1:1")
	config.MaxDescriptors = 2 // 1 for clients
	submitted := make(chan *Request, 2)
	server, _ := startServer(t, config, func(r *Request) { submitted <- r }, reclaimImmediately)
	first := testutil.Dial(t, server.Addr(), testutil.RawPost(id, ""))
	request := testutil.Receive(t, submitted)
	second := testutil.Dial(t, server.Addr(), testutil.RawPost(otherID, ""))
	testutil.WaitFor(t, "the second connection", func() bool {
		return socket.PendingCount(server.listener.inner.Listener) == 1
	})
	server.StopAccepting()
	echo(request)
	echo(testutil.Receive(t, submitted))
	for _, client := range []net.Conn{first, second} {
		if status := testutil.ReadStatus(t, client); status != http.StatusOK {
			t.Errorf("got status %d, want 200", status)
		}
	}
}
