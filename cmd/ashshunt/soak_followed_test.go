package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"ashshunt/internal/socket"
)

const (
	soakCutClients   = 2
	soakAheadClients = 2
	soakBurstClients = 2
	// maxBurst is the maximum number of requests that a client sends at once.
	maxBurst = 6
	// maxRestDelay is the maximum time between a part of a request and its rest.
	maxRestDelay = 50 * time.Millisecond
	// maxAheadDelay is the maximum time between a request and the first bytes of the next one.
	maxAheadDelay = 20 * time.Millisecond
	// ackPollInterval is the time between two looks for the acknowledgement of the bytes that were sent.
	ackPollInterval = 200 * time.Microsecond
)

// cutClient sends requests whose length is too small, each with the rest in a write of its own.
type cutClient struct{ *soakClient }

// drawFollowable draws a request that may have a body.
func (c *soakClient) drawFollowable() (*soakRequest, soakClass) {
	for {
		request, class := c.drawRequest()
		if class.idempotency != semanticsIdempotent {
			request.bodyLength++
			return request, class
		}
	}
}

// sendCut sends a request whose length is too small, and later the rest. It must get an error, or the end of its
// connection, unless the rest arrives behind the response of the endpoint.
func (c cutClient) sendCut() {
	defer c.disconnect()
	rng, verifier := c.soak.rng, c.soak.verifier
	request, class := c.drawFollowable()
	request.isCut = true
	length := request.bodyLength - 1
	if rng.drawBool(0.5) {
		length = rng.drawInt(request.bodyLength)
	}
	text := request.text(class)
	text = strings.Replace(text, fmt.Sprintf("Content-Length: %d\r\n", request.bodyLength),
		fmt.Sprintf("Content-Length: %d\r\n", length), 1)
	rest := text[len(text)-(request.bodyLength-length):]
	request.firstByteAt = time.Now()
	verifier.recordSendStart(request)
	if _, err := io.WriteString(c.conn, strings.TrimSuffix(text, rest)); err != nil {
		verifier.recordSendFailure(request, false)
		return
	}
	verifier.recordSent(request)
	if rng.drawBool(0.7) {
		time.Sleep(rng.drawDuration(0, maxRestDelay))
	}
	if _, err := io.WriteString(c.conn, rest); err == nil && c.waitForAck(request.timeout) {
		verifier.recordRest(request)
	}
	c.readCutResponse(request)
}

// waitForAck waits until the agent's machine has all bytes that were sent, and reports whether it has them in time.
func (c cutClient) waitForAck(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); socket.HasUnacknowledged(c.conn); time.Sleep(ackPollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// readCutResponse reads the response to a cut request, or the end of its connection.
func (c cutClient) readCutResponse(request *soakRequest) {
	_ = c.conn.SetReadDeadline(request.sentAt.Add(request.timeout + responseTimeout)) // the read fails as well
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.soak.verifier.recordClose(request, errors.Is(err, os.ErrDeadlineExceeded))
		return
	}
	body, err := io.ReadAll(response.Body)
	if err == nil {
		c.soak.verifier.recordResponse(request, response.StatusCode, string(body))
	}
}

// aheadClient sends the first bytes of each second request before it reads the response to the first one.
type aheadClient struct{ *soakClient }

// sendPair sends two requests on the connection. It gives up the second one if the agent closes the connection before
// it is complete.
func (c aheadClient) sendPair() {
	rng, verifier := c.soak.rng, c.soak.verifier
	first, firstClass := c.drawRequest()
	second, secondClass := c.drawRequest()
	second.reusedConnection = true
	rest := second.text(secondClass)
	ahead := c.drawPrefix(rest)
	rest = strings.TrimPrefix(rest, ahead)
	text := first.text(firstClass)
	comesTogether := rng.drawBool(0.5)
	if comesTogether {
		text += ahead
	}
	first.firstByteAt, c.connUsed = time.Now(), true
	verifier.recordSendStart(first)
	if _, err := io.WriteString(c.conn, text); err != nil {
		verifier.recordSendFailure(first, false)
		c.disconnect()
		return
	}
	first.mayBeShutUnread = c.mayBeShutUnread(first)
	verifier.recordSent(first)
	if !comesTogether {
		first.mayCrossClose = true
		time.Sleep(rng.drawDuration(0, maxAheadDelay))
		_, _ = io.WriteString(c.conn, ahead) // fails if the agent has closed the connection, which shows below
	}
	second.firstByteAt = time.Now()
	if c.waitForResponse(first); c.conn == nil {
		return
	}
	verifier.recordSendStart(second)
	if _, err := io.WriteString(c.conn, rest); err != nil {
		verifier.recordSendFailure(second, !c.hasResponse())
		c.disconnect()
		return
	}
	verifier.recordSent(second)
	c.waitForResponse(second)
}

// burstClient sends several requests at once, and reads the responses in turn.
type burstClient struct{ *soakClient }

// sendBurst sends requests at once. All of them need their responses: they have arrived before any of them is answered.
func (c burstClient) sendBurst() {
	verifier := c.soak.verifier
	requests := make([]*soakRequest, 2+c.soak.rng.drawInt(maxBurst-1))
	var text strings.Builder
	for i := range requests {
		request, class := c.drawRequest()
		request.firstByteAt = time.Now()
		requests[i] = request
		text.WriteString(request.text(class))
		verifier.recordSendStart(request)
	}
	c.connUsed = true
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		for _, request := range requests {
			verifier.recordSendFailure(request, false)
		}
		c.disconnect()
		return
	}
	requests[0].mayBeShutUnread = c.mayBeShutUnread(requests[0])
	for _, request := range requests {
		request.mayBeShutUnread = requests[0].mayBeShutUnread
		verifier.recordSent(request)
	}
	for i, request := range requests {
		if c.conn == nil {
			verifier.recordUnansweredBurst(requests[0], requests[i:])
			return
		}
		c.waitForResponse(request)
	}
}

// recordUnansweredBurst records that the connection of a burst ended before the responses to some of its requests.
func (v *soakVerifier) recordUnansweredBurst(first *soakRequest, unanswered []*soakRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range unanswered {
		r.closed, r.closedAt = true, time.Now()
		// If the close crossed the first request, it crossed all.
		r.reusedConnection = first.reusedConnection && first.closed
	}
}

// recordRest records that the rest of a cut request has arrived at the agent's machine.
func (v *soakVerifier) recordRest(r *soakRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.restArrivedAt = time.Now()
}

// verifyCut verifies that a cut request whose rest has arrived was neither served nor forwarded after that. The caller
// holds the mutex.
func (v *soakVerifier) verifyCut(r *soakRequest) {
	if r.restArrivedAt.IsZero() || len(r.attempts) == 0 {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if r.status == http.StatusOK && last.finishedAt.After(r.restArrivedAt) {
		v.recordViolationLocked(ruleCut, fmt.Sprintf("%s: served although its rest arrived %v before the response",
			r.id, last.finishedAt.Sub(r.restArrivedAt)))
	}
	if late := last.startedAt.Sub(r.restArrivedAt); late > maxAttemptDelay+v.slack {
		v.recordViolationLocked(ruleCut, fmt.Sprintf("%s: attempt %v after the rest arrived", r.id, late))
	}
}
