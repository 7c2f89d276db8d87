// Package clock provides the monotonic clock on which the decision module runs.
package clock

import "time"

// Clock counts monotonic time from a day before it was made. It starts that far above zero because the decision
// module reads a start time of 0 as "long ago", and an endpoint may have started a while before this agent.
type Clock struct {
	base time.Time // when the clock was made
}

// start is the clock's value at its base.
const start = 24 * time.Hour

// New returns a clock that begins now.
func New() Clock { return Clock{base: time.Now()} }

// At is the clock's value at t.
func (c Clock) At(t time.Time) time.Duration { return start + t.Sub(c.base) }

// Now is the clock's value now.
func (c Clock) Now() time.Duration { return c.At(time.Now()) }

// Time is the time at a value of the clock. It carries a monotonic reading, by which deadlines on it pass.
func (c Clock) Time(at time.Duration) time.Time { return c.base.Add(at - start) }
