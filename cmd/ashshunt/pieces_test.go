package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

const (
	pieceSeed = 1
	// pieceTimeout is the timeout of a request that is written in pieces.
	pieceTimeout = 1500 * time.Millisecond
	// resetWait is how long after an answer a client looks for a reset, unless the agent closes the connection before.
	resetWait = time.Second
)

// The outcomes of a request that is written in pieces, besides those of clientOutcome.
const (
	outcomeResetWithin clientOutcome = "reset within the request"
	outcomeResetBehind clientOutcome = "reset behind the request" // an answer may have been lost
	outcomeEnded       clientOutcome = "ended without an answer"
	// outcomeLate: the client itself paused for longer than it was to, since the machine is busy.
	outcomeLate clientOutcome = "client late"
)

// pauseTolerance is how much longer than its pause a client may take between two pieces.
const pauseTolerance = 40 * time.Millisecond

// isLost reports whether an outcome is no answer, or one that the client may not have got.
func (o clientOutcome) isLost() bool {
	return o == outcomeResetWithin || o == outcomeResetBehind || o == outcomeEnded || o == outcomeLost
}

// pieceClient sends one request at a time, each in two pieces with a pause between them. It does not read before it has
// written the whole request, and then reads to the end of the connection if the answer announces that. It counts a
// reset as a loss even if it has read the answer before: on a network the reset can overtake it.
type pieceClient struct {
	clientConnection
	run      *hostileRun
	rng      *lockedRand
	outcomes *clientOutcomes
	bodySize int
	maxPause time.Duration
	requests int // requests on the connection
}

func (c *pieceClient) sendUntilStopped() {
	defer c.close()
	for !c.run.isStopped() {
		start := time.Now()
		c.outcomes.record(c.send(c.run.newID()), time.Since(start))
		time.Sleep(wellBehavedPause)
	}
}

// send sends a request and returns its outcome. A request whose connection is closed as its first byte is written is
// sent once more on a new connection, unless the connection is new.
func (c *pieceClient) send(id string) clientOutcome {
	outcome := c.exchange(id)
	if outcome.isLost() && outcome != outcomeLost && c.requests > 1 {
		outcome = c.exchange(id)
	}
	return outcome
}

// exchange sends a request and reads the response, on a new connection if none is open.
func (c *pieceClient) exchange(id string) clientOutcome {
	isNew, err := c.connect(c.run.addr, time.Now().Add(c.maxPause+pieceTimeout+answerSlack))
	if err != nil {
		return clientOutcome(err.Error())
	}
	if isNew {
		c.requests = 0
	}
	c.requests++
	isLate, writeErr := c.writeInPieces(id)
	response, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	if writeErr != nil || err != nil {
		c.close()
	}
	switch {
	case isLate && writeErr != nil:
		return outcomeLate
	case writeErr != nil:
		return outcomeResetWithin
	case isReset(err):
		return outcomeResetBehind
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcomeLost
	case err != nil:
		return outcomeEnded
	case response.Close && c.endsWithReset():
		return outcomeResetBehind
	}
	switch {
	case response.StatusCode == http.StatusOK && string(body) == id:
		return outcomeServed
	case response.StatusCode == http.StatusServiceUnavailable:
		return outcomeRejected
	}
	return clientOutcome(fmt.Sprint(outcomeFailed, " ", response.StatusCode))
}

// writeInPieces writes a request in two pieces, of which the first contains the head. It reports whether the time
// between them was longer than it should be.
func (c *pieceClient) writeInPieces(id string) (isLate bool, err error) {
	first := int(c.rng.drawDuration(0, time.Duration(c.bodySize)))
	head := fmt.Sprintf("POST /settle%s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n", wellBehavedSuffix, id, pieceTimeout.Milliseconds(), c.bodySize)
	if _, err := io.WriteString(c.conn, head+strings.Repeat("x", first)); err != nil {
		return false, err
	}
	pausedAt := time.Now()
	time.Sleep(c.rng.drawDuration(0, c.maxPause))
	isLate = time.Since(pausedAt) > c.maxPause+pauseTolerance
	_, err = io.WriteString(c.conn, strings.Repeat("y", c.bodySize-first))
	return isLate, err
}

// endsWithReset reads to the end of the connection, closes it, and reports whether it was reset.
func (c *pieceClient) endsWithReset() bool {
	defer c.close()
	_ = c.conn.SetReadDeadline(time.Now().Add(resetWait)) // fails only on a closed connection
	_, err := io.Copy(io.Discard, c.in)
	return isReset(err)
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// A request that the agent has read from must get an answer, and its connection must not be reset behind it, while a
// crowd of clients writes in pieces. No client is hostile, so that nine in ten requests are served.
func TestRequestsInPiecesAreAnswered(t *testing.T) {
	binary := buildAgent(t)
	fewSlots := crowd{clients: 100, sockets: 64, memoryMB: 192}
	littleMemory := crowd{clients: 300, sockets: maxSockets, memoryMB: minMemoryMB}
	tests := []struct {
		crowd     crowd
		bodySize  int
		maxPause  time.Duration
		isStalled bool // the agent is stopped and continued in turns
	}{
		{crowd: fewSlots, bodySize: 20000, maxPause: 200 * time.Millisecond},
		{crowd: fewSlots, bodySize: 3000, maxPause: 100 * time.Millisecond},
		{crowd: fewSlots, bodySize: 500, maxPause: 100 * time.Millisecond},
		{crowd: fewSlots, bodySize: 20000, maxPause: 200 * time.Millisecond, isStalled: true},
		{crowd: fewSlots, bodySize: 3000, maxPause: 100 * time.Millisecond, isStalled: true},
		{crowd: fewSlots, bodySize: 500, maxPause: 20 * time.Millisecond, isStalled: true},
		{crowd: littleMemory, bodySize: 20000, maxPause: 200 * time.Millisecond},
		{crowd: littleMemory, bodySize: 3000, maxPause: 100 * time.Millisecond},
		{crowd: littleMemory, bodySize: 500, maxPause: 100 * time.Millisecond},
	}
	for _, tt := range tests {
		name := fmt.Sprintf("%v, %d bytes, pauses of up to %v, stalled %t",
			tt.crowd, tt.bodySize, tt.maxPause, tt.isStalled)
		t.Run(name, func(t *testing.T) {
			t.Setenv(hostileMemoryEnvVar, strconv.Itoa(tt.crowd.memoryMB))
			t.Setenv(hostileSocketsEnvVar, strconv.Itoa(tt.crowd.sockets))
			run := newHostileRun(t, binary, len(testutil.RequestID))
			process := run.start()
			if tt.isStalled {
				defer stallInTurns(t, process)()
			}
			outcomes := run.runPieceClients(tt.crowd.clients, tt.bodySize, tt.maxPause)
			run.verifyPeak(process)
			run.verifyPieces(outcomes)
		})
	}
}

// crowd is a number of clients, and the limits of the agent that they share.
type crowd struct{ clients, sockets, memoryMB int }

// String implements fmt.Stringer.
func (c crowd) String() string {
	return fmt.Sprintf("%d clients, %d descriptors, %d MB", c.clients, c.sockets, c.memoryMB)
}

// verifyPieces checks the outcomes of clients that write in pieces.
func (r *hostileRun) verifyPieces(outcomes *clientOutcomes) {
	r.t.Helper()
	r.t.Log(outcomes)
	if lost := outcomes.lost(); lost > 0 {
		r.t.Errorf("got %d of %d requests lost, want none", lost, outcomes.total())
	}
	if served, sent := outcomes.count(outcomeServed), outcomes.total(); served*10 < sent*9 || sent == 0 {
		r.t.Errorf("got %d of %d requests served, want nine in ten", served, sent)
	}
}

// runPieceClients runs clients that write in pieces for the duration of the run, and returns the outcomes.
func (r *hostileRun) runPieceClients(count, bodySize int, maxPause time.Duration) *clientOutcomes {
	var clients sync.WaitGroup
	outcomes := &clientOutcomes{counts: map[clientOutcome]int{}}
	rng := newLockedRand(pieceSeed)
	for range count {
		clients.Go(func() {
			client := &pieceClient{run: r, rng: rng, outcomes: outcomes, bodySize: bodySize, maxPause: maxPause}
			client.sendUntilStopped()
		})
	}
	time.Sleep(time.Duration(intFromEnv(r.t, hostileSecondsEnvVar, defaultHostileSeconds)) * time.Second)
	close(r.stopped)
	clients.Wait()
	return outcomes
}
