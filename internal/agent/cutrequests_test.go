package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// restDelays are the times between a request and the bytes behind it.
var restDelays = []time.Duration{
	0, 200 * time.Microsecond, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
}

// requestsPerDelay is the number of requests with the same delay.
const requestsPerDelay = 20

// followedRequest is a request that is written in two parts, where the second one may or may not belong to it.
type followedRequest struct {
	name        string
	first, rest func(id string) string
	statuses    []int // of the responses, in their order
	isCut       bool  // the rest starts no other request
}

// followedBody is the body of each request of followedRequests that has one.
const followedBody = `{"lane":7,"toll":250,"plate":"AB-123-CD","at":"2026-12-06T07:30:00"}`

// followedRequests are requests with bytes behind them, as broken and as well-behaved clients send them.
var followedRequests = []followedRequest{
	{"length of 0, a body behind", postPart(0, 0), bodyFrom(0), []int{400}, true},
	{"no length, a body behind", bareHead, bodyFrom(0), []int{400}, true},
	{"a body behind a GET", testutil.RawGet, bodyFrom(0), []int{400}, true},
	{"length too small by 1", postPart(len(followedBody)-1, len(followedBody)-1), bodyFrom(len(followedBody) - 1),
		[]int{400}, true},
	{"length too small by 48", postPart(20, 20), bodyFrom(20), []int{400}, true},
	{"length too small, the last part comes with the rest", postPart(20, 10), bodyFrom(10), []int{400}, true},
	{"an empty line and other bytes behind", wholePost, func(string) string { return "\r\n{}" }, []int{400}, true},
	{"an empty line behind", wholePost, func(string) string { return "\r\n" }, []int{200}, false},
	{"the next request behind", wholePost, nextRequest, []int{200, 200}, false},
	{"the next request behind an empty line", wholePost, func(id string) string { return "\r\n" + nextRequest(id) },
		[]int{200, 200}, false},
	{"the first bytes of the next request behind", wholePost, func(string) string { return "PO" }, []int{200}, false},
	{"the rest of the next request", func(id string) string { return wholePost(id) + nextRequest(id)[:2] },
		func(id string) string { return nextRequest(id)[2:] }, []int{200, 200}, false},
}

// postPart returns a function that returns a POST request with a Content-Length and the first bytes of followedBody.
func postPart(length, sent int) func(id string) string {
	return func(id string) string {
		return testutil.RawPost(id, fmt.Sprintf("Content-Length: %d\r\n", length)) + followedBody[:sent]
	}
}

func bareHead(id string) string { return testutil.RawPost(id, "") }

func wholePost(id string) string { return postPart(len(followedBody), len(followedBody))(id) }

func bodyFrom(start int) func(id string) string {
	return func(string) string { return followedBody[start:] }
}

// nextRequest returns the request that a client sends behind the one with an ID.
func nextRequest(id string) string { return wholePost("f" + id[1:]) }

// followedRun is a run of a followedRequest against an agent. Its endpoint responds to a request when the bytes behind
// it have arrived at the agent's machine.
type followedRun struct {
	followedRequest
	agent     *Agent
	server    *testutil.Server
	forwarded atomic.Int32 // requests that the endpoint has received, those behind them excepted

	mu      sync.Mutex
	arrived map[string]chan struct{} // by ID: closed when the bytes behind the request have arrived
}

// A request must not be served if the bytes behind it show that it may be only a part, whenever these arrive before its
// response. Requests that are followed by others, or by parts of others, must be served.
func TestRequestsWithLateRest(t *testing.T) {
	t.Parallel()
	for number, request := range followedRequests {
		t.Run(request.name, func(t *testing.T) {
			t.Parallel()
			run := &followedRun{followedRequest: request, arrived: map[string]chan struct{}{}}
			run.server = testutil.NewServer(t, run.respond)
			run.agent, _ = startScripted(t, newConfig(t, run.server), sendOnce)
			for i, delay := range restDelays {
				run.sendAll(t, delay, requestsPerDelay*(number*len(restDelays)+i))
			}
		})
	}
}

// sendOnce is a scripted decision module that sends each request once, and rejects it if the attempt fails.
func sendOnce(_ time.Duration, event balancer.Event) []balancer.Action {
	switch event := event.(type) {
	case balancer.Request:
		return []balancer.Action{balancer.Send{Request: event.ID, Endpoint: "s0"}}
	case balancer.Outcome:
		if !event.Done {
			return []balancer.Action{balancer.Reject{Request: event.Request}}
		}
	}
	return nil
}

// respond is the handler of the endpoint.
func (r *followedRun) respond(conn net.Conn, request *http.Request, body []byte) bool {
	<-r.server.Received // makes room for further requests
	if arrived := r.arrivedOf(request.Header.Get("X-Call-Id")); arrived != nil {
		r.forwarded.Add(1)
		<-arrived
	}
	// A new connection for each request: the agent could take a quick response on a used one for an early one.
	testutil.Respond(conn, http.StatusOK, "Connection: close\r\n", string(body))
	return false
}

// arrivedOf returns the channel of a request; nil for one that was sent behind another.
func (r *followedRun) arrivedOf(id string) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived[id]
}

// sendAll sends requests at the same time, and reports how many of them were served although they are cut.
func (r *followedRun) sendAll(t *testing.T, delay time.Duration, firstNumber int) {
	t.Helper()
	r.forwarded.Store(0)
	var wrong atomic.Int32
	var clients sync.WaitGroup
	for number := range requestsPerDelay {
		id := testutil.NthID(firstNumber + number)
		r.mu.Lock()
		r.arrived[id] = make(chan struct{})
		r.mu.Unlock()
		client := testutil.Dial(t, r.agent.Addr(), "")
		clients.Go(func() {
			if statuses := r.send(client, id, delay); fmt.Sprint(statuses) != fmt.Sprint(r.statuses) {
				t.Log("DEBUG", id, statuses)
				wrong.Add(1)
			}
			_ = client.Close() // an error means that it is closed
		})
	}
	clients.Wait()
	if r.isCut {
		t.Logf("rest %v later: %d of %d forwarded", delay, r.forwarded.Load(), requestsPerDelay)
	}
	if n := wrong.Load(); n > 0 {
		t.Errorf("rest %v later: %d of %d requests got other responses than %v", delay, n, requestsPerDelay, r.statuses)
	}
}

// send sends a request and, after the delay, the bytes behind it. It returns the statuses of the responses. The
// connection of a cut request must end behind the first one.
func (r *followedRun) send(client net.Conn, id string, delay time.Duration) (statuses []int) {
	// Writes fail if the agent has closed the connection, which shows in the responses.
	_, _ = io.WriteString(client, r.first(id))
	if delay > 0 {
		time.Sleep(delay)
	}
	_, _ = io.WriteString(client, r.rest(id))
	for socket.HasUnacknowledged(client) {
		time.Sleep(time.Millisecond)
	}
	close(r.arrivedOf(id))
	in := bufio.NewReader(client)
	for range r.statuses {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body) // an error shows in the next response
		statuses = append(statuses, response.StatusCode)
	}
	if !r.isCut {
		return statuses
	}
	if behind, _ := io.ReadAll(in); len(behind) > 0 { // an error means that the connection has ended
		statuses = append(statuses, 0)
	}
	return statuses
}
