package clock

import (
	"math"
	"time"
)

// maxDuration is the longest duration that FromMilliseconds returns: about 146 years, half the range of time.Duration.
const maxDuration = time.Duration(1 << 62)

// FromMilliseconds converts a number of milliseconds, rounded to the nearest nanosecond, to a duration. Out-of-range
// numbers become maxDuration or -maxDuration. All decoders of times in JSON and headers share it: settings, endpoint
// lists, load reports and the simulator's messages.
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
