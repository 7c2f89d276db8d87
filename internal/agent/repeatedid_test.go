package agent

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// runCounter counts how often each request has run.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int // by request ID
}

// run is the handler of an endpoint that takes some milliseconds for each request.
func (c *runCounter) run(conn net.Conn, request *http.Request, body []byte) bool {
	time.Sleep(3 * time.Millisecond)
	c.mu.Lock()
	c.runs[request.Header.Get("X-Call-Id")]++
	c.mu.Unlock()
	return testutil.Echo(conn, request, body)
}

// count returns the number of runs of a request.
func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// newCountingAgent starts an agent with an endpoint that counts runs.
func newCountingAgent(t *testing.T) (*Agent, *runCounter) {
	t.Helper()
	counter := &runCounter{runs: map[string]int{}}
	server := testutil.NewServer(t, counter.run)
	go func() { // the channel would fill up; returns when the test binary exits
		for range server.Received {
		}
	}()
	return startAgent(t, newConfig(t, server)), counter
}

// sendAndLeave sends a request and closes its connection after a time.
func sendAndLeave(t *testing.T, a *Agent, text string, after time.Duration) {
	t.Helper()
	client := testutil.Dial(t, a.Addr(), text)
	time.Sleep(after)
	_ = client.Close() // an error does not affect the test
}

// A client that leaves and sends the ID of its request again must not make it run twice, whether the first attempt has
// ended in the meantime or not.
func TestRequestOfClientThatLeftDoesNotRunTwice(t *testing.T) {
	for class, text := range map[string]string{
		"settle": "",
		"hold":   "Idempotency-Key: %s\r\n", // its endpoints recognize a repeat within their cell only
	} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			a, counter := newCountingAgent(t)
			for number := range 60 {
				id := testutil.NthID(number)
				headers := text
				if headers != "" {
					headers = fmt.Sprintf(text, id)
				}
				request := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: 7000\r\n%s\r\n",
					class, id, headers)
				sendAndLeave(t, a, request, time.Duration(number%12)*time.Millisecond)
				testutil.ReadStatus(t, testutil.Dial(t, a.Addr(), request))
				if runs := counter.count(id); runs > 1 {
					t.Fatalf("%s: got %d runs, want one at most", id, runs)
				}
			}
		})
	}
}

// The ID of a request that has run is answered without a forward, and not with a status that promises that it never
// ran.
func TestRepeatedIDIsNotForwarded(t *testing.T) {
	t.Parallel()
	a, counter := newCountingAgent(t)
	if status := requestStatus(t, a, "POST", "/settle", id, "7000"); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	if status := requestStatus(t, a, "POST", "/settle", id, "7000"); status != http.StatusConflict {
		t.Errorf("got status %d for a repeated ID, want 409", status)
	}
	if runs := counter.count(id); runs != 1 {
		t.Errorf("got %d runs, want 1", runs)
	}
}

// Requests of an idempotent class may be repeated as often as clients like.
func TestRepeatedIDOfIdempotentClassIsForwarded(t *testing.T) {
	t.Parallel()
	a, counter := newCountingAgent(t)
	for range 2 {
		if status := requestStatus(t, a, "GET", "/look", id, "7000"); status != http.StatusOK {
			t.Errorf("got status %d, want 200", status)
		}
	}
	if runs := counter.count(id); runs != 2 {
		t.Errorf("got %d runs, want 2", runs)
	}
}
