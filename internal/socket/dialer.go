package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// ErrLocalFailure marks a dial that failed by a cause that may lie with this machine, which proves nothing about the
// other side.
var ErrLocalFailure = errors.New("local failure")

const (
	// initialRedialDelay is the wait before the first repeat of a dial. Each wait is redialFactor times the last, up to
	// maxRedialDelay.
	initialRedialDelay  = time.Millisecond
	redialBackoffFactor = 2
	maxRedialDelay      = 16 * time.Millisecond
	// redialTimeoutFraction is the share of a dial's timeout within which it is repeated. The rest is left to its caller, who
	// may have another address.
	redialTimeoutFraction = 0.5
)

// Dialer opens TCP connections. A dial that fails by a cause that may lie with this machine, such as a lack of buffers
// or ports, is repeated for a share of its timeout, since such causes often pass at once.
type Dialer struct {
	net.Dialer
}

// DialContext connects to an address within the dialer's timeout and deadline. Its error is ErrLocalFailure if the
// cause persisted and may lie with this machine.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := d.Dialer
	start := time.Now()
	redialUntil := start
	if d.Timeout > 0 {
		redialUntil = start.Add(time.Duration(redialTimeoutFraction * float64(d.Timeout)))
		if end := start.Add(d.Timeout); dialer.Deadline.IsZero() || end.Before(dialer.Deadline) {
			dialer.Deadline = end // of all dials together
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

// sleep waits and reports whether ctx has not ended meanwhile.
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
