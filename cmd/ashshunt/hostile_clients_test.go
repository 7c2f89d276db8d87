package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// hostileLead is the time that hostile clients have to connect before the well-behaved ones start.
const hostileLead = 500 * time.Millisecond

// hostileClient uses one connection badly and returns when it is done with it.
type hostileClient func(run *hostileRun, conn net.Conn)

// hostileClients are the kinds of hostile clients.
var hostileClients = []struct {
	name string
	use  hostileClient
	// responseSize is the size of the responses of the endpoints.
	responseSize int
	// clients is the number of hostile clients; 0: the default. Clients that write at full speed are few, since the
	// machine that runs them would be overloaded otherwise.
	clients int
	// bodySize is the size of the bodies of well-behaved clients; 0: they send none.
	bodySize int
}{
	{name: "half bodies", use: sendHalfBody},
	{name: "half bodies beside whole ones", use: sendHalfBody, bodySize: 20000},
	{name: "half bodies, then a byte at a time", use: trickleBody},
	{name: "half heads of short fields", use: sendHalfHead},
	{name: "half heads of few long fields", use: sendHalfLongHead},
	{name: "half heads on used connections", use: sendHalfHeadLater},
	{name: "whole heads of short fields", use: sendManyFields},
	{name: "whole heads of as many fields as are allowed", use: sendAllowedFields},
	{name: "long requests", use: sendLongRequest},
	{name: "long requests and responses", use: sendLongRequest, responseSize: maxBodySize},
	{name: "long responses that are not read", use: ignoreResponse, responseSize: maxBodySize},
	{name: "clients that leave", use: leave},
	{name: "half bodies on used connections", use: sendHalfBodyLater},
	{name: "bytes that are no request", use: sendGarbage},
	{name: "malformed requests at full speed on one connection", use: floodWithMalformed, clients: 4},
	{name: "small requests at full speed on one connection", use: floodWithRequests, clients: 4},
	{name: "silent connections", use: stayShut},
	{name: "half requests that are given up at once", use: abortWithinBody},
	{name: "clients that wait for 100 Continue", use: expectContinue},
}

// Hundreds of hostile clients must neither make the agent exceed its memory limit, nor keep it from serving others.
func TestHostileClients(t *testing.T) {
	binary := buildAgent(t)
	for _, kind := range hostileClients {
		t.Run(kind.name, func(t *testing.T) {
			run := newHostileRun(t, binary, kind.responseSize)
			run.bodySize = kind.bodySize
			process := run.start()
			clients := kind.clients
			if clients == 0 {
				clients = intFromEnv(t, hostileClientsEnvVar, defaultHostileClients)
			}
			wait := run.startHostileClients(clients, kind.use)
			time.Sleep(hostileLead)
			run.verify(process, run.runWellBehavedClients())
			wait()
		})
	}
}

// A process that starts while all clients are connected at once, and is killed soon after, must not exceed its memory
// limit either.
func TestRestartsBesideHostileClients(t *testing.T) {
	run := newHostileRun(t, buildAgent(t), 0)
	wait := run.startHostileClients(intFromEnv(t, hostileClientsEnvVar, defaultHostileClients),
		sendHalfBody, sendHalfHead, sendManyFields, sendLongRequest, leave)
	for _, lifetime := range []time.Duration{time.Second, 400 * time.Millisecond, 500 * time.Millisecond} {
		process := run.start()
		time.Sleep(lifetime)
		run.verifyPeak(process)
		process.signal(t, syscall.SIGKILL)
		_ = process.Wait() // returns the signal as an error
	}
	process := run.start()
	time.Sleep(hostileLead)
	run.verify(process, run.runWellBehavedClients())
	wait()
}

// The kinds of hostile clients. Errors mean that the agent has closed the connection or that the run is stopped.

// head returns the head of a POST request of the class that must not run twice, up to its last field.
func (r *hostileRun) head(contentLength int) string {
	return fmt.Sprintf("POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: 2000\r\n"+
		"Content-Length: %d\r\n", r.newID(), contentLength)
}

func sendHalfBody(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"\r\n"+strings.Repeat("x", 65000))
	_, _ = io.Copy(io.Discard, conn)
}

func trickleBody(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"\r\n"+strings.Repeat("x", 65000))
	for range 500 {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return
		}
		time.Sleep(15 * time.Millisecond)
	}
}

func sendHalfHead(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+strings.Repeat("a: b\r\n", 1100))
	_, _ = io.Copy(io.Discard, conn)
}

func sendHalfLongHead(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+"a: "+strings.Repeat("b", 7800))
	_, _ = io.Copy(io.Discard, conn)
}

func sendHalfHeadLater(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+"\r\n")
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && !response.Close {
		sendHalfHead(run, conn)
	}
}

func sendManyFields(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+strings.Repeat("a: b\r\n", 500)+"\r\n")
	_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
}

func sendAllowedFields(run *hostileRun, conn net.Conn) {
	var fields strings.Builder
	for i := range 60 {
		fmt.Fprintf(&fields, "x-%d: %s\r\n", i, strings.Repeat("v", 100))
	}
	_, _ = io.WriteString(conn, run.head(0)+fields.String()+"\r\n")
	_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
}

func sendLongRequest(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"\r\n"+strings.Repeat("x", maxBodySize))
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

func ignoreResponse(run *hostileRun, conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4096) // fails only on a closed connection
	}
	_, _ = io.WriteString(conn, strings.Repeat(run.head(0)+"\r\n", 8))
	select {
	case <-run.stopped:
	case <-time.After(hostileWait):
	}
}

// sendHalfBodyLater sends a small request before.
func sendHalfBodyLater(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(0)+"\r\n")
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && !response.Close {
		sendHalfBody(run, conn)
	}
}

func sendGarbage(_ *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, strings.Repeat("\x16\x03\x01garbage\r\n", 500))
	_, _ = io.Copy(io.Discard, conn)
}

// floodWithMalformed sends requests with ever new names, of which no two have the same fault.
func floodWithMalformed(run *hostileRun, conn net.Conn) {
	texts := []string{
		"GET /" + run.newID() + " HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /settle HTTP/1.1\r\nHost: x\r\nX-" + run.newID() + ": y\r\nContent-Length: 1\r\n\r\nx",
		"GET /look HTTP/1.0\r\n\r\n",
		run.head(1) + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }() // returns when the connection is closed
	for i := 0; !run.isStopped(); i++ {
		if _, err := io.WriteString(conn, texts[i%len(texts)]); err != nil {
			return
		}
	}
}

// floodWithRequests sends valid requests without waiting for the responses.
func floodWithRequests(run *hostileRun, conn net.Conn) {
	go func() { _, _ = io.Copy(io.Discard, conn) }() // returns when the connection is closed
	for !run.isStopped() {
		if _, err := io.WriteString(conn, run.head(1)+"\r\nx"); err != nil {
			return
		}
	}
}

func stayShut(_ *hostileRun, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

func abortWithinBody(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"\r\n"+strings.Repeat("x", 30000))
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close resets the connection
	}
}

func expectContinue(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(maxBodySize)+"Expect: 100-continue\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
}

func leave(run *hostileRun, conn net.Conn) {
	_, _ = io.WriteString(conn, run.head(1)+"\r\nx")
	time.Sleep(2 * time.Millisecond)
}
