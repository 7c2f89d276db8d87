package testutil

import (
	"io"
	"net/http"
	"testing"
)

// Discovery is a fake discovery service. It reports each watch to the test and sends the lines that the test supplies.
type Discovery struct {
	Addr         string
	Watches      chan string   // receives the query of each watch when it starts
	Lines        chan string   // lines to send on the current watch; "" sends an empty line
	EndWatch     chan struct{} // a value ends the current watch
	CompleteList func() string // returns the response to a poll of the complete list
}

// NewDiscovery starts a discovery service that is stopped when the test ends.
func NewDiscovery(t *testing.T) *Discovery {
	t.Helper()
	d := &Discovery{
		Watches:      make(chan string, eventBuffer),
		Lines:        make(chan string, eventBuffer),
		EndWatch:     make(chan struct{}, 1),
		CompleteList: func() string { return "" },
	}
	listener := Listen(t)
	d.Addr = listener.Addr().String()
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })   // an error does not affect the test
	return d
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("follow") == "" {
		_, _ = io.WriteString(w, d.CompleteList()) // an error means that the client has disconnected
		return
	}
	connection := http.NewResponseController(w)
	_ = connection.Flush() // an error, here and below, means that the client has disconnected
	d.Watches <- r.URL.RawQuery
	for {
		select {
		case line := <-d.Lines:
			_, _ = io.WriteString(w, line+"\n")
			_ = connection.Flush()
		case <-d.EndWatch:
			return
		case <-r.Context().Done():
			return
		}
	}
}
