package clock_test

import (
	"strings"
	"testing"
	"time"

	"ashshunt/internal/clock"
)

// A time of the clock has a monotonic reading and converts back to the same value.
func TestTimes(t *testing.T) {
	now := clock.New()
	at := now.Now() + time.Minute
	if got := now.FromTime(now.ToTime(at)); got != at {
		t.Errorf("%v became %v", at, got)
	}
	if now.Now() < 24*time.Hour {
		t.Error("the clock starts near zero, which reads as long ago")
	}
	if text := now.ToTime(at).String(); !strings.Contains(text, "m=") {
		t.Errorf("%s has no monotonic reading", text)
	}
}

func TestMilliseconds(t *testing.T) {
	for ms, want := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * time.Microsecond, 250.1: 250100 * time.Microsecond, -1: -time.Millisecond,
	} {
		if got := clock.FromMilliseconds(ms); got != want {
			t.Errorf("%v ms became %v, want %v", ms, got, want)
		}
	}
}
