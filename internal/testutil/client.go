package testutil

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// RequestID is a well-formed X-Call-Id.
const RequestID = "00000000000000a1"

// NthID returns a well-formed X-Call-Id, a different one for each number.
func NthID(number int) string { return fmt.Sprintf("%016x", number) }

// RawGet returns the text of a request of the idempotent class of Settings.
func RawGet(id string) string {
	return "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 7000\r\n\r\n"
}

// RawPost returns the head of a request of the class of Settings that is not idempotent, with further header lines, each
// terminated by CRLF.
func RawPost(id, headers string) string {
	return "POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 7000\r\n" + headers + "\r\n"
}

// Dial opens a connection and writes text to it. The connection is closed when the test ends.
func Dial(t *testing.T, addr net.Addr, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(Timeout)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text) // fails where the other side closes early, which is for the test to judge
	return conn
}

// Write writes text to a connection.
func Write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// ReadResponse reads one response, body included, from a connection that may bring more.
func ReadResponse(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response
}

// ReadStatus reads one response from a connection and returns its status. What comes behind the response is lost.
func ReadStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	return ReadResponse(t, bufio.NewReader(conn)).StatusCode
}

// Do sends a request on a connection of its own and returns the response and its body. headers holds names and
// values in turn.
func Do(t *testing.T, addr net.Addr, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: Timeout}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}
