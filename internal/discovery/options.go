package discovery

import (
	"log/slog"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
)

// Options are the parameters of a Client.
type Options struct {
	Addr       string          // host:port of discovery
	CachedList endpoint.List   // complete list from the configuration; a watch continues from its version
	Table      *endpoint.Table // to which lists are applied
	// OnStaleConnections is called for each endpoint whose connections a list has made stale, before OnList takes its event.
	// Both are called on the goroutines of watches and polls.
	OnStaleConnections func(endpointID string)
	OnList             func(balancer.EndpointList)
	Zones              []string // names in the order of the decision module's numbers
	Kinds              []string
	Clock              clock.Clock
	Log                *slog.Logger

	// AutoWatch has the client keep a watch open by itself. The decision module never subscribes where the settings say
	// that changes are pushed; a real discovery pushes them on a watch alone.
	AutoWatch      bool
	ConnectTimeout time.Duration // unit of the backoff between two such watches
	DrainGrace     time.Duration // how long requests to a draining endpoint are tolerated; bounds that backoff
	Seed           uint64        // of the backoff's jitter
	SlowStart      SlowStart     // of endpoints that have started

	IdleTimeout time.Duration // how long a watch may bring nothing; 0: defaultSilenceTimeout
	CallTimeout time.Duration // how long a poll may take, or a watch until its first byte; 0: defaultCallTimeout
}
