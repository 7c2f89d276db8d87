package config

import (
	"fmt"
	"math"

	"golang.org/x/sys/unix"
)

// The file descriptors of the process are divided into parts. Clients get the most, since under overload more requests
// wait here than are in flight to endpoints. The rest is for discovery, for files, and for connections that are just
// being accepted.
const (
	descriptorParts = 8
	clientParts     = 4
	endpointParts   = 3
)

// descriptorsPerRequest bounds the open requests: each holds a client's connection, and requests beyond those that
// clients can hold would wait where the balancer does not see them.
const descriptorsPerRequest = 3

// MaxClientConnections is the most connections that clients may hold; 0: no limit.
func (c *Config) MaxClientConnections() int { return c.descriptorShare(clientParts) }

// MaxEndpointConnections is the most connections to endpoints; 0: no limit.
func (c *Config) MaxEndpointConnections() int { return c.descriptorShare(endpointParts) }

// descriptorShare returns how many descriptorShare so many parts are, rounded up.
func (c *Config) descriptorShare(parts int) int {
	return (c.MaxDescriptors*parts + descriptorParts - 1) / descriptorParts
}

// MaxOpenRequests is the most requests that may be open; 0: no limit. It is the limit of the settings, or what the
// descriptors allow where that is less.
func (c *Config) MaxOpenRequests() int {
	limit := c.Settings.MaxOpen
	if allowed := c.MaxDescriptors / descriptorsPerRequest; allowed > 0 && (limit == 0 || allowed < limit) {
		limit = allowed
	}
	return limit
}

// effectiveMaxDescriptors returns how many descriptors the process may hold: the configured number, or the system's limit
// where that is less. Without a bound clients could take all of them and leave none for discovery and endpoints.
func effectiveMaxDescriptors(configured int) (int, error) {
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
