package frontend

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"ashshunt/internal/testutil"
)

// Requests that have arrived behind an open one are answered before their connection is closed, by a shutdown or since
// many connections are open.
func TestRequestsBehindAnotherAreAnsweredBeforeClose(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name           string
		maxDescriptors int // a half is for clients
		isShutDown     bool
		bodySize       int
	}{
		{"shutdown", 1024, true, 4},
		{"shutdown, some not read yet", 1024, true, 1500},
		{"near the limit", 2, false, 4},
		{"near the limit, some not read yet", 2, false, 1500},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const requests = 8
			run := startRequestsBehind(t, tt.maxDescriptors, requests, tt.bodySize)
			for number := range requests {
				request := testutil.Receive(t, run.submitted)
				if tt.isShutDown && number == 0 {
					run.server.StartShutdown()
					run.server.CloseUsedIdle()
				}
				releaseAndRespond(request)
				run.expectResponse(t, number == requests-1)
			}
			expectEnd(t, run.in)
		})
	}
}

// If slots are short, a client that sends very many requests without waiting for responses loses its slot.
func TestPipeliningClientLosesItsSlot(t *testing.T) {
	t.Parallel()
	run := startRequestsBehind(t, 2, 2*maxPipelined, 4)
	for number := range maxPipelined + 2 {
		releaseAndRespond(testutil.Receive(t, run.submitted))
		run.expectResponse(t, number == maxPipelined+1)
	}
	expectEnd(t, run.in)
}

// behindRun is a server with the connection of a client that has sent several requests at once.
type behindRun struct {
	server    *Server
	submitted chan *Request
	in        *bufio.Reader
}

func startRequestsBehind(t *testing.T, maxDescriptors, requests, bodySize int) behindRun {
	t.Helper()
	config := testutil.Config(t, "127.0.0.1:1")
	config.MaxDescriptors = maxDescriptors
	run := behindRun{submitted: make(chan *Request, requests)}
	run.server, _ = startServer(t, config, func(r *Request) { run.submitted <- r }, nil)
	var text strings.Builder
	for number := range requests {
		length := fmt.Sprintf("Content-Length: %d\r\n", bodySize)
		text.WriteString(testutil.RawPost(testutil.NthID(number), length) + strings.Repeat("y", bodySize))
	}
	run.in = bufio.NewReader(testutil.Dial(t, run.server.Addr(), text.String()))
	return run
}

// expectResponse reads a response with status 200, and verifies whether it closes the connection.
func (r behindRun) expectResponse(t *testing.T, closes bool) {
	t.Helper()
	response := testutil.ReadResponse(t, r.in)
	if response.StatusCode != http.StatusOK || response.Close != closes {
		t.Fatalf("got status %d, closes %v, want 200, %v", response.StatusCode, response.Close, closes)
	}
}
