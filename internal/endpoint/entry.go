// Package endpoint parses the endpoint lists of the discovery service and holds their entries in a table, which
// attempts consult before they send a request.
package endpoint

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
)

// State is the state of an endpoint in an endpoint list.
type State string

// Values of State. StateDeleted occurs only in lists of changes.
const (
	StateServing  State = "SERVING"
	StateDraining State = "DRAINING"
	StateDeleted  State = "DELETED"
)

// balancerStates maps the states of endpoint lists to those of the decision module.
var balancerStates = map[State]balancer.EndpointState{
	StateServing:  balancer.Serving,
	StateDraining: balancer.Draining,
	StateDeleted:  balancer.Removed,
}

// Entry is an entry of an endpoint list.
type Entry struct {
	ID              string  `json:"id"`
	Addr            string  `json:"addr"`
	Zone            string  `json:"zone"`
	Kind            string  `json:"kind"`
	Cell            int     `json:"cell"`
	State           State   `json:"state"`
	Weight          float64 `json:"weight"`
	StartedAtUnixMs float64 `json:"started_ms"` // start of the process, as Unix time in milliseconds; 0 means long ago
}

// BalancerState returns the state of the endpoint as a state of the decision module.
func (e Entry) BalancerState() balancer.EndpointState { return balancerStates[e.State] }

// IsServing reports whether new requests may be sent to the endpoint.
func (e Entry) IsServing() bool { return e.State == StateServing }

// StartedAtUnix returns the last start of the endpoint as the time since the Unix epoch. 0 means long ago.
func (e Entry) StartedAtUnix() time.Duration {
	return max(0, clock.FromMilliseconds(e.StartedAtUnixMs))
}

// IsSameProcess reports whether two entries of an endpoint describe the same process: their addresses and start times
// are equal.
func (e Entry) IsSameProcess(other Entry) bool {
	return e.Addr == other.Addr && e.StartedAtUnixMs == other.StartedAtUnixMs
}

// validate returns an error that wraps ErrMalformedList if the entry is invalid.
func (e Entry) validate() error {
	if e.ID == "" {
		return fmt.Errorf("%w: entry without an id", ErrMalformedList)
	}
	if _, known := balancerStates[e.State]; !known {
		return fmt.Errorf("%w: entry %s: unknown state %q, want SERVING, DRAINING or DELETED",
			ErrMalformedList, e.ID, e.State)
	}
	if e.State == StateDeleted {
		return nil
	}
	if err := ValidateAddress(e.Addr); err != nil {
		return fmt.Errorf("%w: entry %s: %w", ErrMalformedList, e.ID, err)
	}
	return nil
}

// maxPort is the maximum TCP port number.
const maxPort = 65535

// ValidateAddress returns an error unless addr has the form host:port with a port number from 0 to maxPort.
func ValidateAddress(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not host:port", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		return fmt.Errorf("%q has no valid port: want 0 to %d", addr, maxPort)
	}
	return nil
}
