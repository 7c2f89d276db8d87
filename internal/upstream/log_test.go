package upstream

import (
	"regexp"
	"testing"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// The log must tell for each attempt which connection carried it, and for each connection why it was closed.
func TestAttemptsAndClosesAreLogged(t *testing.T) {
	server := testutil.NewServer(t, respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	client, logged := newTestClient(t, server.Addr()), &testutil.Log{}
	client.log, client.pool.log = testutil.NewDebugLogger(logged), testutil.NewDebugLogger(logged)
	client.mustServe(t)
	client.mustServe(t)
	client.DrainConnections("s0")
	for _, pattern := range []string{
		`level=DEBUG msg="attempt finished" id=00000000000000a1 attempt=0 endpoint=s0 result=served conn=1 ` +
			`exchanges=1 idle=0s status=200 took=\S+ reusable=true first_byte=\S+`,
		`conn=1 exchanges=2 idle=[1-9]\S* status=200`,
		`level=DEBUG msg="connection closed" endpoint=s0 conn=1 exchanges=2 idle=\S+ reason="endpoint drains, `,
	} {
		if !regexp.MustCompile(pattern).MatchString(logged.String()) {
			t.Errorf("got the log\n%s, want a line that matches %s", logged, pattern)
		}
	}
}

// Unrequested bytes must be logged as a warning and counted.
func TestUnrequestedBytesAreLogged(t *testing.T) {
	server := testutil.NewServer(t, respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	client, logged := newTestClient(t, server.Addr()), &testutil.Log{}
	client.pool.log = testutil.NewLogger(logged)
	client.mustServe(t)
	request := testutil.Receive(t, server.Received)
	server.WriteTo(t, request.RemoteAddr, "HTTP/1.1 200 OK\r\n")
	testutil.WaitFor(t, "the bytes", func() bool { return socket.HasUnread(client.oldestIdle()) })
	client.mustServe(t)
	if !logged.Contains(`level=WARN msg="connection closed after unrequested bytes" endpoint=s0 conn=1 exchanges=1`) {
		t.Errorf("got the log %q, want a warning of the unrequested bytes", logged)
	}
	if got, want := client.Totals(), (Totals{Dials: 2, Exchanges: 2, UnrequestedBytes: 1}); got != want {
		t.Errorf("got totals %+v, want %+v", got, want)
	}
}
