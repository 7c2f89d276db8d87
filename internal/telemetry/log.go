// Package telemetry holds what the agent reports to its operators: at present the rate limit of its log.
package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// linesPerSecond bounds the log, since clients and endpoints decide by what they send how much there is to log.
const linesPerSecond = 20

// droppedKey is the attribute that tells how many lines were dropped right before a line.
const droppedKey = "dropped_before"

// RateLimited returns a handler that passes at most 20 lines a second on to h and drops the rest. The next line
// that passes tells how many were dropped.
func RateLimited(h slog.Handler) slog.Handler {
	return rateLimited{Handler: h, budget: &logBudget{now: time.Now}}
}

// rateLimited is a handler whose derived handlers share one budget.
type rateLimited struct {
	slog.Handler
	budget *logBudget
}

// Handle implements slog.Handler.
func (h rateLimited) Handle(ctx context.Context, record slog.Record) error {
	allowed, dropped := h.budget.spend()
	if !allowed {
		return nil
	}
	if dropped > 0 {
		record.AddAttrs(slog.Int(droppedKey, dropped))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h rateLimited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimited{Handler: h.Handler.WithAttrs(attrs), budget: h.budget}
}

// WithGroup implements slog.Handler.
func (h rateLimited) WithGroup(name string) slog.Handler {
	return rateLimited{Handler: h.Handler.WithGroup(name), budget: h.budget}
}

// logBudget counts the lines of the current second.
type logBudget struct {
	now func() time.Time

	mu          sync.Mutex // guards what follows
	secondStart time.Time
	lines       int
	dropped     int // since the last line that passed
}

// spend reports whether a line may pass, and how many were dropped since the one before it.
func (b *logBudget) spend() (allowed bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.secondStart) >= time.Second {
		b.secondStart = now
		b.lines = 0
	}
	b.lines++
	if b.lines > linesPerSecond {
		b.dropped++
		return false, 0
	}
	dropped = b.dropped
	b.dropped = 0
	return true, dropped
}
