package frontend

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/membudget"
	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// startWaitingRequest starts a server, and sends a request that waits for memory until the test releases it.
func startWaitingRequest(t *testing.T) (server *Server, client net.Conn, release func()) {
	t.Helper()
	budget := smallBudget()
	loop := newFakeEventLoop(releaseAndRespond)
	close(loop.ready)
	server = startServerWithBudget(t, budget, loop)
	memory := budget.NewReservation()
	if !memory.TryGrow(membudget.Requests, budget.Limit(membudget.Requests)) {
		t.Fatal("got no memory, want all of it")
	}
	client = testutil.Dial(t, server.Addr(), testutil.RawGet(id))
	testutil.WaitFor(t, "the wait for memory", func() bool { return budget.Waiting(membudget.Requests) == 1 })
	return server, client, memory.Release
}

// A client whose request is whole must not be evicted as stalled while the agent lets it wait, although the connection
// is read ahead.
func TestWholeRequestIsNotEvictedWhileItWaits(t *testing.T) {
	t.Parallel()
	server, client, release := startWaitingRequest(t)
	for range 20 { // the read ahead starts in the background
		if server.connections.takeStalled(time.Now().Add(time.Hour), holdsSlot, time.Second) != nil {
			t.Fatal("got a stalled client, want none")
		}
		time.Sleep(time.Millisecond)
	}
	release()
	if status := testutil.ReadStatus(t, client); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
}

// A request that waits must get its own response, whatever the next one on its connection looks like.
func TestNextHeadDoesNotRejectWaitingRequest(t *testing.T) {
	t.Parallel()
	_, client, release := startWaitingRequest(t)
	const next = "GET /look HTTP/1.1\r\n"
	testutil.Write(t, client, next+strings.Repeat("A: b\r\n", maxHeadFields+1)+"\r\n")
	testutil.WaitFor(t, "the arrival of the next request", func() bool { return !socket.HasUnacknowledged(client) })
	release()
	in := bufio.NewReader(client)
	for _, want := range []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		if status := testutil.ReadResponse(t, in).StatusCode; status != want {
			t.Fatalf("got status %d, want %d", status, want)
		}
	}
}
