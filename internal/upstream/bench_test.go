package upstream

import (
	"net"
	"testing"
	"time"

	"ashshunt/balancer"
)

// BenchmarkAttempt measures sequential attempts on one connection to an endpoint on loopback.
func BenchmarkAttempt(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go respondToEachRead(listener)
	client := newTestClient(b, listener.Addr().String())
	options := newOptions(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		result, response := client.Attempt(b.Context(), newUnsafeRequest(), "s0", options)
		if result != balancer.Served {
			b.Fatalf("got result %v, error %v, want served", result, response.Err)
		}
	}
}

// respondToEachRead accepts one connection and responds to whatever each read returns.
func respondToEachRead(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for buffer := make([]byte, responseBufferSize); err == nil; {
		if _, err = conn.Read(buffer); err == nil {
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}
