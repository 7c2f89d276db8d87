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

// RequestID is a valid X-Call-Id.
const RequestID = "00000000000000a1"

// NthID returns a valid X-Call-Id that is unique to number.
func NthID(number int) string { return fmt.Sprintf("%016x", number) }

// RawGet returns a complete GET request of the idempotent class of SettingsJSON, as sent on the wire.
func RawGet(id string) string {
	return "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 7000\r\n\r\n"
}

// RawPost returns the head of a POST request of the non-idempotent class of SettingsJSON, as sent on the wire. headers
// holds additional header lines, each terminated by CRLF.
func RawPost(id, headers string) string {
	return "POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 7000\r\n" + headers + "\r\n"
}

// Dial opens a connection with a deadline of Timeout and writes text to it. The end of the test closes the connection.
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
	_, _ = io.WriteString(conn, text) // fails if the peer closes the connection early, which some tests expect
	return conn
}

// Write writes text to a connection.
func Write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// ReadResponse reads one response including its body. Subsequent responses stay in the reader.
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

// ReadStatus reads one response from a connection and returns its status. It may discard data that follows the
// response.
func ReadStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	return ReadResponse(t, bufio.NewReader(conn)).StatusCode
}

// Do sends a request on a new connection and returns the response and its body. headers holds alternating names and
// values.
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
