// Package standin has the stand-ins of the review's cases: clients, passage servers, discovery and the platform that
// starts the agents. They follow the pages of the project and use only the standard library.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, one event a line, with the milliseconds since its start.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates or replaces the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Logf writes one event.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := float64(time.Since(r.started).Microseconds()) / 1000
	_, _ = fmt.Fprintf(r.file, "%10.1f %s\n", elapsed, fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
