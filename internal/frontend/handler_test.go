package frontend

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// neverRespond leaves a request without an answer.
func neverRespond(*Request) {}

// What the event loop gets is the request as the client sent it.
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
		t.Errorf("status %d, Retry-After %q", response.StatusCode, retryAfter)
	}
	request := testutil.Receive(t, submitted)
	if request.Method != http.MethodPost || request.Target.Opaque != "/hold/a%2Fb" ||
		request.Target.RawQuery != "x=%20y" || string(request.Body) != "work" || request.IdempotencyKey != "k1" {
		t.Errorf("request %+v", request)
	}
	event := request.Event
	if event.ID != id || event.Class != 1 || event.Key != "h" || !event.ClientRetry ||
		event.Timeout != 700*time.Millisecond || event.Work != 250500*time.Nanosecond {
		t.Errorf("event %+v", event)
	}
	if request.Deadline-request.ArrivedAt != event.Timeout {
		t.Errorf("deadline %v after the arrival", request.Deadline-request.ArrivedAt)
	}
}

// A client that closes its connection is noticed, and its request abandoned, also behind bytes that follow the request.
func TestAbandonedRequest(t *testing.T) {
	for name, behind := range map[string]string{"nothing behind": "", "a byte behind": "G"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), neverRespond, nil)
			client := testutil.Dial(t, server.Addr(), testutil.RawGet(id)+behind)
			request := testutil.Receive(t, loop.received)
			if request.IsClientGone() {
				t.Error("gone while its client waits")
			}
			if err := client.Close(); err != nil {
				t.Fatal(err)
			}
			if abandoned := testutil.Receive(t, loop.abandoned); abandoned != request || !request.IsClientGone() {
				t.Errorf("abandoned: %+v", abandoned)
			}
		})
	}
}

// The request of a client that floods its connection is abandoned, since a disconnect would not be seen.
func TestFloodedConnection(t *testing.T) {
	t.Parallel()
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), neverRespond, nil)
	client := testutil.Dial(t, server.Addr(), testutil.RawGet(id))
	request := testutil.Receive(t, loop.received)
	go func() { _, _ = io.WriteString(client, strings.Repeat("x", 1<<16)) }() // ends with the connection
	if abandoned := testutil.Receive(t, loop.abandoned); abandoned != request {
		t.Errorf("abandoned: %+v", abandoned)
	}
	if text, _ := io.ReadAll(client); strings.Contains(string(text), " 200 ") { // a reset may take the answer along
		t.Errorf("the client got %q", text)
	}
}

// The end of the event loop fails what waits for a response.
func TestEventLoopStopped(t *testing.T) {
	t.Parallel()
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), neverRespond, nil)
	client := testutil.Dial(t, server.Addr(), testutil.RawGet(id))
	testutil.Receive(t, loop.received)
	close(loop.done)
	if status := testutil.ReadStatus(t, client); status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
}

func TestRequestError(t *testing.T) {
	cause := errors.New("cause")
	var err error = &RequestError{Status: http.StatusBadRequest, Reason: "bad body", Err: cause}
	var requestErr *RequestError
	if !errors.As(err, &requestErr) || !errors.Is(err, cause) || err.Error() != "bad body: cause" {
		t.Errorf("error %v", err)
	}
	if text := badRequest("reason").Error(); text != "reason" {
		t.Errorf("error %q", text)
	}
}
