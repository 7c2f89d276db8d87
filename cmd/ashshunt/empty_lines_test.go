package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// emptyLinesPerWrite is the number of empty lines that a client sends with one write.
const emptyLinesPerWrite = 4096

// One client that sends empty lines at full speed must neither make the agent exceed its memory limit, nor keep it from
// serving others.
func TestEmptyLinesDoNotGrowMemory(t *testing.T) {
	binary := buildAgent(t)
	tests := []struct {
		name    string
		use     hostileClient
		clients int
		stalled bool // the agent is stopped and continued in turns
	}{
		{name: "CRLF", use: floodWith("", "\r\n"), clients: 1},
		{name: "CRLF, stalled agent", use: floodWith("", "\r\n"), clients: 1, stalled: true},
		{name: "LF", use: floodWith("", "\n"), clients: 1},
		{name: "CRLF behind a request", use: floodAfterRequest("\r\n"), clients: 1},
		{name: "CRLF, eight connections", use: floodWith("", "\r\n"), clients: 8},
		{name: "CRLF within a head", use: floodWith("GET /look HTTP/1.1\r\nHost: x\r\na: b", "\r"), clients: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run := newHostileRun(t, binary, 0)
			process := run.start()
			wait := run.startHostileClients(tt.clients, tt.use)
			time.Sleep(hostileLead)
			if tt.stalled {
				defer stallInTurns(t, process)()
			}
			run.verify(process, run.runWellBehavedClients())
			wait()
		})
	}
}

// floodWith returns a client that sends text, and then as many lines as it can.
func floodWith(text, line string) hostileClient {
	lines := strings.Repeat(line, emptyLinesPerWrite)
	return func(run *hostileRun, conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		for !run.isStopped() {
			if _, err := io.WriteString(conn, lines); err != nil {
				return
			}
		}
	}
}

// floodAfterRequest returns a client that sends a request, reads the response, and then sends as many lines as it can.
func floodAfterRequest(line string) hostileClient {
	return func(run *hostileRun, conn net.Conn) {
		_, _ = io.WriteString(conn, run.head(1)+"\r\nx")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		floodWith("", line)(run, conn)
	}
}
