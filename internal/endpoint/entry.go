// Package endpoint holds discovery's endpoint list: its entries, how a list is parsed, and the table that attempts
// consult.
package endpoint

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
)

// State is an endpoint's state by its name on discovery's wire.
type State string

// The states that discovery may send. StateDeleted appears among changes only.
const (
	StateServing  State = "SERVING"
	StateDraining State = "DRAINING"
	StateDeleted  State = "DELETED"
)

// balancerStates maps discovery's states to the decision module's.
var balancerStates = map[State]balancer.EndpointState{
	StateServing:  balancer.Serving,
	StateDraining: balancer.Draining,
	StateDeleted:  balancer.Removed,
}

// Entry is one entry of discovery's list.
type Entry struct {
	ID              string  `json:"id"`
	Addr            string  `json:"addr"`
	Zone            string  `json:"zone"`
	Kind            string  `json:"kind"`
	Cell            int     `json:"cell"`
	State           State   `json:"state"`
	Weight          float64 `json:"weight"`
	StartedAtUnixMs float64 `json:"started_ms"` // Unix time in milliseconds; 0: long ago
}

// BalancerState is the entry's state in the decision module's terms.
func (e Entry) BalancerState() balancer.EndpointState { return balancerStates[e.State] }

// IsServing reports whether the endpoint may get new requests.
func (e Entry) IsServing() bool { return e.State == StateServing }

// StartedAtUnix is when the endpoint last started, as the time since the Unix epoch; 0: long ago.
func (e Entry) StartedAtUnix() time.Duration {
	return max(0, clock.FromMilliseconds(e.StartedAtUnixMs))
}

// IsSameProcess reports whether two entries of an endpoint describe one process: the same start at the same address.
func (e Entry) IsSameProcess(other Entry) bool {
	return e.Addr == other.Addr && e.StartedAtUnixMs == other.StartedAtUnixMs
}

// validate returns an ErrMalformedList that says why an entry is unusable, if it is.
func (e Entry) validate() error {
	if e.ID == "" {
		return fmt.Errorf("%w: server without id", ErrMalformedList)
	}
	if _, known := balancerStates[e.State]; !known {
		return fmt.Errorf("%w: server %s: unknown state %q", ErrMalformedList, e.ID, e.State)
	}
	if e.State == StateDeleted {
		return nil
	}
	if err := ValidateAddress(e.Addr); err != nil {
		return fmt.Errorf("%w: server %s: %w", ErrMalformedList, e.ID, err)
	}
	return nil
}

// maxPort is the highest port number of TCP.
const maxPort = 65535

// ValidateAddress returns an error unless an address is host:port with a valid port.
func ValidateAddress(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not host:port", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		return fmt.Errorf("%q has no valid port", addr)
	}
	return nil
}
