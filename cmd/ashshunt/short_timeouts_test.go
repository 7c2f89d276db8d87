package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	shortTimeoutClients = 8
	// minThroughputShare is the share of the requests of a calm run that well-behaved clients get served beside others.
	minThroughputShare = 0.5
)

// floodWithShortTimeouts returns a client that sends requests that can't be served in time, of which the given number
// wait for an answer.
func floodWithShortTimeouts(outstanding int) hostileClient {
	return func(run *hostileRun, conn net.Conn) {
		in := bufio.NewReader(conn)
		for sent := 0; !run.isStopped(); sent++ {
			if sent >= outstanding && !readWholeResponse(in) {
				return
			}
			_, err := fmt.Fprintf(conn, "POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: 1\r\n"+
				"Content-Length: 1\r\n\r\nx", run.newID())
			if err != nil {
				return
			}
		}
	}
}

// readWholeResponse reads a response and reports whether the connection may be used again.
func readWholeResponse(in *bufio.Reader) bool {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && !response.Close
}

// Requests that can't be served in time must not starve those of others. The agent has a third of a core.
func TestShortTimeoutsDoNotStarveOthers(t *testing.T) {
	binary := buildAgent(t)
	play := func(use hostileClient, clients int) (served int) {
		run := newHostileRun(t, binary, 0)
		process := run.start()
		wait := run.startHostileClients(clients, use)
		time.Sleep(hostileLead)
		end := stallInTurns(t, process)
		outcomes := run.runWellBehavedClients()
		end()
		run.verify(process, outcomes)
		process.signal(t, syscall.SIGKILL)
		wait()
		return outcomes.count(outcomeServed)
	}
	calm := play(nil, 0)
	for _, outstanding := range []int{1, 32} {
		t.Run(fmt.Sprint(outstanding, " outstanding"), func(t *testing.T) {
			served := play(floodWithShortTimeouts(outstanding), shortTimeoutClients)
			if float64(served) < minThroughputShare*float64(calm) {
				t.Errorf("got %d requests served, want half at least of the %d of a calm run", served, calm)
			}
		})
	}
}
