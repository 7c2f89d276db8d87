// Package clock provides the monotonic clock of the decision module.
package clock

import "time"

// Clock is a monotonic clock. It reads initialReading at its creation, not 0: the decision module interprets a start
// time of 0 as long ago, and the start times of endpoints that started before this agent must be above 0.
type Clock struct {
	createdAt time.Time // the instant at which the clock reads initialReading
}

// initialReading is the clock's reading at its creation.
const initialReading = 24 * time.Hour

// New returns a clock that reads initialReading now.
func New() Clock { return Clock{createdAt: time.Now()} }

// FromTime converts t to a reading of the clock.
func (c Clock) FromTime(t time.Time) time.Duration { return initialReading + t.Sub(c.createdAt) }

// Now returns the current reading of the clock.
func (c Clock) Now() time.Duration { return c.FromTime(time.Now()) }

// ToTime converts a reading of the clock to a time. The result has a monotonic clock reading, so that deadlines derived
// from it do not depend on the wall clock.
func (c Clock) ToTime(at time.Duration) time.Time { return c.createdAt.Add(at - initialReading) }
