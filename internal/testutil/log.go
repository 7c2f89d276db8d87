package testutil

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
)

// Log is an in-memory log. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// NewLogger returns a logger that writes to log.
func NewLogger(log *Log) *slog.Logger { return slog.New(slog.NewTextHandler(log, nil)) }

// NewDebugLogger returns a logger that writes to log, lines at level DEBUG included.
func NewDebugLogger(log *Log) *slog.Logger {
	return slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// Contains reports whether the log contains text.
func (l *Log) Contains(text string) bool { return strings.Contains(l.String(), text) }

// String returns the contents of the log.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}
