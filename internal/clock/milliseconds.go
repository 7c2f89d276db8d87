package clock

import (
	"math"
	"time"
)

// Milliseconds converts a number of milliseconds, which may have a fraction, to the nearest nanosecond.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
