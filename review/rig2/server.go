package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is a request that a server has received whole.
type attempt struct {
	server      *server
	id, key     string
	class       string
	toldMs      int // X-Budget-Ms
	bodyLength  int
	began, came time.Time // times of its first and of its last byte
}

// answer is what a server does with an attempt.
type answer struct {
	after  time.Duration
	status int
	runs   bool
}

// server is a stand-in for a passage server.
type server struct {
	rec      *record
	entry    entry
	listener net.Listener
	handle   func(attempt) answer
	ledger   *ledger

	mu      sync.Mutex
	conns   map[net.Conn]bool
	working int // attempts without an answer
	dead    bool
}

// ledger holds what was run, by the key of the request, and drops repeats as the servers of one group do.
type ledger struct {
	rec    *record
	window time.Duration
	group  func(entry) string

	mu       sync.Mutex
	attempts []attempt
	runs     map[string][]run
}

type run struct {
	at     time.Time
	server entry
}

func newLedger(rec *record, window time.Duration, group func(entry) string) *ledger {
	return &ledger{rec: rec, window: window, group: group, runs: map[string][]run{}}
}

// run runs an attempt, unless its group has run its key within the window.
func (l *ledger) run(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := a.key
	if key == "" {
		key = a.id
	}
	for _, r := range l.runs[key] {
		if a.key != "" && l.group(r.server) == l.group(a.server.entry) && time.Since(r.at) < l.window {
			l.rec.add(time.Now(), "server %s dropped a repeat of %s", a.server.entry.ID, key)
			return
		}
	}
	l.runs[key] = append(l.runs[key], run{time.Now(), a.server.entry})
	l.rec.add(time.Now(), "server %s (zone %s, cell %d) ran %s %s", a.server.entry.ID, a.server.entry.Zone,
		a.server.entry.Cell, a.class, key)
}

func (l *ledger) received(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *ledger) all() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attempt(nil), l.attempts...)
}

// listen returns a listener on an address, or on a free port of the loopback address if it is empty.
func listen(addr string) (net.Listener, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	return net.Listen("tcp", addr)
}

func newServer(rec *record, e entry, l *ledger, handle func(attempt) answer) (*server, error) {
	listener, err := listen(e.Addr)
	if err != nil {
		return nil, err
	}
	e.Addr = listener.Addr().String()
	s := &server{rec: rec, entry: e, listener: listener, handle: handle, ledger: l, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// die resets all connections and refuses new ones, as the death of a process does.
func (s *server) die() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	s.rec.add(time.Now(), "server %s crashed: %d connections are reset, %d with a request", s.entry.ID, len(s.conns), s.working)
}

func (s *server) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// isResting reports whether the agent has a connection to the server, and no request is on any.
func (s *server) isResting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0 && s.working == 0
}

func (s *server) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working += change
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		began := time.Now()
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		a := attempt{server: s, id: request.Header.Get("X-Call-Id"), key: request.Header.Get("Idempotency-Key"),
			class: request.URL.Path, bodyLength: len(body), began: began, came: time.Now()}
		a.toldMs, _ = strconv.Atoi(request.Header.Get("X-Budget-Ms"))
		if a.id == "" { // a probe
			_, _ = fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.ledger.received(a)
		s.rec.add(began, "server %s got %s, told %d ms", s.entry.ID, a.id, a.toldMs)
		do := s.handle(a)
		s.count(1)
		time.Sleep(do.after)
		s.count(-1)
		if s.isDead() {
			return
		}
		if do.runs {
			s.ledger.run(a)
		}
		text := "done " + a.id
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", do.status, len(text),
			text); err != nil {
			return
		}
	}
}
