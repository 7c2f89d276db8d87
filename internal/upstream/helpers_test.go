package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

// handler responds to a request on its connection and reports whether the connection stays open.
type handler = func(conn net.Conn, request *http.Request, body []byte) bool

// newTestClient returns a client whose endpoints s0, s1, ... have the given addresses.
func newTestClient(tb testing.TB, addrs ...string) *Client {
	tb.Helper()
	list := endpoint.List{Complete: true}
	for i, addr := range addrs {
		entry := endpoint.Entry{ID: fmt.Sprintf("s%d", i), Addr: addr, State: endpoint.StateServing}
		list.Entries = append(list.Entries, entry)
	}
	table := endpoint.NewTable()
	table.Apply(list)
	client := New(Options{
		Table:          table,
		ConnectTimeout: testutil.Timeout,
		Log:            testutil.NewLogger(&testutil.Log{}),
	})
	client.healthCheckTimeout = testutil.Timeout
	client.stallTimeout = time.Second
	return client
}

// newUnsafeRequest returns a request that must not run twice.
func newUnsafeRequest() *Request {
	return &Request{
		ID:       "00000000000000a1",
		Method:   http.MethodPost,
		Host:     "api.internal",
		Target:   &url.URL{Opaque: "/settle"},
		Body:     []byte("x"),
		Lifetime: context.Background(),
		Validate: func() error { return nil },
	}
}

// newOptions returns the options of an attempt with the given timeout.
func newOptions(timeout time.Duration) AttemptOptions {
	return AttemptOptions{Deadline: time.Now().Add(timeout)}
}

// attempt sends an unsafe request to the endpoint s0.
func (c *Client) attempt(timeout time.Duration) (balancer.Result, Response) {
	return c.Attempt(context.Background(), newUnsafeRequest(), "s0", newOptions(timeout))
}

// startAttempt calls attempt on a new goroutine and sends the result to results.
func (c *Client) startAttempt(results chan<- balancer.Result) {
	go func() {
		result, _ := c.attempt(testutil.Timeout)
		results <- result
	}()
}

// mustServe makes an attempt and fails the test unless it is served.
func (c *Client) mustServe(t *testing.T) {
	t.Helper()
	if result, _ := c.attempt(testutil.Timeout); result != balancer.Served {
		t.Fatalf("got result %d, want Served", result)
	}
}

// oldestIdle returns the connection to s0 that has been idle for the longest time.
func (c *Client) oldestIdle() net.Conn {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.groups["s0"].idle[0].netConn
}

// newClientWithTwoIdle returns a client with two idle connections to one server. After a value is sent to next, the
// server handles one request with exceptional.
func newClientWithTwoIdle(t *testing.T, exceptional handler) (client *Client, next chan<- struct{}) {
	t.Helper()
	trigger, gate := make(chan struct{}, 1), make(chan struct{})
	server := testutil.NewServer(t, func(conn net.Conn, request *http.Request, body []byte) bool {
		select {
		case <-trigger:
			return exceptional(conn, request, body)
		default:
			<-gate
			return testutil.Echo(conn, request, body)
		}
	})
	client = newTestClient(t, server.Addr())
	results := make(chan balancer.Result, 2)
	for range 2 { // the attempts run concurrently, so that they need two connections
		client.startAttempt(results)
	}
	for range 2 {
		testutil.Receive(t, server.Received)
	}
	close(gate)
	for range 2 {
		if result := testutil.Receive(t, results); result != balancer.Served {
			t.Fatalf("got result %d, want Served", result)
		}
	}
	return client, trigger
}

// listenWithFullBacklog returns an address on which connections are never established, as with a machine that has
// vanished. The backlog of its listener is full.
func listenWithFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	inet, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("got a socket address of type %T, want *syscall.SockaddrInet4", name)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", inet.Port)
	for range 20 { // the listener accepts no connections
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Skip("this system accepts connections beyond the backlog")
	return ""
}

// respondRejected responds with a status and the X-Rejected header.
func respondRejected(status int) handler {
	return func(conn net.Conn, _ *http.Request, _ []byte) bool {
		testutil.Respond(conn, status, "X-Rejected: 1\r\n", "")
		return true
	}
}

// respond responds with a status and a body.
func respond(status int, body string) handler {
	return func(conn net.Conn, _ *http.Request, _ []byte) bool {
		testutil.Respond(conn, status, "", body)
		return true
	}
}

// respondRaw responds with raw bytes.
func respondRaw(text string) handler {
	return func(conn net.Conn, _ *http.Request, _ []byte) bool {
		write(conn, text)
		return true
	}
}

// respondAndClose responds with raw bytes and closes the connection.
func respondAndClose(text string) handler {
	return func(conn net.Conn, _ *http.Request, _ []byte) bool {
		write(conn, text)
		return false
	}
}

// respondAndHang responds with raw bytes, then keeps the connection open without sending more.
func respondAndHang(text string) handler {
	return func(conn net.Conn, request *http.Request, body []byte) bool {
		write(conn, text)
		return testutil.Hang(conn, request, body)
	}
}

// respondAndReset responds with raw bytes and resets the connection.
func respondAndReset(t *testing.T, text string) handler {
	t.Helper()
	return func(conn net.Conn, _ *http.Request, _ []byte) bool {
		write(conn, text)
		tcpConn, ok := conn.(*net.TCPConn)
		if !ok {
			t.Errorf("got a connection of type %T, want *net.TCPConn", conn)
		} else if err := tcpConn.SetLinger(0); err != nil {
			t.Error(err)
		}
		return false
	}
}

// write sends raw bytes. It ignores errors, since the client may have closed the connection.
func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// delayedConn is a connection that calls beforeRead, which may block, before each read.
type delayedConn struct {
	net.Conn
	beforeRead func()
}

func (c delayedConn) Read(p []byte) (int, error) {
	c.beforeRead()
	return c.Conn.Read(p)
}

// SyscallConn implements syscall.Conn.
func (c delayedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn() //nolint:forcetypeassert // the connections of the tests are sockets
}
