package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// verifyBuffers fails the test if a connection keeps more bytes than its bounds.
func verifyBuffers(t *testing.T, c *connection) {
	t.Helper()
	if len(c.unread) > maxUnread {
		t.Fatalf("got %d unread bytes, want at most %d", len(c.unread), maxUnread)
	}
	if n := c.scanner.bytesBehindHead(); n > maxUnscannedBytes {
		t.Fatalf("got %d bytes behind a head, want at most %d", n, maxUnscannedBytes)
	}
}

// verifyingReader verifies the buffers of a connection after each read.
type verifyingReader struct {
	t    *testing.T
	conn *connection
}

func (r verifyingReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	verifyBuffers(r.t, r.conn)
	return n, err
}

// readAllRequests reads the requests of a client that sends a stream of bytes, as net/http does, and verifies the
// buffers of the connection after each read.
func readAllRequests(t *testing.T, stream []byte) {
	t.Helper()
	listener := testutil.Listen(t)
	client := testutil.Dial(t, listener.Addr(), "")
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	timeouts := DefaultTimeouts()
	table := newConnectionTable(0, &timeouts, newBudget(), testutil.NewLogger(&testutil.Log{}))
	c := table.add(accepted)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = client.Write(stream) // fails when the connection is closed before the end
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // fails only if the connection is closed
		}
	}()
	in := bufio.NewReader(verifyingReader{t: t, conn: c})
	for request, err := http.ReadRequest(in); err == nil; request, err = http.ReadRequest(in) {
		c.scanner.startBody(request.ContentLength)
		if _, err := io.Copy(io.Discard, request.Body); err != nil || request.Close {
			break
		}
		if !c.startResponse() {
			break
		}
		table.handleConnState(c, http.StateIdle)
	}
	verifyBuffers(t, c)
	_ = client.SetDeadline(time.Now()) // ends the write
	<-sent
	_ = c.finishClose() // an error means that it is closed
}

// unboundedStreams are the starts of streams, and what follows again and again, by name.
var unboundedStreams = map[string][2]string{
	"CRLF":                      {"", "\r\n"},
	"LF":                        {"", "\n"},
	"CR":                        {"", "\r"},
	"CRLF behind a request":     {testutil.RawGet(id), "\r\n"},
	"CRLF behind a body":        {testutil.RawPost(id, "Content-Length: 3\r\n") + "abc", "\r\n"},
	"CR within a head":          {"GET / HTTP/1.1\r\n", "\r"},
	"fields":                    {"GET / HTTP/1.1\r\n", "a: b\r\n"},
	"a field without an end":    {"GET / HTTP/1.1\r\na: ", "b"},
	"a target without an end":   {"GET /", "x"},
	"continuation lines":        {"GET / HTTP/1.1\r\na: b\r\n", " c\r\n"},
	"spaces":                    {"", " "},
	"zeros":                     {"", "\x00"},
	"requests":                  {"", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
	"requests with empty lines": {"", "\r\nPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"},
	"bytes behind a request":    {testutil.RawGet(id), "x"},
	"chunks":                    {testutil.RawPost(id, "Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n"},
	"a chunk extension":         {testutil.RawPost(id, "Transfer-Encoding: chunked\r\n") + "1;", "x"},
	"trailers":                  {testutil.RawPost(id, "Transfer-Encoding: chunked\r\n") + "0\r\n", "a: b\r\n"},
}

// Whatever a client sends without end, its connection keeps a bounded number of bytes.
func TestUnreadBytesAreBounded(t *testing.T) {
	const length = 1 << 20
	for name, parts := range unboundedStreams {
		t.Run(name, func(t *testing.T) {
			stream := parts[0] + strings.Repeat(parts[1], length/len(parts[1]))
			readAllRequests(t, []byte(stream))
		})
	}
}

// Whatever a client sends, its connection keeps a bounded number of bytes.
func FuzzUnreadBytes(f *testing.F) {
	const repeats = 1 << 14
	for _, parts := range unboundedStreams {
		f.Add([]byte(parts[0]), []byte(parts[1]))
	}
	f.Fuzz(func(t *testing.T, start, repeated []byte) {
		readAllRequests(t, append(start, strings.Repeat(string(repeated[:min(len(repeated), 16)]), repeats)...))
	})
}

// Empty lines before a request get an error, as soon as there are more than net/http skips.
func TestManyEmptyLinesAreRejected(t *testing.T) {
	server, loop := startServer(t, testutil.Config(t, "127.0.0.1:1"), echo, nil)
	client := testutil.Dial(t, server.Addr(), strings.Repeat("\r\n", maxEmptyLines)+testutil.RawGet(id))
	if status := testutil.ReadStatus(t, client); status != http.StatusBadRequest {
		t.Errorf("got status %d, want 400", status)
	}
	if count := loop.submittedCount.Load(); count != 0 {
		t.Errorf("got %d requests submitted, want none", count)
	}
}
