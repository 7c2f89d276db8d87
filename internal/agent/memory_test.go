package agent

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

const longBodySize = 60000

// respondLong responds with a status and a long body.
func respondLong(status int) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, _ *http.Request, _ []byte) bool {
		testutil.Respond(conn, status, "", strings.Repeat("r", longBodySize))
		return true
	}
}

// respondChunked responds with a long body in chunks.
func respondChunked(conn net.Conn, _ *http.Request, _ []byte) bool {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", longBodySize/2, strings.Repeat("r", longBodySize/2))
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n"))
	return true
}

// breakOff sends a part of a long response and closes the connection.
func breakOff(conn net.Conn, _ *http.Request, _ []byte) bool {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nabc", longBodySize)
	return false
}

// respondTwice sends a long response and other bytes right behind it.
func respondTwice(conn net.Conn, request *http.Request, body []byte) bool {
	text := strings.Repeat("r", longBodySize)
	const format = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	_, _ = fmt.Fprintf(conn, format+format, longBodySize, text, longBodySize-1, text[1:])
	return true
}

// Whatever becomes of the attempts of a request, its memory is released.
func TestMemoryOfAttemptsIsReleased(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: 700\r\n", id)
	get := "GET /look " + head + "\r\n"
	post := fmt.Sprintf("POST /settle %sContent-Length: %d\r\n\r\n%s", head, longBodySize,
		strings.Repeat("b", longBodySize))
	for _, test := range []struct {
		name, request string
		respond       func(net.Conn, *http.Request, []byte) bool
		leave         bool // the client leaves when the endpoint has the request
		want          int
	}{
		{"served", post, respondLong(http.StatusOK), false, http.StatusOK},
		{"served in chunks", post, respondChunked, false, http.StatusOK},
		{"failed", post, respondLong(http.StatusInternalServerError), false, http.StatusBadGateway},
		{"repeated", get, respondLong(http.StatusInternalServerError), false, http.StatusBadGateway},
		{"broken off", get, breakOff, false, http.StatusBadGateway},
		{"followed by other bytes", get, respondTwice, false, http.StatusBadGateway},
		{"no response", post, testutil.Hang, false, http.StatusBadGateway},
		{"client leaves", post, testutil.Hang, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, test.respond)
			a := startAgent(t, newConfig(t, server))
			client := testutil.Dial(t, a.Addr(), test.request)
			testutil.Receive(t, server.Received)
			if !test.leave {
				if status := testutil.ReadStatus(t, client); status != test.want {
					t.Errorf("got status %d, want %d", status, test.want)
				}
			}
			_ = client.Close() // an error does not affect the test
			testutil.WaitFor(t, "the release of all memory", func() bool { return a.budget.Used() == 0 })
		})
	}
}

// A shutdown releases the memory of the requests that it answers.
func TestShutdownReleasesMemory(t *testing.T) {
	t.Parallel()
	server := testutil.NewServer(t, testutil.Hang)
	a := startStoppable(t, newConfig(t, server), func(a *Agent) { a.acceptDuration = 10 * time.Millisecond })
	open := testutil.Dial(t, a.Addr(), testutil.RawGet(id))
	half := testutil.Dial(t, a.Addr(), testutil.RawPost(otherID, "Content-Length: 9\r\n")+"half")
	testutil.Receive(t, server.Received)
	a.stop()
	if err := testutil.Receive(t, a.runResult); err != nil {
		t.Error("Run:", err)
	}
	for _, client := range []net.Conn{open, half} {
		_ = client.Close() // an error does not affect the test
	}
	testutil.WaitFor(t, "the release of all memory", func() bool { return a.budget.Used() == 0 })
}
