package clock_test

import (
	"strings"
	"testing"
	"time"

	"ashshunt/internal/clock"
)

// ToTime and FromTime must be inverse, and ToTime must return a monotonic time. A new clock must not read close to
// zero, since the decision module interprets a start time of 0 as long ago.
func TestTimes(t *testing.T) {
	now := clock.New()
	at := now.Now() + time.Minute
	if got := now.FromTime(now.ToTime(at)); got != at {
		t.Errorf("conversion of %v to a time and back: got %v, want the same reading", at, got)
	}
	if now.Now() < 24*time.Hour {
		t.Error("a new clock reads less than 24h")
	}
	if text := now.ToTime(at).String(); !strings.Contains(text, "m=") {
		t.Errorf("ToTime: got %s, want a time with a monotonic reading", text)
	}
}

func TestMilliseconds(t *testing.T) {
	for ms, want := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * time.Microsecond, 250.1: 250100 * time.Microsecond, -1: -time.Millisecond,
	} {
		if got := clock.FromMilliseconds(ms); got != want {
			t.Errorf("FromMilliseconds(%v): got %v, want %v", ms, got, want)
		}
	}
}
