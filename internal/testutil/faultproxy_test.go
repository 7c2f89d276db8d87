package testutil

import (
	"io"
	"testing"
	"time"
)

// A proxy keeps the order of bytes, as TCP does, also if a part of them is delayed.
func TestFaultProxyKeepsOrder(t *testing.T) {
	const text = "abcdef"
	listener := Listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for i := range len(text) / 2 {
			_, _ = io.WriteString(conn, text[2*i:2*i+2]) // fails if the proxy has closed the connection
			time.Sleep(5 * time.Millisecond)
		}
	}()
	proxy := NewFaultProxy(t, listener.Addr().String(), 0, ProxyFaults{OnData: func(data []byte) []Segment {
		return []Segment{{Data: data[:1]}, {Delay: 20 * time.Millisecond, Data: data[1:]}}
	}})
	client := Dial(t, proxy.Listener.Addr(), "")
	read := make([]byte, len(text))
	if _, err := io.ReadFull(client, read); err != nil || string(read) != text {
		t.Errorf("got %q and error %v, want %q", read, err, text)
	}
}
