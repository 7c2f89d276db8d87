package config

import (
	"fmt"
	"math"

	"golang.org/x/sys/unix"
)

// The descriptors of the process are divided: half to clients' connections, since under overload more requests wait
// here than are out at endpoints, three eighths to connections to endpoints, and the rest to discovery, files and
// connections that are just being accepted.

// ClientConnections is the most connections that clients may hold; 0: no limit.
func (c *Config) ClientConnections() int { return (c.Sockets + 1) / 2 }

// EndpointConnections is the most connections to endpoints; 0: no limit.
func (c *Config) EndpointConnections() int { return (c.Sockets*3 + 7) / 8 }

// OpenRequests is the most requests that may be open; 0: no limit. It is the settings' limit, or a third of the
// descriptors where that is less: each open request holds a client's connection, and beyond what clients can hold
// requests would wait unseen.
func (c *Config) OpenRequests() int {
	limit := c.Settings.MaxOpen
	if third := c.Sockets / 3; third > 0 && (limit == 0 || third < limit) {
		limit = third
	}
	return limit
}

// descriptorLimit is how many descriptors the process may hold: the configured number, or the system's limit where
// that is less. Without a bound clients could take all of them and leave none for discovery and endpoints.
func descriptorLimit(configured int) (int, error) {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil {
		return 0, fmt.Errorf("limit on descriptors: %w", err)
	}
	if system.Cur >= math.MaxInt32 {
		return configured, nil
	}
	if configured == 0 || int(system.Cur) < configured {
		return int(system.Cur), nil
	}
	return configured, nil
}
