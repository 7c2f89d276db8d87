package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that has arrived whole at a passage server.
type Arrival struct {
	Server  string
	ID      string
	Class   string
	Key     string
	Budget  string
	At      time.Time
	Request *http.Request
	Body    []byte
}

// Server is a passage server with two cores and a waiting room. It answers in the order of arrival.
type Server struct {
	ID       string
	Addr     string
	Zone     int // number of its data centre
	listener net.Listener
	cores    chan struct{}
	// Work returns the time that a request takes on a core.
	Work func(Arrival) time.Duration
	// OnArrival is called when a request has arrived whole. It may be nil.
	OnArrival func(Arrival)
	// OneWay is the delay of the network to the agents, in each direction.
	OneWay time.Duration
	// CopyAfter returns the time after an answer at which a second copy of it follows, and whether there is one. No copy
	// follows if by then the next request has begun to arrive on the connection. It may be nil.
	CopyAfter func(Arrival) (time.Duration, bool)
	// OnCopy is called when a second copy is written. It may be nil.
	OnCopy func(Arrival)
	// Answer writes the answer to a request that has run and reports whether the connection stays open. If it is nil,
	// the server answers 200 with Body.
	Answer func(net.Conn, Arrival) bool
}

// Body returns the body of the answer that a passage server makes for a request.
func Body(id string) string { return "served " + id + " in full\n" }

const serverCores = 2

// NewServer starts a passage server on a free port.
func NewServer(id string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: listener.Addr().String(), listener: listener, cores: make(chan struct{}, serverCores)}
	s.Work = func(Arrival) time.Duration { return 40 * time.Millisecond }
	return s, nil
}

// Start accepts connections.
func (s *Server) Start() {
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			if s.OneWay > 0 {
				conn = Delay(conn, s.OneWay)
			}
			go s.serve(conn)
		}
	}()
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var mu sync.Mutex
	started := 0 // requests that have begun to arrive on the connection
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		mu.Lock()
		started++
		number := started
		mu.Unlock()
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		arrival := Arrival{
			Server: s.ID, ID: request.Header.Get("X-Call-Id"), Key: request.Header.Get("Idempotency-Key"),
			Budget: request.Header.Get("X-Budget-Ms"), Class: firstPart(request.URL.Path), At: time.Now(),
			Request: request, Body: body,
		}
		if request.URL.Path == "/healthz" || request.URL.Path == "/load" {
			Respond(conn, 200, "", "TEXT inflight=0, queue=0\n")
			continue
		}
		if arrival.ID == "" {
			Respond(conn, 404, "", "")
			continue
		}
		if s.OnArrival != nil {
			s.OnArrival(arrival)
		}
		s.cores <- struct{}{}
		time.Sleep(s.Work(arrival))
		<-s.cores
		if s.Answer != nil {
			if !s.Answer(conn, arrival) {
				return
			}
			continue
		}
		Respond(conn, 200, "", Body(arrival.ID))
		if s.CopyAfter == nil {
			continue
		}
		if after, ok := s.CopyAfter(arrival); ok {
			time.AfterFunc(after, func() {
				mu.Lock()
				defer mu.Unlock()
				if started == number { // nothing else waits on the connection
					if s.OnCopy != nil {
						s.OnCopy(arrival)
					}
					Respond(conn, 200, "", Body(arrival.ID))
				}
			})
		}
	}
}

func firstPart(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return path[min(1, len(path)):]
}

// Respond writes an answer. Each line of headers ends with CRLF.
func Respond(conn net.Conn, status int, headers, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}
