package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// ErrLocalFailure marks a failed dial whose cause may lie with this machine. Such a failure says nothing about the
// peer.
var ErrLocalFailure = errors.New("dial failed, possibly due to a local cause")

const (
	// initialRedialDelay is the delay before the first retry of a dial. Each further delay is redialBackoffFactor times
	// the previous one, up to maxRedialDelay.
	initialRedialDelay  = time.Millisecond
	redialBackoffFactor = 2
	maxRedialDelay      = 16 * time.Millisecond
	// redialTimeoutFraction is the fraction of a dial's timeout during which it is retried. The rest is left to the
	// caller, who may have another address.
	redialTimeoutFraction = 0.5
)

// Dialer opens TCP connections. It retries a dial whose failure may lie with this machine, such as a lack of buffers or
// ports, for a fraction of the dial's timeout, since such failures are often transient.
type Dialer struct {
	net.Dialer
}

// DialContext connects to an address within the dialer's timeout and deadline. The error wraps ErrLocalFailure if the
// cause may lie with this machine and retries did not help.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := d.Dialer
	start := time.Now()
	redialUntil := start
	if d.Timeout > 0 {
		redialUntil = start.Add(time.Duration(redialTimeoutFraction * float64(d.Timeout)))
		if end := start.Add(d.Timeout); dialer.Deadline.IsZero() || end.Before(dialer.Deadline) {
			dialer.Deadline = end // for all dials together
		}
		dialer.Timeout = 0
	}
	for delay := initialRedialDelay; ; delay = min(redialBackoffFactor*delay, maxRedialDelay) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			return NewConn(conn), nil
		}
		if !isLocalFailure(err) {
			return nil, err
		}
		if time.Now().Add(delay).After(redialUntil) || !sleep(ctx, delay) {
			return nil, fmt.Errorf("%w: %w", ErrLocalFailure, err)
		}
	}
}

// sleep blocks for the given time and reports whether it did so before ctx was done.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
