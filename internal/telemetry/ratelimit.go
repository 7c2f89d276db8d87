package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxLinesPerSecond is the rate limit of the log. The volume of the log depends on what clients and endpoints send, so
// that it needs a limit.
const maxLinesPerSecond = 20

// RateLimited returns a handler that passes at most maxLinesPerSecond lines per second to h and drops the rest. The
// next line that passes has the attribute KeyDropped with the number of dropped lines. Lines that a Writer drops later
// are not counted. Lines at level DEBUG are not limited: they are written only if an operator has asked for them.
func RateLimited(h slog.Handler) slog.Handler {
	return rateLimited{Handler: h, limiter: NewLimiter(maxLinesPerSecond)}
}

// rateLimited is the handler returned by RateLimited. The handlers derived from it share its limiter.
type rateLimited struct {
	slog.Handler
	limiter *Limiter
}

// Handle implements slog.Handler.
func (h rateLimited) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelInfo {
		return h.Handler.Handle(ctx, record)
	}
	allowed, dropped := h.limiter.Allow()
	if !allowed {
		return nil
	}
	if dropped > 0 {
		record.AddAttrs(Dropped(dropped))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h rateLimited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimited{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h rateLimited) WithGroup(name string) slog.Handler {
	return rateLimited{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}

// Limiter is a fixed-window rate limiter of log lines. A window of one second starts with the first line after the end
// of the previous window. Limiter is safe for concurrent use.
type Limiter struct {
	now            func() time.Time
	linesPerSecond int

	mu              sync.Mutex // protects the fields below
	windowStartedAt time.Time
	linesInWindow   int // including dropped lines
	dropped         int // lines dropped since the last line that passed
}

// NewLimiter returns a limiter that allows the given number of lines in each window.
func NewLimiter(linesPerSecond int) *Limiter {
	return &Limiter{now: time.Now, linesPerSecond: linesPerSecond}
}

// Allow records a line and reports whether it may pass. If it may, dropped is the number of lines dropped since the
// previous line that passed.
func (l *Limiter) Allow() (allowed bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.windowStartedAt) >= time.Second {
		l.windowStartedAt = now
		l.linesInWindow = 0
	}
	l.linesInWindow++
	if l.linesInWindow > l.linesPerSecond {
		l.dropped++
		return false, 0
	}
	dropped = l.dropped
	l.dropped = 0
	return true, dropped
}
