package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/protocol"
	"ashshunt/internal/testutil"
)

// lengthResponse returns a response with status 200 and any Content-Length.
func lengthResponse(length int, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, length, body)
}

// A client must not be served a part of its response or another request's, if bytes behind that show that it may be so.
func TestResponseFollowedByOtherBytesIsNotServed(t *testing.T) {
	const body, other = "did 00000000000000a1 in full\n", "did 00000000000000b2 in full\n"
	beyondBuffer := strings.Repeat("x", 4*responseBufferSize)
	good, otherGood := lengthResponse(len(body), body), lengthResponse(len(other), other)
	goodBeyondBuffer := lengthResponse(len(beyondBuffer), beyondBuffer)
	chunked := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	const lastChunk = "0\r\n\r\n"
	for _, tt := range []struct {
		name string
		raw  string
		want balancer.Result
	}{
		{"nothing behind", good, balancer.Served},
		{"length 12 too small", lengthResponse(len(body)-12, body), balancer.ServerError},
		{"length 1 too small", lengthResponse(len(body)-1, body), balancer.ServerError},
		{"length of 0, with a body", lengthResponse(0, body), balancer.ServerError},
		{"length 1 too small, beyond the read buffer", lengthResponse(len(beyondBuffer)-1, beyondBuffer),
			balancer.ServerError},
		{"length too small, Connection: close", okHead + "Connection: close\r\nContent-Length: 3\r\n\r\n" + body,
			balancer.ServerError},
		{"last chunk too early", chunkedHead + chunked(body[:9]) + lastChunk + chunked(body[9:]) + lastChunk,
			balancer.ServerError},
		{"another response ahead", otherGood + good, balancer.ServerError},
		{"a rejection behind", good + rejection, balancer.ServerError},
		{"a rejection ahead", rejection + good, balancer.ServerError},
		{"two rejections", rejection + rejection, balancer.ServerError},
		{"noise behind", good + "noise", balancer.ServerError},
		{"noise like a response behind", good + "HTTP/1.1 noise\r\n\r\n", balancer.ServerError},
		{"1xx behind", good + informational, balancer.ServerError},
		{"length too large, a copy behind", lengthResponse(len(body)+12, body) + good, balancer.ServerError},
		{"a copy behind", good + good, balancer.Served},
		{"a copy behind, beyond the read buffer", goodBeyondBuffer + goodBeyondBuffer, balancer.Served},
		{"a copy in other chunks behind", good + chunkedHead + chunked(body[:9]) + chunked(body[9:]) + lastChunk,
			balancer.Served},
		{"a part of a copy behind", good + good[:len(good)-1], balancer.ServerError},
		{"a copy and another response behind", good + good + otherGood, balancer.ServerError},
		{"a copy beyond the limit behind", good + lengthResponse(protocol.MaxBodySize+1, body), balancer.ServerError},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			outcome := exchangeRaw(t, tt.raw)
			if result := classify(outcome, false); result != tt.want {
				t.Errorf("got result %v, want %v", result, tt.want)
			}
			if outcome.reusable != (tt.raw == good) {
				t.Errorf("got reusable %v, want true only with nothing behind the response", outcome.reusable)
			}
			if served := tt.want == balancer.Served; served != (len(outcome.response.Body) > 0) {
				t.Errorf("got a body of %d bytes, want one only if served", len(outcome.response.Body))
			}
		})
	}
}

// exchangeRaw makes an exchange with an endpoint that responds with raw bytes. The response is not read before all of
// them have been written. The exchange has no deadline that a test could reach, so that it hangs if it waits for more
// bytes than the endpoint writes.
func exchangeRaw(t *testing.T, raw string) exchangeOutcome {
	t.Helper()
	listener := testutil.Listen(t)
	written := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		write(conn, raw)
		close(written)
		<-t.Context().Done()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	gated := delayedConn{conn, func() { <-written }}
	return exchange(context.Background(), gated, bytes.NewBufferString("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		exchangeLimits{deadline: time.Now().Add(time.Hour), stallTimeout: time.Second})
}

// A load report must not be taken from a part of a response, in which a number may be cut.
func TestCutLoadReportIsInvalid(t *testing.T) {
	const text = "TEXT inflight=712"
	server := testutil.NewServer(t, respondRaw(lengthResponse(len(text)-2, text)))
	client := newTestClient(t, server.Addr())
	client.loadReports = balancer.LoadReportsWithHealthChecks
	result, response := client.HealthCheck(t.Context(), "s0", balancer.ReuseTerms{})
	if report := response.LoadReport(); result != balancer.ServerError || report.Valid {
		t.Errorf("got result %v, load report %+v, want a server error and no report", result, report)
	}
}
