package upstream

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/protocol"
	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// Complete and partial responses.
const (
	okHead             = "HTTP/1.1 200 OK\r\n"
	okResponse         = okHead + "Content-Length: 2\r\n\r\nok"
	chunkedHead        = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	informational      = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	switchingProtocols = "HTTP/1.1 101 Switching Protocols\r\n\r\n"
	bothFramings       = okHead + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	negativeLength     = okHead + "Content-Length: -2\r\n\r\n"
	oversizedLength    = okHead + "Content-Length: 3000000000\r\n\r\nxxxx"
	twoLengths         = okHead + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nfour"
	truncatedBody      = okHead + "Content-Length: 9\r\n\r\nhalf"
)

// Retries depend on the result of an attempt, so each kind of response must have the result that the protocol defines.
// The request must be sent exactly once.
func TestAttemptResults(t *testing.T) {
	endlessHead := okHead + strings.Repeat("A: b\r\n", 1<<16)
	endlessInformational := strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)
	largestBody := strings.Repeat("x", protocol.MaxBodySize)
	tests := []struct {
		name    string
		respond handler
		timeout time.Duration
		want    balancer.Result
	}{
		{"served", testutil.Echo, testutil.Timeout, balancer.Served},
		{"error", respond(500, "no"), testutil.Timeout, balancer.ServerError},
		{"rejected", respondRejected(503), testutil.Timeout, balancer.Rejected},
		{"rejected after the deadline", respondRejected(504), testutil.Timeout, balancer.Rejected},
		{"503 without X-Rejected", respond(503, ""), testutil.Timeout, balancer.ServerError},
		{"undefined status", respond(302, ""), testutil.Timeout, balancer.ServerError},
		{"500 with X-Rejected", respondRejected(500), testutil.Timeout, balancer.ServerError},
		{"closed without a response", respondAndClose(""), testutil.Timeout, balancer.Reset},
		{"truncated head", respondAndClose(okHead + "Cont"), testutil.Timeout, balancer.Reset},
		{"truncated body", respondAndClose(truncatedBody), testutil.Timeout, balancer.Reset},
		{"truncated chunked body", respondAndClose(chunkedHead + "4\r\nhalf\r\n"), testutil.Timeout, balancer.Reset},
		{"not HTTP", respondAndClose("220 mail\r\n\r\n"), testutil.Timeout, balancer.ServerError},
		{"endless head", respondAndClose(endlessHead), testutil.Timeout, balancer.ServerError},
		{"1xx responses first", respondAndClose(informational + okResponse), testutil.Timeout, balancer.Served},
		{"endless 1xx responses", respondAndClose(endlessInformational), testutil.Timeout, balancer.ServerError},
		{"status 101", respondAndClose(switchingProtocols + okResponse), testutil.Timeout, balancer.ServerError},
		{"chunked body", respondAndClose(chunkedHead + "2\r\nok\r\n0\r\n\r\n"), testutil.Timeout, balancer.Served},
		{"binary data, then no data", respondAndHang("\x00\xff\x17"), testutil.Timeout, balancer.ServerError},
		{"stalled body", respondAndHang(truncatedBody), testutil.Timeout, balancer.ServerError},
		{"Content-Length of 3 GB", respondAndHang(oversizedLength), testutil.Timeout, balancer.ServerError},
		{"two Content-Length headers", respondAndHang(twoLengths), testutil.Timeout, balancer.ServerError},
		{"Content-Length and Transfer-Encoding", respondAndHang(bothFramings), testutil.Timeout, balancer.ServerError},
		{"negative Content-Length", respondAndHang(negativeLength), testutil.Timeout, balancer.ServerError},
		{"no Content-Length, kept open", respondAndHang(okHead + "\r\nbody"), testutil.Timeout, balancer.ServerError},
		{"body over the limit", respond(200, largestBody+"x"), testutil.Timeout, balancer.ServerError},
		{"body at the limit", respond(200, largestBody), testutil.Timeout, balancer.Served},
		{"no response", testutil.Hang, time.Second, balancer.TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, tt.respond)
			client := newTestClient(t, server.Addr())
			result, response := client.attempt(tt.timeout)
			if result != tt.want {
				t.Errorf("got result %d, want %d", result, tt.want)
			}
			if response.Err != nil && result == balancer.ServerError && !errors.Is(response.Err, errMalformedResponse) {
				t.Errorf("got error %v, want errMalformedResponse", response.Err)
			}
			if n := len(server.Received); n != 1 {
				t.Errorf("endpoint received %d requests, want 1 for one attempt", n)
			}
		})
	}
}

// If a reused connection fails after the request was written, the request may have run although no response was
// received. The result must be Reset, and the request must not be resent automatically, as http.Transport would.
func TestReusedConnectionFails(t *testing.T) {
	var requests atomic.Int32
	server := testutil.NewServer(t, func(conn net.Conn, request *http.Request, body []byte) bool {
		if requests.Add(1) == 2 {
			return false
		}
		return testutil.Echo(conn, request, body)
	})
	client := newTestClient(t, server.Addr())
	client.mustServe(t)
	if result, _ := client.attempt(testutil.Timeout); result != balancer.Reset {
		t.Errorf("second attempt: got result %d, want Reset", result)
	}
	if len(server.Received) != 2 {
		t.Errorf("endpoint received %d requests, want 2 for two attempts", len(server.Received))
	}
}

// A cancelled attempt must close its connection, or the endpoint would still count the request.
func TestCancelClosesConnection(t *testing.T) {
	ignoreRequest := func(net.Conn, *http.Request, []byte) bool { return true }
	server := testutil.NewServer(t, ignoreRequest)
	client := newTestClient(t, server.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan balancer.Result, 1)
	go func() {
		result, _ := client.Attempt(ctx, newUnsafeRequest(), "s0", newOptions(testutil.Timeout))
		results <- result
	}()
	testutil.Receive(t, server.Received)
	cancel()
	if result := testutil.Receive(t, results); result != balancer.Cancelled {
		t.Errorf("got result %d, want Cancelled", result)
	}
	testutil.Receive(t, server.Closed)
}

// Bytes after a response must not be read as the response to the next request. The response before them is valid, and
// the connection must not be reused.
func TestBytesAfterResponse(t *testing.T) {
	const doubled = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndid xHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndid x"
	sendMore := make(chan struct{})
	respondAgainLater := func(conn net.Conn, request *http.Request, body []byte) bool {
		testutil.Echo(conn, request, body)
		<-sendMore
		testutil.Respond(conn, 200, "", "another's")
		return true
	}
	for _, tt := range []struct {
		name    string
		respond handler
		late    bool
	}{
		{"together with the response", respondRaw(doubled), false},
		{"later, on the idle connection", respondAgainLater, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := newTestClient(t, testutil.NewServer(t, tt.respond).Addr())
			hasUnread := func() bool { return socket.HasUnread(client.oldestIdle()) }
			for i := range 3 {
				result, response := client.attempt(testutil.Timeout)
				if result != balancer.Served || string(response.Body) != "did x" {
					t.Fatalf("request %d: got result %d, body %q, want Served, \"did x\"", i, result, response.Body)
				}
				if tt.late {
					sendMore <- struct{}{}
					testutil.WaitFor(t, "the extra response", hasUnread)
				}
			}
		})
	}
}

// A response without a length ends when its connection is closed. It is incomplete if the connection is reset, or stays
// open without more data.
func TestResponsesWithoutLength(t *testing.T) {
	const body = "as long as it is"
	largestBody := strings.Repeat("x", protocol.MaxBodySize)
	for _, tt := range []struct {
		name    string
		respond handler
		want    balancer.Result
		body    string
	}{
		{"closed", respondAndClose(okHead + "Connection: close\r\n\r\n" + body), balancer.Served, body},
		{"closed, HTTP/1.0", respondAndClose("HTTP/1.0 200 OK\r\n\r\n" + body), balancer.Served, body},
		{"closed, no Connection header", respondAndClose(okHead + "\r\n" + body), balancer.Served, body},
		{"closed, body at the limit", respondAndClose(okHead + "\r\n" + largestBody), balancer.Served, largestBody},
		{"closed, body over the limit", respondAndClose(okHead + "\r\n" + largestBody + "x"), balancer.ServerError, ""},
		{"closed within the head", respondAndClose(okHead + "Connection: close\r\n"), balancer.Reset, ""},
		{"reset", respondAndReset(t, okHead+"\r\n"+body), balancer.Reset, ""},
		{"kept open", respondAndHang(okHead + "\r\n" + body), balancer.ServerError, ""},
		{"an error", respondAndClose("HTTP/1.1 500 X\r\n\r\n" + body), balancer.ServerError, body},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			client := newTestClient(t, testutil.NewServer(t, tt.respond).Addr())
			result, response := client.attempt(testutil.Timeout)
			if result != tt.want || string(response.Body) != tt.body {
				t.Errorf("got result %d, want %d; got a body of %d bytes, error %v",
					result, tt.want, len(response.Body), response.Err)
			}
			if open := client.OpenConnections(); open != 0 {
				t.Errorf("got %d open connections, want 0", open)
			}
		})
	}
}

// failingConn is a connection whose writes succeed and whose reads fail with cause.
type failingConn struct {
	net.Conn
	cause error
}

func (c failingConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c failingConn) Read([]byte) (int, error)        { return 0, &net.OpError{Op: "read", Err: c.cause} }
func (c failingConn) SetDeadline(time.Time) error     { return nil }
func (c failingConn) SetReadDeadline(time.Time) error { return nil }

// A failed connection must be classified as Reset even if the system error is a timeout, such as ETIMEDOUT.
func TestConnectionErrorsAreResets(t *testing.T) {
	for _, cause := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPIPE, syscall.ENETDOWN, syscall.ECONNABORTED} {
		conn := failingConn{cause: cause}
		deadline := time.Now().Add(testutil.Timeout)
		outcome := exchange(context.Background(), conn, bytes.NewBufferString("x"),
			exchangeLimits{deadline: deadline, stallTimeout: testutil.Timeout})
		if result := classify(outcome, false); result != balancer.Reset {
			t.Errorf("%v: got result %d, want Reset", cause, result)
		}
	}
}
