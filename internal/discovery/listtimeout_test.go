package discovery

import (
	"testing"
	"time"
)

// Lists that take their time are waited for longer, up to a bound, until they are fast again.
func TestAdaptiveListTimeout(t *testing.T) {
	const minimum = 2 * time.Second
	timeout := newAdaptiveListTimeout(minimum)
	for _, want := range []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second} {
		if timeout.increase(); timeout.current() != want {
			t.Errorf("%v after a list that was given up, want %v", timeout.current(), want)
		}
	}
	for duration, want := range map[time.Duration]time.Duration{
		0: minimum, time.Second: minimum, 3 * time.Second: 6 * time.Second, time.Minute: 16 * time.Second,
	} {
		if timeout.update(duration); timeout.current() != want {
			t.Errorf("%v after a list that took %v, want %v", timeout.current(), duration, want)
		}
	}
}
