package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ashshunt/internal/socket"
	"ashshunt/internal/testutil"
)

// endpointFault is the way in which an endpoint fails temporarily.
type endpointFault int

// The faults of endpoints.
const (
	faultNone     endpointFault = iota
	faultHang                   // no response
	faultError                  // response with status 500
	faultReject                 // rejection of a request that has not run
	faultReset                  // TCP reset of the connection
	faultSlow                   // delayed response
	faultNoLength               // response without a length, whose end is indistinguishable from a broken connection
)

const faultCount = int(faultNoLength) + 1

// soakEndpoint is a fake endpoint. It records each attempt with the verifier.
type soakEndpoint struct {
	soak   *soak
	id     string
	cell   int
	server *testutil.Server

	mu         sync.Mutex // protects the fields below
	fault      endpointFault
	faultUntil time.Time
}

func newSoakEndpoint(s *soak, id string, cell int) *soakEndpoint {
	e := &soakEndpoint{soak: s, id: id, cell: cell}
	e.server = testutil.NewServer(s.t, e.handle)
	go e.discardEvents()
	return e
}

// discardEvents drains the channels of the server, which the verifier does not use.
func (e *soakEndpoint) discardEvents() {
	for {
		select {
		case <-e.server.Received:
		case <-e.server.Closed:
		}
	}
}

// injectFault makes the endpoint fail for a duration. It replaces the current fault.
func (e *soakEndpoint) injectFault(fault endpointFault, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.faultUntil = fault, time.Now().Add(duration)
}

func (e *soakEndpoint) currentFault() endpointFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().After(e.faultUntil) {
		return faultNone
	}
	return e.fault
}

// handle responds to a request. The attempt is in flight until the response starts or the agent closes the connection.
func (e *soakEndpoint) handle(conn net.Conn, request *http.Request, _ []byte) bool {
	id := request.Header.Get("X-Call-Id")
	timeoutMs, err := strconv.Atoi(request.Header.Get("X-Budget-Ms"))
	if err != nil {
		e.soak.verifier.recordViolation(ruleAttempt, "parse X-Budget-Ms: "+err.Error())
	}
	fault := e.currentFault()
	attempt := &soakAttempt{
		endpoint:   e.id,
		cell:       e.cell,
		startedAt:  time.Now(),
		timeout:    time.Duration(timeoutMs) * time.Millisecond,
		mayHaveRun: fault != faultReject,
	}
	e.soak.verifier.recordAttemptStart(id, attempt, e.soak.discovery.drainNotificationTime(e.id))
	closed := waitForClose(conn, e.drawServiceTime(fault))
	e.soak.verifier.recordAttemptFinish(attempt)
	if closed {
		return false
	}
	return respond(conn, fault, id)
}

// drawServiceTime draws the time from a request to its response.
func (e *soakEndpoint) drawServiceTime(fault endpointFault) time.Duration {
	usual := e.soak.rng.drawDuration(e.soak.minServiceTime, e.soak.maxServiceTime)
	switch fault {
	case faultHang:
		return time.Hour
	case faultSlow:
		return e.soak.rng.drawDuration(50*time.Millisecond, 400*time.Millisecond)
	case faultNone, faultError, faultReject, faultReset, faultNoLength:
	}
	return usual
}

// respond writes the response to a request and reports whether the server keeps the connection open.
func respond(conn net.Conn, fault endpointFault, id string) bool {
	switch fault {
	case faultError:
		testutil.Respond(conn, http.StatusInternalServerError, "", "")
	case faultReject:
		testutil.Respond(conn, http.StatusServiceUnavailable, "X-Rejected: 1\r\n", "")
	case faultReset:
		resetOnClose(conn)
		return false
	case faultNoLength:
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\ndid " + id)) // fails if the agent has disconnected
		return false
	case faultNone, faultHang, faultSlow:
		testutil.Respond(conn, http.StatusOK, "", "did "+id)
	}
	return true
}

// resetOnClose makes the close of a connection send a TCP reset.
func resetOnClose(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		panic(fmt.Sprintf("set reset on close: got a connection of type %T, want *net.TCPConn", conn))
	}
	_ = tcp.SetLinger(0) // fails if the connection has ended
}

// waitForClose waits until the peer closes the connection, at most for the given time, and reports whether it does. It
// reads nothing: a request that the peer sends meanwhile is read after the response, as real endpoints do.
func waitForClose(conn net.Conn, wait time.Duration) bool {
	for end := time.Now().Add(wait); time.Now().Before(end); {
		if socket.Peer(conn).Closed {
			return true
		}
		time.Sleep(min(closePollInterval, time.Until(end)))
	}
	return false
}

// closePollInterval is the time between two looks for the peer's close.
const closePollInterval = 2 * time.Millisecond
