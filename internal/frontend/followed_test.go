package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"ashshunt/internal/testutil"
)

// A part of a request must not be forwarded and served, if bytes behind that show that its length is too small.
func TestRequestFollowedByOtherBytesIsRejected(t *testing.T) {
	t.Parallel()
	const body = `{"lane":7,"toll":250}`
	beyondBuffer := strings.Repeat("x", 4<<10)
	post := func(length int, body string) string {
		return testutil.RawPost(id, fmt.Sprintf("Content-Length: %d\r\n", length)) + body
	}
	good := post(len(body), body)
	withoutCR := strings.ReplaceAll(testutil.RawGet(otherID), "\r", "")
	for _, tt := range []struct {
		name, text string
		statuses   []int // of the responses, in their order
		submitted  int   // number of requests that reach the event loop
		isClosed   bool  // the server closes the connection after the responses
	}{
		{"nothing behind", good, []int{200}, 1, false},
		{"length 1 too small", post(len(body)-1, body), []int{400}, 0, true},
		{"length 12 too small", post(len(body)-12, body), []int{400}, 0, true},
		{"length of 0, with a body", post(0, body), []int{400}, 0, true},
		{"no length, with a body", testutil.RawPost(id, "") + body, []int{400}, 0, true},
		{"length 1 too small, beyond the read buffer", post(2*len(beyondBuffer)-1, beyondBuffer+beyondBuffer),
			[]int{400}, 0, true},
		{"GET with a body and no length", testutil.RawGet(id) + body, []int{400}, 0, true},
		{"an empty line behind", good + "\r\n", []int{200}, 1, false},
		{"an empty line and another request behind", good + "\r\n" + good, []int{200, 200}, 2, false},
		{"an empty line and other bytes behind", good + "\r\n" + body, []int{400}, 0, true},
		{"a cut request behind an empty line", good + "\r\n" + post(3, body), []int{200, 400}, 1, true},
		{"an empty line beyond the read buffer", post(len(beyondBuffer), beyondBuffer) + "\r\n" + good,
			[]int{200, 200}, 2, false},
		{"OPTIONS * and a request", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n" + good, []int{404}, 0, true},
		{"another request behind", good + testutil.RawGet(otherID), []int{200, 200}, 2, false},
		{"another request beyond the read buffer", post(len(beyondBuffer), beyondBuffer) + testutil.RawGet(otherID),
			[]int{200, 200}, 2, false},
		{"a part of another request behind", good + "PO", []int{200}, 1, false},
		{"a health check behind", good + "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", []int{200, 200}, 1, true},
		{"a cut request behind a request", testutil.RawGet(otherID) + post(3, body), []int{200, 400}, 1, true},
		{"a cut request behind a request without CR", withoutCR + post(3, body), []int{200, 400}, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
			in := bufio.NewReader(testutil.Dial(t, server.Addr(), tt.text))
			for i, want := range tt.statuses {
				if got := testutil.ReadResponse(t, in).StatusCode; got != want {
					t.Fatalf("response %d: got status %d, want %d", i, got, want)
				}
			}
			if submitted := int(loop.submittedCount.Load()); submitted != tt.submitted {
				t.Errorf("got %d requests in the event loop, want %d", submitted, tt.submitted)
			}
			if tt.isClosed {
				expectEnd(t, in)
			}
		})
	}
}

// A health check must not be answered as one if bytes behind it show that it has a body.
func TestHealthCheckFollowedByOtherBytesIsRejected(t *testing.T) {
	t.Parallel()
	healthCheck := func(headers string) string { return "GET /healthz HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" }
	for _, tt := range []struct {
		name, text string
		status     int
	}{
		{"nothing behind", healthCheck(""), http.StatusOK},
		{"length of 0", healthCheck("Content-Length: 0\r\n"), http.StatusOK},
		{"a request behind", healthCheck("") + testutil.RawGet(id), http.StatusOK},
		{"an empty line behind", healthCheck("") + "\r\n", http.StatusOK},
		{"a body without a length", healthCheck("") + "{}", http.StatusBadRequest},
		{"length of 0, with a body", healthCheck("Content-Length: 0\r\n") + "{}", http.StatusBadRequest},
		{"a body", healthCheck("Content-Length: 2\r\n") + "{}", http.StatusBadRequest},
		{"length 1 too small", healthCheck("Content-Length: 1\r\n") + "{}", http.StatusBadRequest},
		{"chunks", healthCheck("Transfer-Encoding: chunked\r\n") + "0\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
			in := bufio.NewReader(testutil.Dial(t, server.Addr(), tt.text))
			if got := testutil.ReadResponse(t, in).StatusCode; got != tt.status {
				t.Errorf("got status %d, want %d", got, tt.status)
			}
			expectEnd(t, in)
		})
	}
}

// expectEnd verifies that a connection ends without more bytes.
func expectEnd(t *testing.T, in io.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(in); len(rest) > 0 || isTimeout(err) {
		t.Errorf("got %q, error %v, want the end of the connection", rest, err)
	}
}

// A client that waits for 100 Continue must get it, also for the shortest body.
func TestContinueIsSentBeforeShortBody(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	client := testutil.Dial(t, server.Addr(), testutil.RawPost(id, "Expect: 100-continue\r\nContent-Length: 1\r\n"))
	in := bufio.NewReader(client)
	if status := testutil.ReadResponse(t, in).StatusCode; status != http.StatusContinue {
		t.Fatalf("got status %d, want 100", status)
	}
	testutil.Write(t, client, "x")
	if status := testutil.ReadResponse(t, in).StatusCode; status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
}
