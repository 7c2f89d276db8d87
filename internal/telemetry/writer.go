package telemetry

import (
	"bytes"
	"io"
	"time"
)

// maxBufferedLines is the number of lines that a Writer buffers. It drops further lines until the buffer has space.
const maxBufferedLines = 256

// Writer writes lines asynchronously, so that logging does not block while the reader of the log is slow. It drops
// lines that do not fit into its buffer.
type Writer struct {
	lines chan []byte
	flush chan chan struct{} // requests from Flush; the channel inside is closed once the buffered lines are written
}

// NewWriter returns a writer that writes lines to w on a new goroutine. The goroutine is never stopped.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, maxBufferedLines), flush: make(chan chan struct{})}
	go writer.run(w)
	return writer
}

// Write implements io.Writer. It never fails, since an error of the log could not be reported.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
	}
	return len(line), nil
}

// Flush blocks until all lines buffered so far are written, or until the timeout.
func (w *Writer) Flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	flushed := make(chan struct{})
	select {
	case w.flush <- flushed:
	case <-timer.C:
		return
	}
	select {
	case <-flushed:
	case <-timer.C:
	}
}

// run writes the buffered lines to out in order. It ignores write errors, since a later write may succeed.
func (w *Writer) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case flushed := <-w.flush:
			for range len(w.lines) {
				_, _ = out.Write(<-w.lines)
			}
			close(flushed)
		}
	}
}
