package telemetry

import (
	"bytes"
	"io"
	"time"
)

// maxBufferedLines is how many lines may wait for their reader before further ones are dropped.
const maxBufferedLines = 256

// Writer writes lines asynchronously, on a goroutine of its own, so that logging never waits for the reader of the log.
// Lines that the reader does not take in time are dropped.
type Writer struct {
	lines chan []byte
	flush chan chan struct{}
}

// NewWriter returns a writer whose lines go to w. Its goroutine runs as long as the process.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, maxBufferedLines), flush: make(chan chan struct{})}
	go writer.run(w)
	return writer
}

// Write implements io.Writer. It never fails: the log itself has nowhere to report an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
	}
	return len(line), nil
}

// Flush waits until all lines so far are written, or until the timeout.
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

// run writes the lines to out, in their order. It ignores errors: the next line may get through.
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
