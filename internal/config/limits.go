package config

import (
	"fmt"
	"math"

	"golang.org/x/sys/unix"
)

// The file descriptors of the process are divided into eighths. Clients get the largest part, since under overload more
// requests wait in the agent than are in flight to endpoints. The remaining eighth is for discovery, files, and
// connections that are being accepted.
const (
	descriptorParts = 8
	clientParts     = 4
	endpointParts   = 3
)

// descriptorsPerOpenRequest limits the open requests to a third of the descriptors. Each open request holds a client
// connection. The limit is below the number of client connections, which is half of the descriptors: requests beyond
// the available client connections would wait where the balancer does not see them.
const descriptorsPerOpenRequest = 3

// MaxClientConnections returns the maximum number of client connections; 0: no limit.
func (c *Config) MaxClientConnections() int { return c.descriptorShare(clientParts) }

// MaxEndpointConnections returns the maximum number of connections to endpoints; 0: no limit.
func (c *Config) MaxEndpointConnections() int { return c.descriptorShare(endpointParts) }

// descriptorShare returns the number of descriptors in the given number of parts, rounded up.
func (c *Config) descriptorShare(parts int) int {
	return (c.MaxDescriptors*parts + descriptorParts - 1) / descriptorParts
}

// MaxOpenRequests returns the maximum number of open requests; 0: no limit. It is the limit of the settings, or the
// limit that follows from MaxDescriptors if that is lower. A MaxDescriptors of less than descriptorsPerOpenRequest sets
// no limit.
func (c *Config) MaxOpenRequests() int {
	limit := c.Settings.MaxOpen
	if allowed := c.MaxDescriptors / descriptorsPerOpenRequest; allowed > 0 && (limit == 0 || allowed < limit) {
		limit = allowed
	}
	return limit
}

const (
	bytesPerMiB = 1 << 20
	// defaultMemoryMB is the memory that a process without a limit is assumed to have, in MiB.
	defaultMemoryMB = 192
)

// The parts of the memory that clients and endpoints may use. The Go heap needs about as much again for the garbage
// between two collections, and the process needs some 12 MiB without any client.
const (
	budgetParts      = 5
	budgetPartsTotal = 16
)

// The heap limit is five eighths of the memory of the process; the remainder is for the program itself.
const (
	heapParts      = 5
	heapPartsTotal = 8
)

// HeapLimit returns the limit of the Go heap in bytes; 0: no limit.
func (c *Config) HeapLimit() int64 {
	return int64(c.MaxMemoryMB) * bytesPerMiB * heapParts / heapPartsTotal
}

// MemoryMB returns the memory of the process in MiB: its limit, or defaultMemoryMB if there is none.
func (c *Config) MemoryMB() int {
	if c.MaxMemoryMB == 0 {
		return defaultMemoryMB
	}
	return c.MaxMemoryMB
}

// MemoryBudget returns how many bytes of memory clients and endpoints may use.
func (c *Config) MemoryBudget() int64 {
	return int64(c.MemoryMB()) * bytesPerMiB * budgetParts / budgetPartsTotal
}

// effectiveMaxDescriptors returns the lower of the configured limit (0: none) and the system's limit on open file
// descriptors (math.MaxInt32 or more: none). Without a limit, clients could use up all descriptors and leave none for
// discovery and endpoints.
func effectiveMaxDescriptors(configured int) (int, error) {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil {
		return 0, fmt.Errorf("read limit on open file descriptors: %w", err)
	}
	if system.Cur >= math.MaxInt32 {
		return configured, nil
	}
	if configured == 0 || int(system.Cur) < configured {
		return int(system.Cur), nil
	}
	return configured, nil
}
