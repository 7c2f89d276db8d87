package frontend

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// incompleteRequests are truncated requests by name.
var incompleteRequests = map[string]string{
	"a byte":      "G",
	"three bytes": "GET",
	"half a head": "POST /settle HTTP/1.1\r\nHo",
	"half a body": testutil.RawPost(id, "Content-Length: 10\r\n") + "half",
}

// A client that stops in the middle of a request gets an error response, on a new connection as well as on one that has
// already had a request.
func TestIncompleteRequestsAreAnswered(t *testing.T) {
	for name, text := range incompleteRequests {
		for kept, before := range map[string]string{"new connection": "", "kept connection": testutil.RawGet(otherID)} {
			t.Run(name+", "+kept, func(t *testing.T) {
				t.Parallel()
				expectRequestTimeout(t, before, text)
			})
		}
	}
}

// expectRequestTimeout sends a complete request, unless before is empty, and then an incomplete one. The incomplete
// request must get status 408, and its connection must be closed.
func expectRequestTimeout(t *testing.T, before, incomplete string) {
	t.Helper()
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	client := testutil.Dial(t, server.Addr(), before)
	in := bufio.NewReader(client)
	if before != "" {
		testutil.ReadResponse(t, in)
	}
	testutil.Write(t, client, incomplete)
	response := testutil.ReadResponse(t, in)
	if response.StatusCode != http.StatusRequestTimeout || !response.Close {
		t.Errorf("got status %d and close %v, want 408 and true", response.StatusCode, response.Close)
	}
	if n, err := in.Discard(1); n != 0 || isTimeout(err) {
		t.Error("got an open connection after the response, want it closed")
	}
}

// A client that stops within a body gets an error response, also if it has sent the head together with the previous
// request.
func TestIncompleteRequestBehindAnotherIsAnswered(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	client := testutil.Dial(t, server.Addr(), testutil.RawGet(otherID)+incompleteRequests["half a body"])
	in := bufio.NewReader(client)
	testutil.ReadResponse(t, in)
	if response := testutil.ReadResponse(t, in); response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got status %d, want 408", response.StatusCode)
	}
}

// A connection must not be closed as idle while a request is being read, even if the idle timeout would expire before
// the request is complete.
func TestIdleTimeoutDuringRequest(t *testing.T) {
	for name, text := range incompleteRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, func(s *Server) {
				s.Timeouts.Idle = time.Second
			})
			client := testutil.Dial(t, server.Addr(), testutil.RawGet(otherID))
			in := bufio.NewReader(client)
			testutil.ReadResponse(t, in)
			whole := testutil.RawGet(id)
			if text[0] == 'P' {
				whole = testutil.RawPost(id, "Content-Length: 10\r\n") + "half whole"
			}
			testutil.Write(t, client, whole[:len(text)])
			time.Sleep(1200 * time.Millisecond) // longer than the idle timeout
			testutil.Write(t, client, whole[len(text):])
			if response := testutil.ReadResponse(t, in); response.StatusCode != http.StatusOK {
				t.Errorf("got status %d, want 200", response.StatusCode)
			}
		})
	}
}

// A client that sends its request slowly, but without long pauses, is served.
func TestSlowRequest(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, func(s *Server) {
		s.Timeouts.ReadStall, s.Timeouts.ReadTotal = 2*time.Second, testutil.Timeout
	})
	text := testutil.RawPost(id, "Content-Length: 10\r\n") + "half whole"
	client := testutil.Dial(t, server.Addr(), text[:10])
	for _, part := range []string{text[10:20], text[20:60], text[60 : len(text)-10], text[len(text)-10 : len(text)-3]} {
		time.Sleep(500 * time.Millisecond)
		testutil.Write(t, client, part)
	}
	time.Sleep(500 * time.Millisecond)
	testutil.Write(t, client, text[len(text)-3:])
	if status := testutil.ReadStatus(t, client); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
}
