package telemetry

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// Lines past the limit are counted, not written.
func TestRateLimitedLog(t *testing.T) {
	logged := &testutil.Log{}
	h, ok := RateLimited(slog.NewTextHandler(logged, nil)).(rateLimited)
	if !ok {
		t.Fatal("RateLimited returns a handler of another type")
	}
	now := time.Now()
	h.limiter.now = func() time.Time { return now }
	log := slog.New(h).With("agent", "n0")
	for range 5 * maxLinesPerSecond {
		log.Warn("bad answer")
	}
	if n := strings.Count(logged.String(), "bad answer"); n != maxLinesPerSecond {
		t.Errorf("%d lines in one second, want %d", n, maxLinesPerSecond)
	}
	now = now.Add(time.Second)
	log.Warn("later")
	if !logged.Contains("msg=later agent=n0 dropped_before=80") {
		t.Errorf("log %q", logged.String()[len(logged.String())-100:])
	}
}
