package frontend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"ashshunt/internal/protocol"
	"ashshunt/internal/testutil"
)

// Malformed requests get an error response and do not reach the event loop.
func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, func(s *Server) {
		s.Timeouts.MalformedLinger = testutil.Timeout // the body of a rejected request may arrive slowly
	})
	valid := []string{"X-Call-Id", id, "X-Budget-Ms", "700"}
	withTimeout := func(timeout string) []string { return []string{"X-Call-Id", id, "X-Budget-Ms", timeout} }
	withID := func(id string) []string { return []string{"X-Call-Id", id, "X-Budget-Ms", "700"} }
	largeBody := strings.Repeat("x", protocol.MaxBodySize+1)
	tests := []struct {
		name, method, path, body string
		headers                  []string
		want                     int
	}{
		{"unknown class", "GET", "/nothing", "", valid, 404},
		{"no class", "GET", "/", "", valid, 404},
		{"a class after an empty path segment", "GET", "//look", "", valid, 404},
		{"no ID", "GET", "/look", "", []string{"X-Budget-Ms", "700"}, 400},
		{"a malformed ID", "GET", "/look", "", withID("00000000000000g1"), 400},
		{"a long ID", "GET", "/look", "", withID(id + "0"), 400},
		{"no timeout", "GET", "/look", "", []string{"X-Call-Id", id}, 400},
		{"a timeout with a unit", "GET", "/look", "", withTimeout("700ms"), 400},
		{"a negative timeout", "GET", "/look", "", withTimeout("-1"), 400},
		{"a timeout of zero", "GET", "/look", "", withTimeout("0"), 400},
		{"a huge timeout", "GET", "/look", "", withTimeout("18446744073709551616"), 400},
		{"a class with keys, without a key", "POST", "/hold", "x", valid, 400},
		{"a wrong method", "GET", "/settle", "", valid, 405},
		{"a body in a GET request", "GET", "/look", "x", valid, 400},
		{"a large body", "POST", "/settle", largeBody, valid, 413},
	}
	for _, test := range tests {
		response, _ := testutil.Do(t, server.Addr(), test.method, test.path, test.body, test.headers...)
		if response.StatusCode != test.want {
			t.Errorf("%s: got status %d, want %d", test.name, response.StatusCode, test.want)
		}
	}
	if n := loop.submittedCount.Load(); n != 0 {
		t.Errorf("got %d requests in the event loop, want none", n)
	}
}

// Guards against request smuggling, and against waiting for bodies that never arrive: each of these requests is
// rejected because of its head alone, and its connection is closed.
func TestFraming(t *testing.T) {
	t.Parallel()
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	hidden := testutil.RawPost(otherID, "Content-Length: 0\r\n")
	chunks := "0\r\n\r\n" + hidden
	length := fmt.Sprintf("Content-Length: %d\r\n", len(chunks))
	const chunked = "Transfer-Encoding: chunked\r\n"
	keepAlive := testutil.RawPost(id, "Connection: keep-alive\r\nContent-Length: 5\r\n"+chunked)
	oldVersion := strings.Replace(keepAlive, "/1.1", "/1.0", 1)
	unknownClass := strings.Replace(testutil.RawPost(id, "Content-Length: 100\r\n"), "settle", "x", 1)
	for _, test := range []struct {
		name, text string
		want       int
	}{
		{"length and encoding", testutil.RawPost(id, length+chunked) + chunks, 411},
		{"encoding and length", testutil.RawPost(id, chunked+length) + chunks, 411},
		{"encoding alone", testutil.RawPost(id, chunked) + chunks, 411},
		{"encoding in HTTP/1.0", oldVersion + chunks, 505},
		{"an unknown encoding", testutil.RawPost(id, "Transfer-Encoding: gzip\r\n") + hidden, 501},
		{"two lengths", testutil.RawPost(id, "Content-Length: 4\r\nContent-Length: 9\r\n") + hidden, 400},
		{"a negative length", testutil.RawPost(id, "Content-Length: -1\r\n") + hidden, 400},
		{"a signed length", testutil.RawPost(id, "Content-Length: +4\r\n") + hidden, 400},
		{"a huge length", testutil.RawPost(id, "Content-Length: 3000000000\r\n") + hidden, 413},
		{"a length out of range", testutil.RawPost(id, "Content-Length: 99999999999999999999\r\n") + hidden, 400},
		{"a head over the limit", testutil.RawPost(id, strings.Repeat("A: b\r\n", 1<<13)), 431},
		{"two IDs", testutil.RawPost(id, "X-Call-Id: "+otherID+"\r\nContent-Length: 0\r\n") + hidden, 400},
		{"two timeouts", testutil.RawPost(id, "X-Budget-Ms: 1\r\n") + hidden, 400},
		{"a class without keys, with a key", testutil.RawPost(id, "Idempotency-Key: k\r\n") + hidden, 400},
		{"an unknown class with a body that never arrives", unknownClass, 404},
	} {
		in := bufio.NewReader(testutil.Dial(t, server.Addr(), test.text))
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("%s: got error %v, want a response", test.name, err)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body) // the next read then shows whether the connection is closed
		if response.StatusCode != test.want {
			t.Errorf("%s: got status %d, want %d", test.name, response.StatusCode, test.want)
		}
		if n, err := in.Discard(1); n != 0 || isTimeout(err) {
			t.Errorf("%s: got an open connection after the response, want it closed", test.name)
		}
	}
	if n := loop.submittedCount.Load(); n != 0 {
		t.Errorf("got %d requests in the event loop, want none", n)
	}
}

// Connections are closed if their clients send nothing or never complete a request.
func TestIncompleteRequests(t *testing.T) {
	t.Parallel()
	server, _ := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	texts := []string{"", "POST /settle HTTP/1.1\r\nHo", testutil.RawPost(id, "Content-Length: 10\r\n") + "half"}
	var clients []net.Conn
	for _, text := range texts {
		clients = append(clients, testutil.Dial(t, server.Addr(), text))
	}
	for i, client := range clients {
		if _, err := io.Copy(io.Discard, client); isTimeout(err) { // returns once the server has closed the connection
			t.Errorf("after %q: got an open connection, want it closed", texts[i])
		}
	}
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
