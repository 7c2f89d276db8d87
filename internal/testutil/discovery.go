package testutil

import (
	"io"
	"net/http"
	"testing"
)

// Discovery is a stand-in for the discovery service. It reports each watch to the test and sends the lines that the
// test gives it.
type Discovery struct {
	Addr         string
	Watches      chan string   // the query of each watch, as it begins
	Lines        chan string   // lines for the current watch; "" is an empty one
	EndWatch     chan struct{} // ends the current watch
	CompleteList func() string // returns the response to a poll of the complete list
}

// NewDiscovery starts a discovery service, which ends with the test.
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
	go func() { _ = server.Serve(listener) }() // until it is closed
	t.Cleanup(func() { _ = server.Close() })   // nothing is left to be answered
	return d
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("follow") == "" {
		_, _ = io.WriteString(w, d.CompleteList()) // an error means that the client has gone
		return
	}
	connection := http.NewResponseController(w)
	_ = connection.Flush() // an error means that the client has gone, here and below
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
