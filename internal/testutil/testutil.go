// Package testutil holds what the tests of several packages share: stand-in servers, a log that can be read and waits.
package testutil

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ashshunt/internal/config"
)

// Timeout bounds waits for what must happen; nothing waits so long unless it is broken.
const Timeout = 20 * time.Second

// Settings has one class of each kind and wide time bounds.
const Settings = `{"Balancers":1,"Me":0,"TickMs":1,"Dcs":["dc"],"Kinds":["std"],"MembershipMode":"subscribe",
 "Profiles":[
  {"Name":"look","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"repeatable"},
  {"Name":"hold","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"by_key","Group":"cell","WindowMs":6000},
  {"Name":"settle","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"once"}],
 "PolicyLimits":{"TryLimit":3,"Cancel":true,"MayProbe":true,"SecondCopies":true,"ConnectTimeoutMs":5000,"IdleCloseMs":60000},
 "Contract":{"ColdFrom":0.5,"AskWithinMs":640,"DrainGraceMs":250,"RampTimeMs":1000,"FallMs":1000,"FallMultiple":2}}`

// Config is an agent's configuration with these settings, discovery and known endpoints.
func Config(t *testing.T, discovery string, servers ...string) *config.Config {
	t.Helper()
	c, err := config.Parse([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[%s]},"settings":%s}`,
		discovery, strings.Join(servers, ","), Settings)))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// EntryJSON is one entry of the endpoint list, as discovery writes it.
func EntryJSON(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"dc","kind":"std","cell":1,"state":%q,"weight":1,"started_ms":0}`,
		id, addr, state)
}

// Log is a log that tests may read.
type Log struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (c *Log) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buf.Write(p)
}

// Contains reports whether text has been logged.
func (c *Log) Contains(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Contains(c.buf.String(), text)
}

// String is all that was logged so far.
func (c *Log) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buf.String()
}

// NewLogger returns a logger that writes to c.
func NewLogger(c *Log) *slog.Logger { return slog.New(slog.NewTextHandler(c, nil)) }

// Server is a backend: it hands each request that has come whole to do, which answers on the
// connection and returns whether that stays open.
type Server struct {
	net.Listener
	handle   func(conn net.Conn, r *http.Request, body []byte) bool
	Received chan *http.Request // what came
	Closed   chan struct{}      // one for each connection whose other side has closed it
}

// NewServer starts a server whose requests go to do.
func NewServer(t *testing.T, do func(net.Conn, *http.Request, []byte) bool) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Server{Listener: l, handle: do, Received: make(chan *http.Request, 100), Closed: make(chan struct{}, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *Server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			p.Closed <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.RemoteAddr = conn.RemoteAddr().String()
		p.Received <- r
		if !p.handle(conn, r, body) {
			return
		}
	}
}

// Addr is the address that the server listens on.
func (p *Server) Addr() string { return p.Listener.Addr().String() }

// Respond writes a response with further header lines, each ended by CRLF.
func Respond(conn net.Conn, status int, head, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

// Echo responds with the body of the request.
func Echo(conn net.Conn, _ *http.Request, body []byte) bool {
	Respond(conn, 200, "", "did "+string(body))
	return true
}

// Hang answers nothing until the other side closes.
func Hang(conn net.Conn, _ *http.Request, _ []byte) bool {
	io.Copy(io.Discard, conn)
	return false
}

// Discovery is a discovery that hands the test each watch and sends what it is told to.
type Discovery struct {
	Addr     string
	Watches  chan string   // the query of each watch, as it begins
	Say      chan string   // lines for the current watch; "" is an empty one
	Cut      chan struct{} // ends the current watch
	Complete func() string // answers a call for the whole list
}

// NewDiscovery starts a discovery service.
func NewDiscovery(t *testing.T) *Discovery {
	t.Helper()
	d := &Discovery{Watches: make(chan string, 100), Say: make(chan string, 100), Cut: make(chan struct{}, 1),
		Complete: func() string { return "" }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.Addr = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(w, d.Complete())
			return
		}
		w.(http.Flusher).Flush()
		d.Watches <- r.URL.RawQuery
		for {
			select {
			case line := <-d.Say:
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-d.Cut:
				return
			case <-r.Context().Done():
				return
			}
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return d
}

// Receive takes one value from a channel.
func Receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(Timeout):
		t.Fatal("waited in vain")
	}
	return v
}

// Eventually waits for a condition that no event announces.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}
