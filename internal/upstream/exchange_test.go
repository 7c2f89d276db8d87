package upstream

import (
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

// Responses and parts of them.
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

// The protocol's table of outcomes, on which the rule on repeated requests rests. A request goes out only once for
// one attempt.
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
		{"rejected as too late", respondRejected(504), testutil.Timeout, balancer.Rejected},
		{"503 without a mark", respond(503, ""), testutil.Timeout, balancer.ServerError},
		{"an unknown status", respond(302, ""), testutil.Timeout, balancer.ServerError},
		{"an error marked as rejected", respondRejected(500), testutil.Timeout, balancer.ServerError},
		{"closed without a response", respondAndClose(""), testutil.Timeout, balancer.Reset},
		{"half a head", respondAndClose(okHead + "Cont"), testutil.Timeout, balancer.Reset},
		{"half a body", respondAndClose(truncatedBody), testutil.Timeout, balancer.Reset},
		{"half a chunked body", respondAndClose(chunkedHead + "4\r\nhalf\r\n"), testutil.Timeout, balancer.Reset},
		{"not HTTP", respondAndClose("220 mail\r\n\r\n"), testutil.Timeout, balancer.ServerError},
		{"an endless head", respondAndClose(endlessHead), testutil.Timeout, balancer.ServerError},
		{"informational responses ahead", respondAndClose(informational + okResponse), testutil.Timeout, balancer.Served},
		{"endless informational responses", respondAndClose(endlessInformational), testutil.Timeout, balancer.ServerError},
		{"another protocol", respondAndClose(switchingProtocols + okResponse), testutil.Timeout, balancer.ServerError},
		{"chunks", respondAndClose(chunkedHead + "2\r\nok\r\n0\r\n\r\n"), testutil.Timeout, balancer.Served},
		{"noise, then silence", respondAndHang("\x00\xff\x17"), testutil.Timeout, balancer.ServerError},
		{"a body that stalls", respondAndHang(truncatedBody), testutil.Timeout, balancer.ServerError},
		{"a body of 3 GB", respondAndHang(oversizedLength), testutil.Timeout, balancer.ServerError},
		{"two lengths", respondAndHang(twoLengths), testutil.Timeout, balancer.ServerError},
		{"length and encoding", respondAndHang(bothFramings), testutil.Timeout, balancer.ServerError},
		{"a negative length", respondAndHang(negativeLength), testutil.Timeout, balancer.ServerError},
		{"no length", respondAndHang(okHead + "\r\nbody"), testutil.Timeout, balancer.ServerError},
		{"too large a body", respond(200, largestBody+"x"), testutil.Timeout, balancer.ServerError},
		{"the largest body", respond(200, largestBody), testutil.Timeout, balancer.Served},
		{"silence", testutil.Hang, time.Second, balancer.TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := testutil.NewServer(t, tt.respond)
			client := newTestClient(t, server.Addr())
			result, response := client.attempt(tt.timeout)
			if result != tt.want {
				t.Errorf("result %d, want %d", result, tt.want)
			}
			if response.Err != nil && result == balancer.ServerError && !errors.Is(response.Err, ErrMalformedResponse) {
				t.Errorf("error %v, want ErrMalformedResponse", response.Err)
			}
			if n := len(server.Received); n != 1 {
				t.Errorf("the endpoint got %d requests for one attempt", n)
			}
		})
	}
}

// A reused connection that breaks after the write may have run its request, even if nothing came back, and nothing
// may send that again by itself.
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
		t.Errorf("second: result %d, want Reset", result)
	}
	if len(server.Received) != 2 {
		t.Errorf("the endpoint got %d requests for two attempts", len(server.Received))
	}
}

// A cancelled attempt closes its connection, on which it would still count.
func TestCancelClosesConnection(t *testing.T) {
	ignoreRequest := func(net.Conn, *http.Request, []byte) bool { return true }
	server := testutil.NewServer(t, ignoreRequest)
	client := newTestClient(t, server.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan balancer.Result, 1)
	go func() {
		result, _ := client.Attempt(ctx, newUnsafeRequest(), "s0", newBounds(testutil.Timeout))
		results <- result
	}()
	testutil.Receive(t, server.Received)
	cancel()
	if result := testutil.Receive(t, results); result != balancer.Cancelled {
		t.Errorf("result %d, want Cancelled", result)
	}
	testutil.Receive(t, server.Closed)
}

// Bytes behind a response must not be read as the response to the next request: the good response before them counts,
// and the connection is not used again.
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
		{"at once", respondRaw(doubled), false},
		{"later, while idle", respondAgainLater, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			client := newTestClient(t, testutil.NewServer(t, tt.respond).Addr())
			hasUnread := func() bool { return socket.HasUnread(client.oldestIdle()) }
			for i := range 3 {
				result, response := client.attempt(testutil.Timeout)
				if result != balancer.Served || string(response.Body) != "did x" {
					t.Fatalf("request %d: result %d, body %q", i, result, response.Body)
				}
				if tt.late {
					sendMore <- struct{}{}
					testutil.Eventually(t, "the extra response", hasUnread)
				}
			}
		})
	}
}

// A response with no length ends with its connection: it is complete if that was closed, and not if it was reset or
// brings no more.
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
		{"closed, no word on the connection", respondAndClose(okHead + "\r\n" + body), balancer.Served, body},
		{"closed, the largest body", respondAndClose(okHead + "\r\n" + largestBody), balancer.Served, largestBody},
		{"closed, too large a body", respondAndClose(okHead + "\r\n" + largestBody + "x"), balancer.ServerError, ""},
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
				t.Errorf("result %d, want %d, with a body of %d bytes: %v",
					result, tt.want, len(response.Body), response.Err)
			}
			if open := client.OpenConnections(); open != 0 {
				t.Errorf("%d connections are still open", open)
			}
		})
	}
}

// failingConn is a connection that breaks by a cause once the request is written.
type failingConn struct {
	net.Conn
	cause error
}

func (c failingConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c failingConn) Read([]byte) (int, error)        { return 0, &net.OpError{Op: "read", Err: c.cause} }
func (c failingConn) SetDeadline(time.Time) error     { return nil }
func (c failingConn) SetReadDeadline(time.Time) error { return nil }

// A connection that breaks is no time-out, whatever the system calls it.
func TestConnectionErrorsAreResets(t *testing.T) {
	for _, cause := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPIPE, syscall.ENETDOWN, syscall.ECONNABORTED} {
		conn := failingConn{cause: cause}
		deadline := time.Now().Add(testutil.Timeout)
		outcome := roundTrip(context.Background(), conn, []byte("x"), deadline, testutil.Timeout)
		if result := classify(outcome, false); result != balancer.Reset {
			t.Errorf("%v: result %d, want Reset", cause, result)
		}
	}
}
