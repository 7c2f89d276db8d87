package telemetry

import (
	"io"
	"time"
)

// bufferedLines is how many lines may wait for their reader before further ones are dropped.
const bufferedLines = 256

// Writer passes what is written to it on from a goroutine of its own, so that whoever logs never waits for the reader
// of the log. What the reader does not take in time is dropped.
type Writer struct {
	lines chan []byte
	flush chan chan struct{}
}

// NewWriter returns a writer that passes lines on to w. Its goroutine lasts as long as the process.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, bufferedLines), flush: make(chan chan struct{})}
	go writer.passOn(w)
	return writer
}

// Write implements io.Writer. It never fails: there is nobody to be told.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// Flush waits until all lines so far are out, but not for longer than a timeout.
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

// passOn writes the lines to w, in their order. Errors are of no interest: the next line may get through.
func (w *Writer) passOn(out io.Writer) {
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
