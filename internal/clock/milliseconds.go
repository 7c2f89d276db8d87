package clock

import (
	"math"
	"time"
)

// maxDuration is the longest duration that Milliseconds returns: about 146 years, half the range of a time.Duration.
const maxDuration = time.Duration(1 << 62)

// FromMilliseconds converts a number of milliseconds, which may have a fraction, to the nearest nanosecond. Numbers out of
// range become the longest duration of their sign. It is in this package since all that reads times from JSON or from
// headers (settings, lists, load reports, the simulator's messages) shares it.
func FromMilliseconds(ms float64) time.Duration {
	nanoseconds := math.Round(ms * float64(time.Millisecond))
	if math.Abs(nanoseconds) < float64(maxDuration) {
		return time.Duration(nanoseconds)
	}
	if nanoseconds < 0 {
		return -maxDuration
	}
	return maxDuration
}
