package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// delayedConn is the server's end of a connection over a network with a delay. Bytes and the end of the connection
// arrive later by the delay in both directions, in order.
type delayedConn struct {
	net.Conn
	in  *io.PipeReader
	out chan delayedWrite
}

type delayedWrite struct {
	at   time.Time
	text []byte // nil: close the connection
}

const delayedWrites = 256

// Delay returns the server's end of a connection whose other end is away by the given time.
func Delay(conn net.Conn, oneWay time.Duration) net.Conn {
	reader, writer := io.Pipe()
	c := &delayedConn{Conn: conn, in: reader, out: make(chan delayedWrite, delayedWrites)}
	arrived := make(chan delayedWrite, delayedWrites)
	go func() { // reads as bytes leave the other end
		defer close(arrived)
		for {
			buffer := make([]byte, 16<<10)
			n, err := conn.Read(buffer)
			if n > 0 {
				arrived <- delayedWrite{at: time.Now().Add(oneWay), text: buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for piece := range arrived {
			time.Sleep(time.Until(piece.at))
			if _, err := writer.Write(piece.text); err != nil {
				continue
			}
		}
		_ = writer.Close()
	}()
	go func() {
		for piece := range c.out {
			time.Sleep(time.Until(piece.at))
			if piece.text == nil {
				_ = conn.Close()
				return
			}
			_, _ = conn.Write(piece.text)
		}
	}()
	return &oneWayWriter{delayedConn: c, oneWay: oneWay}
}

type oneWayWriter struct {
	*delayedConn
	oneWay time.Duration
	mu     sync.Mutex
	ended  bool
}

func (c *oneWayWriter) Read(p []byte) (int, error) { return c.in.Read(p) }

func (c *oneWayWriter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	c.out <- delayedWrite{at: time.Now().Add(c.oneWay), text: append([]byte{}, p...)}
	return len(p), nil
}

func (c *oneWayWriter) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		_ = c.in.Close()
		c.out <- delayedWrite{at: time.Now().Add(c.oneWay)}
	}
	return nil
}
