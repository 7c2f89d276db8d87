package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"ashshunt/internal/clock"
	"ashshunt/internal/testutil"
)

// BenchmarkRequest measures sequential requests on one connection, whose responses the event loop has at once.
func BenchmarkRequest(b *testing.B) {
	for name, text := range map[string]string{
		"GET":  testutil.RawGet(id),
		"POST": testutil.RawPost(id, "Content-Length: 5\r\n") + "hello",
	} {
		b.Run(name, func(b *testing.B) { benchmarkRequest(b, text) })
	}
}

func benchmarkRequest(b *testing.B, text string) {
	b.Helper()
	conn, err := net.Dial("tcp", startBenchmarkServer(b))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, text); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("got response %v, error %v, want 200", response, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
	}
}

// startBenchmarkServer runs a server until the end of the benchmark and returns its address.
func startBenchmarkServer(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	loop := benchmarkLoop{newFakeEventLoop(nil)}
	server := NewServer(listener, testutil.Config(b, "127.0.0.1:1"), clock.New(), loop, newBudget(),
		testutil.NewLogger(&testutil.Log{}))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve() }()
	b.Cleanup(func() {
		_ = server.Close() // the end of Serve shows that it is closed
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			b.Error("Serve:", err)
		}
	})
	return listener.Addr().String()
}

// benchmarkLoop is an event loop that keeps no record of its requests.
type benchmarkLoop struct{ *fakeEventLoop }

// Submit implements EventLoop.
func (benchmarkLoop) Submit(r *Request) { echo(r); r.Memory.Release() }
