package testutil

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// handlerFunc writes the response to a request and reports whether the server keeps the connection open.
type handlerFunc = func(conn net.Conn, request *http.Request, body []byte) bool

// Server is a fake endpoint. It passes each complete request to a handler function.
type Server struct {
	net.Listener
	handle   handlerFunc
	Received chan *http.Request // receives each complete request; RemoteAddr identifies its connection
	Closed   chan struct{}      // receives a value when a connection ends before its next request head is read

	mu    sync.Mutex
	conns map[string]net.Conn // by remote address; protected by mu
}

// NewServer starts a server that answers requests with handle. It accepts connections until it is closed, at the latest
// when the test ends.
func NewServer(t *testing.T, handle func(net.Conn, *http.Request, []byte) bool) *Server {
	t.Helper()
	return newServer(Listen(t), handle)
}

// NewServerAt starts a server on an address, which may be that of a server that has ended.
func NewServerAt(t *testing.T, addr string, handle func(net.Conn, *http.Request, []byte) bool) *Server {
	t.Helper()
	return newServer(ListenAt(t, addr), handle)
}

// Reset closes the listener and resets all connections, as the end of a process does.
func (s *Server) Reset(t *testing.T) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		if tcpConn, ok := conn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0) // fails if the connection is closed
		}
		_ = conn.Close() // an error means that it is closed
	}
}

func newServer(listener net.Listener, handle handlerFunc) *Server {
	s := &Server{
		Listener: listener,
		handle:   handle,
		Received: make(chan *http.Request, eventBuffer),
		Closed:   make(chan struct{}, eventBuffer),
		conns:    map[string]net.Conn{},
	}
	go s.acceptAll()
	return s
}

// acceptAll serves connections until the listener is closed.
func (s *Server) acceptAll() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn.RemoteAddr().String()] = conn
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// WriteTo writes text on the connection of a client, whether it has sent a request or not.
func (s *Server) WriteTo(t *testing.T, remoteAddr, text string) {
	t.Helper()
	s.mu.Lock()
	conn := s.conns[remoteAddr]
	s.mu.Unlock()
	Write(t, conn, text)
}

// serve answers the requests of one connection.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			s.Closed <- struct{}{}
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.RemoteAddr = conn.RemoteAddr().String()
		s.Received <- request
		if !s.handle(conn, request, body) {
			return
		}
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.Listener.Addr().String() }

// Respond writes a response. headers holds additional header lines, each terminated by CRLF.
func Respond(conn net.Conn, status int, headers, body string) {
	// An error means that the peer has disconnected, which tests allow.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// Echo responds with "did " and the body of the request.
func Echo(conn net.Conn, _ *http.Request, body []byte) bool {
	Respond(conn, http.StatusOK, "", "did "+string(body))
	return true
}

// Hang does not respond. It returns when the peer closes the connection.
func Hang(conn net.Conn, _ *http.Request, _ []byte) bool {
	_, _ = io.Copy(io.Discard, conn) // returns when the connection ends, with or without an error
	return false
}
