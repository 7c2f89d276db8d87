package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Call is a request of a client.
type Call struct {
	ID     string
	Class  string
	Tenant string
	Key    string // empty: GET without a key
	Body   string
	Budget time.Duration
}

// Answer is what a client got for a call.
type Answer struct {
	Status   int // 0: no whole answer
	Body     string
	Err      error
	SentAt   time.Time // time of the last byte of the request on the connection of the answer
	After    time.Duration
	Conn     string
	Resent   bool
	WasTaken bool // the connection came up and the whole request was written to it
}

// Client is a client of an agent. It sends one request at a time on a connection, keeps its connections, and opens
// another if all are busy.
type Client struct {
	Addr string

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

var nextID atomic.Uint64

// NewID returns a fresh request id.
func NewID() string { return fmt.Sprintf("%016x", 0x9b1f03aa00000000+nextID.Add(1)) }

// NewKey returns a fresh idempotency key.
func NewKey() string { return fmt.Sprintf("%032x", nextID.Add(1)) }

// Encode returns the call as it is written to the connection.
func (c Call) Encode() string {
	method, key := "GET", ""
	if c.Key != "" {
		method, key = "POST", "Idempotency-Key: "+c.Key+"\r\n"
	}
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(c.Body))
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: %s\r\nX-Caller: %s\r\nX-Budget-Ms: %d\r\n%s%s\r\n%s",
		method, c.Class, c.ID, c.Tenant, c.Budget.Milliseconds(), key, length, c.Body)
}

// Do sends a call and waits for its answer until the end of its budget and the extra time.
func (c *Client) Do(call Call, extra time.Duration) Answer {
	conn := c.take()
	if conn != nil {
		if answer, crossed := c.exchange(conn, call, extra); !crossed {
			return answer
		}
	}
	wasIdle := conn != nil
	fresh, err := net.DialTimeout("tcp", c.Addr, call.Budget)
	if err != nil {
		return Answer{Err: err}
	}
	answer, _ := c.exchange(&clientConn{Conn: fresh, in: bufio.NewReader(fresh)}, call, extra)
	answer.Resent = wasIdle
	return answer
}

func (c *Client) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

// exchange reports crossed if the connection ended without a byte of an answer.
func (c *Client) exchange(conn *clientConn, call Call, extra time.Duration) (answer Answer, crossed bool) {
	answer.Conn = conn.LocalAddr().String()
	_ = conn.SetDeadline(time.Now().Add(call.Budget + extra))
	if _, err := io.WriteString(conn, call.Encode()); err != nil {
		_ = conn.Close()
		answer.Err = err
		return answer, true
	}
	answer.SentAt, answer.WasTaken = time.Now(), true
	_, firstErr := conn.in.Peek(1)
	if firstErr != nil {
		_ = conn.Close()
		answer.Err, answer.After = firstErr, time.Since(answer.SentAt)
		timeout, ok := firstErr.(net.Error)
		return answer, !(ok && timeout.Timeout())
	}
	response, err := http.ReadResponse(conn.in, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		answer.Body = string(body)
	}
	answer.After = time.Since(answer.SentAt)
	if err != nil {
		_ = conn.Close()
		answer.Err = err
		return answer, false
	}
	answer.Status = response.StatusCode
	if response.Close {
		_ = conn.Close()
		return answer, false
	}
	_ = conn.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
	return answer, false
}
