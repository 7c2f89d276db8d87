package testutil

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
)

// Log holds what was logged. Tests may read it while it is written.
type Log struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// NewLogger returns a logger that writes to log.
func NewLogger(log *Log) *slog.Logger { return slog.New(slog.NewTextHandler(log, nil)) }

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// Contains reports whether text has been logged.
func (l *Log) Contains(text string) bool { return strings.Contains(l.String(), text) }

// String returns all that was logged so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}
