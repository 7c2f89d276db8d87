package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one request of a client, and what came of it.
type call struct {
	id, key    string
	class      string
	budget     time.Duration
	bodyLength int       // of a request with a key
	sent       time.Time // time of its last byte
	answered   time.Time // time of the last byte of its answer; zero: there was none
	status     int
	body       string
	err        error
}

var lastID atomic.Uint64

func init() { lastID.Store(uint64(time.Now().UnixNano()) << 8) }

func newCall(class string, budget time.Duration) *call {
	c := &call{id: fmt.Sprintf("%016x", lastID.Add(1)), class: class, budget: budget, bodyLength: 64}
	if class != "account-check" {
		c.key = "5c0f6e1a2b3d4c59" + c.id
	}
	return c
}

// text returns the request as PROTOCOL-ashshunt.md shows it.
func (c *call) text() string {
	method, key, body := "GET", "", ""
	if c.key != "" {
		body = strings.Repeat("x", c.bodyLength)
		method, key = "POST", fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n", c.key, len(body))
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: %s\r\nX-Caller: tolweg-noord\r\n"+
		"X-Budget-Ms: %d\r\n%s\r\n%s", method, c.class, c.id, c.budget.Milliseconds(), key, body)
}

// readAnswer reads the answer of a call.
func (c *call) readAnswer(rec *record, in *bufio.Reader) (closes bool) {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		c.err = err
		rec.add(time.Now(), "client: %s got no answer: %v", c.id, err)
		return true
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.err = err
		rec.add(time.Now(), "client: the answer of %s is not whole: %v", c.id, err)
		return true
	}
	c.answered, c.status, c.body = time.Now(), response.StatusCode, string(body)
	rec.add(c.answered, "client: %s got %d after %.3f s", c.id, c.status, c.answered.Sub(c.sent).Seconds())
	return response.Close
}

// client is a stand-in for a client with one connection, on which it sends one call at a time.
type client struct {
	rec  *record
	addr string
	conn net.Conn
	in   *bufio.Reader
}

// connect opens the connection unless it is open.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send writes calls at once.
func (c *client) send(calls ...*call) error {
	text := ""
	for _, each := range calls {
		text += each.text()
	}
	_, err := io.WriteString(c.conn, text)
	now := time.Now()
	for _, each := range calls {
		each.sent = now
		c.rec.add(now, "client: sent %s %s, waits %d ms", each.class, each.id, each.budget.Milliseconds())
	}
	return err
}

// do sends a call and waits for its answer until its time is up and the excused half second has passed. A call whose
// connection was closed without an answer is sent once more on a new connection.
func (c *client) do(each *call) {
	for try := 0; try < 2; try++ {
		each.err = nil
		if each.err = c.connect(); each.err != nil {
			return
		}
		each.err = c.send(each)
		_ = c.conn.SetReadDeadline(time.Now().Add(each.budget + 3*time.Second))
		closes := true
		if each.err == nil {
			closes = each.readAnswer(c.rec, c.in)
		}
		if closes {
			c.close()
		}
		if each.err == nil {
			return
		}
	}
}
