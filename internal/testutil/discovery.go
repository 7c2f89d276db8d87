package testutil

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// Discovery is a stand-in for the discovery service. It hands the test each watch and sends what the test says.
type Discovery struct {
	Addr     string
	Watches  chan string   // the query of each watch, as it begins
	Say      chan string   // lines for the current watch; "" is an empty one
	Cut      chan struct{} // ends the current watch
	Complete func() string // answers a poll of the complete list
}

// NewDiscovery starts a discovery service.
func NewDiscovery(t *testing.T) *Discovery {
	t.Helper()
	d := &Discovery{
		Watches:  make(chan string, 100),
		Say:      make(chan string, 100),
		Cut:      make(chan struct{}, 1),
		Complete: func() string { return "" },
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.Addr = listener.Addr().String()
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(listener) }() // until it is closed
	t.Cleanup(func() { _ = server.Close() })   // nothing is left to be answered
	return d
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("follow") == "" {
		_, _ = io.WriteString(w, d.Complete()) // an error means that the client has gone
		return
	}
	flusher := w.(http.Flusher)
	flusher.Flush()
	d.Watches <- r.URL.RawQuery
	for {
		select {
		case line := <-d.Say:
			_, _ = io.WriteString(w, line+"\n") // an error means that the client has gone
			flusher.Flush()
		case <-d.Cut:
			return
		case <-r.Context().Done():
			return
		}
	}
}
