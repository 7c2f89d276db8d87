package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"ashshunt/internal/testutil"
)

var soakRequestIDs atomic.Int64

// soakClient sends requests one after the other and keeps its connection as long as it stays open.
type soakClient struct {
	soak *soak
	conn net.Conn
	in   *bufio.Reader
	used bool // the connection has had a request
}

func newSoakClient(s *soak) *soakClient { return &soakClient{soak: s} }

// run sends requests until the end of the run.
func (c *soakClient) run() {
	rng := c.soak.rng
	for {
		pause := rng.between(0, 60*time.Millisecond)
		if !c.soak.connectsNow() { // a shutdown: what is still open is used up to the kill
			pause = rng.between(0, 5*time.Millisecond)
		} else if rng.chance(0.03) {
			pause = rng.between(time.Second, 2500*time.Millisecond) // rests on its connection
		}
		select {
		case <-c.soak.stopped:
			c.disconnect()
			return
		case <-time.After(pause):
		}
		if !c.connect() {
			continue
		}
		class := c.soak.classes[int(rng.float()*float64(len(c.soak.classes)))]
		request := &soakRequest{class: class.name, onKept: c.used, bodyLength: int(rng.float() * 2000),
			timeout: time.Duration((0.7 + 0.3*rng.float()) * float64(class.deadline)).Truncate(time.Millisecond)}
		request.id = testutil.ID(int(soakRequestIDs.Add(1)))
		c.send(request, class)
	}
}

func (c *soakClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // the agent may have closed it
		c.conn = nil
	}
}

// connect opens a connection if there is none and clients may.
func (c *soakClient) connect() bool {
	if c.conn != nil {
		return true
	}
	if !c.soak.connectsNow() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.soak.listen, time.Second)
	if err != nil {
		return false // nothing was taken
	}
	c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
	return true
}

// text is a request as it is sent.
func (r *soakRequest) text(class soakClass) string {
	method, headers, body := "POST", "", strings.Repeat("x", r.bodyLength)
	switch class.semantics {
	case "repeatable":
		method, body = "GET", ""
	case "by_key":
		headers = "Idempotency-Key: k" + r.id + "\r\n"
	}
	if body != "" {
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n%s\r\n%s",
		method, class.name, r.id, r.timeout.Milliseconds(), headers, body)
}

// send sends a request and tells the judge what came of it.
func (c *soakClient) send(request *soakRequest, class soakClass) {
	rng, judge := c.soak.rng, c.soak.judge
	c.used = true
	text := request.text(class)
	if rng.chance(0.02) { // stops half-way and stays
		c.stopHalfWay(text[:1+int(rng.float()*float64(len(text)-2))])
		return
	}
	request.begunAt = time.Now()
	if rng.chance(0.2) { // comes in pieces
		half := 1 + int(rng.float()*float64(len(text)-2))
		if _, err := io.WriteString(c.conn, text[:half]); err != nil {
			c.disconnect()
			return
		}
		time.Sleep(rng.between(0, 400*time.Millisecond))
		text = text[half:]
	}
	judge.sending(request)
	if _, err := io.WriteString(c.conn, text); err != nil {
		judge.notTaken(request)
		c.disconnect()
		return
	}
	judge.sent(request)
	if rng.chance(0.08) { // leaves early
		time.Sleep(rng.between(0, request.timeout))
		request.leftAt = time.Now()
		c.disconnect()
		return
	}
	c.awaitResponse(request)
}

func (c *soakClient) awaitResponse(request *soakRequest) {
	_ = c.conn.SetReadDeadline(request.sentAt.Add(request.timeout + 3*time.Second)) // fails as the read will
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.disconnect()
		c.soak.judge.closed(request, errors.Is(err, os.ErrDeadlineExceeded))
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.soak.judge.broken("lost", fmt.Sprintf("%s: half a response: %v", request.id, err))
	}
	c.soak.judge.answered(request, response.StatusCode, string(body))
	if response.Close {
		c.disconnect()
	}
}

// stopHalfWay sends the beginning of a request and waits for an error or a close, which it is owed within 3 s.
func (c *soakClient) stopHalfWay(text string) {
	defer c.disconnect()
	if _, err := io.WriteString(c.conn, text); err != nil {
		return
	}
	begin := time.Now()
	_ = c.conn.SetReadDeadline(begin.Add(10 * time.Second)) // fails as the read will
	if _, err := c.in.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
		c.soak.judge.broken("half a request", fmt.Sprintf("%q is kept for over 10 s", text))
	}
	if took := time.Since(begin); took > 3*time.Second+c.soak.judge.slack {
		c.soak.judge.broken("half a request", fmt.Sprintf("%q is kept for %v", text, took))
	}
}

// idleClient connects, says nothing, and does so again when its connection ends.
func (s *soak) idleClient() {
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(s.rng.between(10*time.Millisecond, 100*time.Millisecond)):
		}
		if !s.connectsNow() {
			continue
		}
		conn, err := net.DialTimeout("tcp", s.listen, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(s.rng.between(time.Second, 4*time.Second))) // fails as the read will
		_, _ = conn.Read(make([]byte, 1))                                                   // however it ends
		_ = conn.Close()
	}
}
