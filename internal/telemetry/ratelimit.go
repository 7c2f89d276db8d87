package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxLinesPerSecond bounds the log, since clients and endpoints determine by what they send how much there is to log.
const maxLinesPerSecond = 20

// RateLimited returns a handler that passes at most linesPerSecond lines on to h and drops the rest. The next line that
// passes has an attribute KeyDropped with their number. Lines that a Writer drops behind it are not counted.
func RateLimited(h slog.Handler) slog.Handler {
	return rateLimited{Handler: h, limiter: &lineLimiter{now: time.Now}}
}

// rateLimited is a handler whose derived handlers share one limiter.
type rateLimited struct {
	slog.Handler
	limiter *lineLimiter
}

// Handle implements slog.Handler.
func (h rateLimited) Handle(ctx context.Context, record slog.Record) error {
	allowed, dropped := h.limiter.allow()
	if !allowed {
		return nil
	}
	if dropped > 0 {
		record.AddAttrs(slog.Int(KeyDropped, dropped))
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

// lineLimiter counts the lines of the current second, which starts with its first line. It is safe for concurrent use.
type lineLimiter struct {
	now func() time.Time

	mu              sync.Mutex // protects what follows
	windowStartedAt time.Time
	linesInWindow   int
	dropped         int // since the last line that passed
}

// allow reports whether a line may pass, and how many were dropped since the last one that did.
func (l *lineLimiter) allow() (allowed bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.windowStartedAt) >= time.Second {
		l.windowStartedAt = now
		l.linesInWindow = 0
	}
	l.linesInWindow++
	if l.linesInWindow > maxLinesPerSecond {
		l.dropped++
		return false, 0
	}
	dropped = l.dropped
	l.dropped = 0
	return true, dropped
}
