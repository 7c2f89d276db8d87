package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// neverRespond leaves a request without a response.
func neverRespond(*Request) {}

// The event loop receives the request exactly as the client sent it.
func TestSubmittedRequest(t *testing.T) {
	t.Parallel()
	submitted := make(chan *Request, 1)
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), func(r *Request) {
		submitted <- r
		r.Respond(Response{Status: http.StatusServiceUnavailable, RetryAfter: 1500 * time.Millisecond})
	}, nil)
	response, _ := testutil.Do(t, server.Addr(), "POST", "/hold/a%2Fb?x=%20y", "work", "X-Call-Id", id,
		"X-Budget-Ms", "700", "Idempotency-Key", "k1", "X-Again", "1", "X-Call-Cost", "250.5", "X-Route-Hash", "h")
	retryAfter := response.Header.Get("Retry-After")
	if response.StatusCode != http.StatusServiceUnavailable || retryAfter != "1.5" {
		t.Errorf("got status %d and Retry-After %q, want 503 and \"1.5\"", response.StatusCode, retryAfter)
	}
	request := testutil.Receive(t, submitted)
	if request.Method != http.MethodPost || request.Target.Opaque != "/hold/a%2Fb" ||
		request.Target.RawQuery != "x=%20y" || string(request.Body) != "work" || request.IdempotencyKey != "k1" {
		t.Errorf("got request %+v, want what the client sent", request)
	}
	event := request.Event
	if event.ID != id || event.Class != 1 || event.Key != "h" || !event.ClientRetry ||
		event.Timeout != 700*time.Millisecond || event.Work != 250500*time.Nanosecond {
		t.Errorf("got event %+v, want what the client sent", event)
	}
	if request.Deadline-request.ArrivedAt != event.Timeout {
		t.Errorf("got deadline %v after the arrival, want the timeout", request.Deadline-request.ArrivedAt)
	}
}

// A request is abandoned if its client closes the connection, even if the client has sent bytes after the request.
// net/http stops looking for a disconnect in that case.
func TestAbandonedRequest(t *testing.T) {
	for name, extra := range map[string]string{"nothing after the request": "", "a byte after the request": "G"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), neverRespond, nil)
			client := testutil.Dial(t, server.Addr(), testutil.RawGet(id)+extra)
			request := testutil.Receive(t, loop.received)
			if err := request.Validate(); err != nil {
				t.Errorf("got error %v while the client waits, want none", err)
			}
			if err := client.Close(); err != nil {
				t.Fatal(err)
			}
			if abandoned := testutil.Receive(t, loop.abandoned); abandoned != request || request.Validate() == nil {
				t.Errorf("got abandoned request %+v, want the submitted one with an error of Validate", abandoned)
			}
		})
	}
}

// A request is abandoned if its client sends many bytes after it, since a disconnect would not be detected then.
func TestFloodedConnection(t *testing.T) {
	t.Parallel()
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), neverRespond, nil)
	client := testutil.Dial(t, server.Addr(), testutil.RawGet(id))
	request := testutil.Receive(t, loop.received)
	behind := strings.Repeat(testutil.RawGet(otherID), 2*maxUnreadBytes/len(testutil.RawGet(otherID)))
	go func() { _, _ = io.WriteString(client, behind) }() // returns when the connection is closed
	if abandoned := testutil.Receive(t, loop.abandoned); abandoned != request {
		t.Errorf("got abandoned request %+v, want the submitted one", abandoned)
	}
	if text, _ := io.ReadAll(client); strings.Contains(string(text), " 200 ") { // a reset may discard the response
		t.Errorf("got response %q, want none with status 200", text)
	}
}

// requestsOfManyBytes are the requests that startWithManyBytes sends behind the first one, 50 KB in all.
const requestsOfManyBytes = 50

// startWithManyBytes starts a server, and sends a request with many others behind it. It returns when the connection
// has been examined since.
func startWithManyBytes(t *testing.T) (loop *fakeEventLoop, submitted chan *Request, client net.Conn) {
	t.Helper()
	submitted = make(chan *Request, 1)
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), func(r *Request) { submitted <- r }, nil)
	post := testutil.RawPost(otherID, "Content-Length: 1000\r\n") + strings.Repeat("y", 1000)
	client = testutil.Dial(t, server.Addr(), testutil.RawGet(id)+strings.Repeat(post, requestsOfManyBytes))
	time.Sleep(2 * disconnectPollInterval)
	return loop, submitted, client
}

// A client may send many requests at once, and all of them are answered.
func TestManyBytesBehindRequest(t *testing.T) {
	t.Parallel()
	_, submitted, client := startWithManyBytes(t)
	in := bufio.NewReader(client)
	for number := range requestsOfManyBytes + 1 {
		releaseAndRespond(testutil.Receive(t, submitted))
		if status := testutil.ReadResponse(t, in).StatusCode; status != http.StatusOK {
			t.Fatalf("request %d: got status %d, want 200", number, status)
		}
	}
}

// The close of a client is detected although many bytes before it are unread.
func TestCloseBehindManyBytes(t *testing.T) {
	t.Parallel()
	loop, submitted, client := startWithManyBytes(t)
	request := testutil.Receive(t, submitted)
	_ = client.Close() // an error does not affect the test
	if abandoned := testutil.Receive(t, loop.abandoned); abandoned != request {
		t.Errorf("got abandoned request %+v, want the submitted one", abandoned)
	}
}

// Requests that wait for a response fail with 502 when the event loop stops.
func TestEventLoopStopped(t *testing.T) {
	t.Parallel()
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), neverRespond, nil)
	client := testutil.Dial(t, server.Addr(), testutil.RawGet(id))
	testutil.Receive(t, loop.received)
	close(loop.done)
	if status := testutil.ReadStatus(t, client); status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", status)
	}
}

func TestRequestError(t *testing.T) {
	cause := errors.New("cause")
	var err error = &RequestError{Status: http.StatusBadRequest, Reason: "bad body", Err: cause}
	var requestErr *RequestError
	if !errors.As(err, &requestErr) || !errors.Is(err, cause) || err.Error() != "bad body: cause" {
		t.Errorf("got error %v, want a *RequestError with its cause", err)
	}
	if text := badRequest("reason").Error(); text != "reason" {
		t.Errorf("got error %q, want \"reason\"", text)
	}
}
