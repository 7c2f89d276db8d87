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

const (
	// connectTimeout bounds the connects of clients.
	connectTimeout = time.Second
	// responseWait is how long after its deadline a client still waits for a response.
	responseWait = 3 * time.Second
	// incompleteLimit is the time in which the agent must end a connection whose request does not come.
	incompleteLimit = 3 * time.Second
	// incompleteWait is how long a client waits for that end.
	incompleteWait = 10 * time.Second
)

// lastRequestNumber counts the requests of all runs, since they share the space of IDs.
var lastRequestNumber atomic.Int64

// soakClient sends requests one after the other and keeps its connection as long as it stays open.
type soakClient struct {
	soak *soak
	conn net.Conn // nil: none
	in   *bufio.Reader
	used bool // the connection has had a request
}

func newSoakClient(s *soak) *soakClient { return &soakClient{soak: s} }

// run sends requests until the end of the run.
func (c *soakClient) run() {
	for {
		select {
		case <-c.soak.stopped:
			c.disconnect()
			return
		case <-time.After(c.pause()):
		}
		if c.connect() {
			c.send(c.newRequest())
		}
	}
}

// pause is the time before the next request. During a shutdown, what is still open is used up to the kill.
func (c *soakClient) pause() time.Duration {
	rng := c.soak.rng
	usual := rng.between(0, 60*time.Millisecond)
	if !c.soak.clientsMayConnect() {
		return rng.between(0, 5*time.Millisecond)
	}
	if rng.chance(0.03) { // rests on its connection
		return rng.between(time.Second, 2500*time.Millisecond)
	}
	return usual
}

// connect opens a connection if there is none and clients may open one.
func (c *soakClient) connect() bool {
	if c.conn != nil {
		return true
	}
	if !c.soak.clientsMayConnect() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.soak.listen, connectTimeout)
	if err != nil {
		return false // no request was accepted
	}
	c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
	return true
}

func (c *soakClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // the agent may have closed it
		c.conn = nil
	}
}

// newRequest draws a request for the current connection.
func (c *soakClient) newRequest() (*soakRequest, soakClass) {
	rng := c.soak.rng
	class := c.soak.classes[rng.below(len(c.soak.classes))]
	request := &soakRequest{
		class:            class.name,
		reusedConnection: c.used,
		bodyLength:       rng.below(2000),
	}
	shareOfDeadline := 0.7 + 0.3*rng.float()
	request.timeout = time.Duration(shareOfDeadline * float64(class.deadline)).Truncate(time.Millisecond)
	request.id = testutil.NthID(int(lastRequestNumber.Add(1)))
	return request, class
}

// text returns the text of a request.
func (r *soakRequest) text(class soakClass) string {
	method, headers, body := http.MethodPost, "", strings.Repeat("x", r.bodyLength)
	switch class.idempotency {
	case wordIdempotent:
		method, body = http.MethodGet, ""
	case wordWithKey:
		headers = "Idempotency-Key: k" + r.id + "\r\n"
	}
	if body != "" {
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n%s\r\n%s",
		method, class.name, r.id, r.timeout.Milliseconds(), headers, body)
}

// send sends a request and reports to the judge what came of it.
func (c *soakClient) send(request *soakRequest, class soakClass) {
	rng := c.soak.rng
	c.used = true
	text := request.text(class)
	if rng.chance(0.02) {
		c.sendIncomplete(c.beginning(text))
		return
	}
	if !c.write(request, text) {
		c.disconnect()
		return
	}
	if rng.chance(0.08) { // leaves before the response
		time.Sleep(rng.between(0, request.timeout))
		request.disconnectedAt = time.Now()
		c.disconnect()
		return
	}
	c.awaitResponse(request)
}

// beginning draws a part of a text that lacks at least its last byte.
func (c *soakClient) beginning(text string) string { return text[:1+c.soak.rng.below(len(text)-2)] }

// write writes a request, in two pieces at times, and reports whether it could be written whole.
func (c *soakClient) write(request *soakRequest, text string) bool {
	rng, judge := c.soak.rng, c.soak.judge
	request.firstByteAt = time.Now()
	if rng.chance(0.2) {
		first := c.beginning(text)
		if _, err := io.WriteString(c.conn, first); err != nil {
			return false
		}
		time.Sleep(rng.between(0, 400*time.Millisecond))
		text = text[len(first):]
	}
	judge.sending(request)
	if _, err := io.WriteString(c.conn, text); err != nil {
		judge.notSent(request)
		return false
	}
	judge.sent(request)
	return true
}

// awaitResponse reads the response and reports it, or the end of the connection, to the judge.
func (c *soakClient) awaitResponse(request *soakRequest) {
	_ = c.conn.SetReadDeadline(request.sentAt.Add(request.timeout + responseWait)) // fails as the read will
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.disconnect()
		c.soak.judge.closed(request, errors.Is(err, os.ErrDeadlineExceeded))
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.soak.judge.violated(ruleResponse, fmt.Sprintf("%s: half a response: %v", request.id, err))
	}
	c.soak.judge.responded(request, response.StatusCode, string(body))
	if response.Close {
		c.disconnect()
	}
}

// sendIncomplete sends the beginning of a request and waits for an error response or a close.
func (c *soakClient) sendIncomplete(text string) {
	defer c.disconnect()
	if _, err := io.WriteString(c.conn, text); err != nil {
		return
	}
	begin := time.Now()
	_ = c.conn.SetReadDeadline(begin.Add(incompleteWait)) // fails as the read will
	if _, err := c.in.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
		c.soak.judge.violated(ruleIncomplete, fmt.Sprintf("%q is kept for over %v", text, incompleteWait))
	}
	if took := time.Since(begin); took > incompleteLimit+c.soak.judge.slack {
		c.soak.judge.violated(ruleIncomplete, fmt.Sprintf("%q is kept for %v", text, took))
	}
}

// runIdleClient connects, sends nothing, and connects again when its connection ends.
func (s *soak) runIdleClient() {
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(s.rng.between(10*time.Millisecond, 100*time.Millisecond)):
		}
		if !s.clientsMayConnect() {
			continue
		}
		conn, err := net.DialTimeout("tcp", s.listen, connectTimeout)
		if err != nil {
			continue
		}
		idleUntil := time.Now().Add(s.rng.between(time.Second, 4*time.Second))
		_ = conn.SetReadDeadline(idleUntil) // fails as the read will
		_, _ = conn.Read(make([]byte, 1))   // however it ends
		_ = conn.Close()
	}
}
