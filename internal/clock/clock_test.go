package clock_test

import (
	"testing"
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/testutil"
)

// A known start time never reads as "long ago", and converts to the same value each time.
func TestStartTimes(t *testing.T) {
	now := clock.New()
	if got := now.FromUnixMillis(0); got != 0 {
		t.Errorf("long ago became %v", got)
	}
	ms := float64(time.Now().UnixMilli() - 3000)
	first := now.FromUnixMillis(ms)
	if age := now.Now() - first; age < 2900*time.Millisecond || age > 3*time.Second+testutil.Timeout {
		t.Errorf("started 3 s ago became %v ago", age)
	}
	if now.FromUnixMillis(ms) != first {
		t.Error("one start time became two")
	}
}

func TestMilliseconds(t *testing.T) {
	for ms, want := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * time.Microsecond, 250.1: 250100 * time.Microsecond, -1: -time.Millisecond,
	} {
		if got := clock.Milliseconds(ms); got != want {
			t.Errorf("%v ms became %v, want %v", ms, got, want)
		}
	}
}
