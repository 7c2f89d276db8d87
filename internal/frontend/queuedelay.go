package frontend

import "time"

// queueDelay measures how long clients wait in the accept queue of a listener, whatever they send meanwhile: it notes
// when the queue has a certain length, and when that many connections have been accepted since. It is used by the
// goroutine that accepts connections.
type queueDelay struct {
	accepted int           // number of accepted connections
	last     time.Duration // the last measured delay; 0: the queue was empty since

	// The measurement that is under way; measuredSince is zero if there is none.
	measuredSince time.Time
	measuredUntil int // value of accepted at its end
}

// recordLength records the length of the queue.
func (d *queueDelay) recordLength(now time.Time, length int) {
	switch {
	case length == 0:
		d.last, d.measuredSince = 0, time.Time{}
	case d.measuredSince.IsZero():
		d.measuredSince, d.measuredUntil = now, d.accepted+length
	}
}

// recordAccept records that a connection has been accepted.
func (d *queueDelay) recordAccept(now time.Time) {
	d.accepted++
	if !d.measuredSince.IsZero() && d.accepted >= d.measuredUntil {
		d.last, d.measuredSince = now.Sub(d.measuredSince), time.Time{}
	}
}

// current returns the delay.
func (d *queueDelay) current(now time.Time) time.Duration {
	if d.measuredSince.IsZero() {
		return d.last
	}
	return max(d.last, now.Sub(d.measuredSince))
}
