package telemetry

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// The handler must drop the lines beyond the limit and report their number on the next line that passes.
func TestRateLimitedLog(t *testing.T) {
	logged := &testutil.Log{}
	h, ok := RateLimited(slog.NewTextHandler(logged, nil)).(rateLimited)
	if !ok {
		t.Fatal("RateLimited does not return a rateLimited")
	}
	now := time.Now()
	h.limiter.now = func() time.Time { return now }
	log := slog.New(h).With("agent", "n0")
	for range 5 * maxLinesPerSecond {
		log.Warn("malformed response")
	}
	if n := strings.Count(logged.String(), "malformed response"); n != maxLinesPerSecond {
		t.Errorf("got %d lines in one second, want %d", n, maxLinesPerSecond)
	}
	slog.New(RateLimited(slog.NewTextHandler(logged, &slog.HandlerOptions{Level: slog.LevelDebug}))).Debug("asked for")
	if !logged.Contains("asked for") {
		t.Error("a line at level DEBUG was dropped, want no limit for it")
	}
	now = now.Add(time.Second)
	log.Warn("later")
	if !logged.Contains("msg=later agent=n0 dropped_before=80") {
		t.Errorf("the log ends with %q, want a line with dropped_before=80", logged.String()[len(logged.String())-100:])
	}
}
