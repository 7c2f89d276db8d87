package discovery

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

// acceptCall accepts a connection of the client and reads its request.
func acceptCall(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testutil.Timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// watchHead is the head of the response to a watch, whose body ends with the connection.
const watchHead = "HTTP/1.1 200 OK\r\n\r\n"

// A discovery service that is slower than the call timeout must be heard: it counts as reachable, and the changes that
// it has as received. Otherwise each of its answers is given up before it comes, and draining endpoints get requests.
func TestSlowResponseIsHeard(t *testing.T) {
	t.Parallel()
	listener := testutil.Listen(t)
	options, events := newOptions(t, testutil.Config(t, listener.Addr().String(), entryJSON("s0", "SERVING")))
	options.CallTimeout = time.Second
	client := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	client.Subscribe(ctx)
	slow := acceptCall(t, listener)
	expectFailure(t, events)
	client.Subscribe(ctx)
	next := acceptCall(t, listener)
	testutil.Write(t, slow, watchHead+deltaListJSON(2, entryJSON("s0", "DRAINING"))+"\n")
	expectEvent(t, events, balancer.ListDelta, 1)
	expectServing(t, client, "s0", false)
	if _, err := next.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // net returns io.EOF itself
		t.Errorf("got error %v on the call of the second watch, want its end", err)
	}
	testutil.Write(t, slow, deltaListJSON(3, entryJSON("s0", "SERVING"))+"\n")
	expectEvent(t, events, balancer.ListDelta, 1)
	expectServing(t, client, "s0", true)
}

// A watch is overdue only while it has no response. Whichever watch is answered first replaces all others, and one that
// is overdue needs no other beside an active one.
func TestOverdueWatches(t *testing.T) {
	t.Parallel()
	s, addWatch := newTestSource()
	first, firstStopped := addWatch()
	if !s.markOverdue(first) || s.isWatched() {
		t.Error("got no need for a watch beside one that is overdue, want one")
	}
	second, secondStopped := addWatch()
	if s.markOverdue(first) || *firstStopped {
		t.Error("got the first watch overdue again, want it once, not stopped")
	}
	if !s.activateWatch(first, false) || !*secondStopped || s.activateWatch(second, false) {
		t.Error("got no active watch, want the overdue one in place of the pending one")
	}
	third, thirdStopped := addWatch()
	if s.markOverdue(third) || !*thirdStopped || *firstStopped {
		t.Error("got a need for a watch beside the active one, want none, and the overdue one stopped")
	}
	fourth, _ := addWatch()
	s.activateWatch(fourth, false)
	if s.markOverdue(fourth) || !*firstStopped {
		t.Error("got a watch overdue that has its response, want it active")
	}
}

// An overdue watch of an earlier address does not replace one of the current address, and a later one that is overdue
// replaces it.
func TestOverdueWatchOfEarlierAddress(t *testing.T) {
	t.Parallel()
	s, addWatch := newTestSource()
	first, firstStopped := addWatch()
	s.markOverdue(first)
	s.setAddr("b:1")
	second, _ := addWatch()
	if s.activateWatch(first, true) {
		t.Error("got the overdue watch of the earlier address active")
	}
	if !s.markOverdue(second) || !*firstStopped {
		t.Error("got two overdue watches, want the second one alone")
	}
	if s.removeWatch(second) {
		t.Error("got a need for a watch after the end of an overdue one, want none: it was reported before")
	}
}
