package main

import (
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// soakNetwork is the network between the agent and the endpoints.
type soakNetwork struct {
	latency time.Duration // in each direction
	faults  testutil.ProxyFaults
}

// connect returns the address at which the agent reaches an endpoint: that of the endpoint itself, or that of a proxy
// in front of it if the network has latency or faults.
func (n soakNetwork) connect(t *testing.T, endpointAddr string) string {
	t.Helper()
	if n.latency == 0 && n.faults.OnConnect == nil && n.faults.OnResponse == nil {
		return endpointAddr
	}
	return testutil.NewFaultProxy(t, endpointAddr, n.latency, n.faults).Addr()
}
