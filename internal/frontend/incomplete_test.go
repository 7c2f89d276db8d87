package frontend

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// incompleteRequests are the beginnings of requests.
var incompleteRequests = map[string]string{
	"a byte":      "G",
	"three bytes": "GET",
	"half a head": "POST /settle HTTP/1.1\r\nHo",
	"half a body": testutil.RawPost(id, "Content-Length: 10\r\n") + "half",
}

// A client that begins a request and stops gets an error, on a new connection and on one that it has kept.
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

// expectRequestTimeout sends a request, if there is one, and then the beginning of another one, which has to be
// answered and its connection closed.
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
		t.Errorf("status %d, close %v", response.StatusCode, response.Close)
	}
	if n, err := in.Discard(1); n != 0 || isTimeout(err) {
		t.Error("the connection was kept")
	}
}

// A request that has begun is not closed as idle, even if its connection's idle timeout ends in the middle of it.
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
			time.Sleep(1200 * time.Millisecond) // past the idle time
			testutil.Write(t, client, whole[len(text):])
			if response := testutil.ReadResponse(t, in); response.StatusCode != http.StatusOK {
				t.Errorf("status %d", response.StatusCode)
			}
		})
	}
}

// A client that writes slowly, but goes on, is served.
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
		t.Errorf("status %d", status)
	}
}
