// Package clock provides the monotonic clock on which the decision module runs.
package clock

import "time"

// Clock counts monotonic time from a day before it was made. It starts that far above zero because the decision
// module reads a start time of 0 as "long ago", and an endpoint may have started a while before this agent.
type Clock struct {
	base time.Time     // when the clock was made
	unix time.Duration // Unix time at base; fixed, so that one start time always converts to one value
}

// start is the clock's value at its base.
const start = 24 * time.Hour

// New returns a clock that begins now.
func New() Clock {
	now := time.Now()
	return Clock{base: now, unix: time.Duration(now.UnixNano())}
}

// At is the clock's value at t.
func (c Clock) At(t time.Time) time.Duration { return start + t.Sub(c.base) }

// Now is the clock's value now.
func (c Clock) Now() time.Duration { return c.At(time.Now()) }

// FromUnixMillis converts a start time as discovery gives it, in Unix milliseconds. 0 means long ago and stays 0.
func (c Clock) FromUnixMillis(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, start+time.Duration(ms*1e6)-c.unix)
}

// Time is the wall-clock time at a value of the clock.
func (c Clock) Time(at time.Duration) time.Time { return c.base.Add(at - start) }
