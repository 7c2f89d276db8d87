// Package clock provides the monotonic clock on which the decision module runs.
package clock

import "time"

// Clock is a monotonic clock whose zero is a day before it was made. The decision module reads a start time of 0 as
// "long ago", and an endpoint that started before this agent must have a time above that.
type Clock struct {
	createdAt time.Time // when the clock was made
}

// initialReading is the clock's value when it is made.
const initialReading = 24 * time.Hour

// New returns a clock that is made now.
func New() Clock { return Clock{createdAt: time.Now()} }

// FromTime is the clock's value at t.
func (c Clock) FromTime(t time.Time) time.Duration { return initialReading + t.Sub(c.createdAt) }

// Now is the clock's value now.
func (c Clock) Now() time.Duration { return c.FromTime(time.Now()) }

// ToTime is the time at a value of the clock. Its monotonic reading keeps deadlines independent of the wall clock.
func (c Clock) ToTime(at time.Duration) time.Time { return c.createdAt.Add(at - initialReading) }
