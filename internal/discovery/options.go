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
	Addr       string          // address of discovery, as host:port
	CachedList endpoint.List   // complete list from the configuration; the first watch continues from its version
	Table      *endpoint.Table // table to which lists are applied
	// OnStaleConnections is called for each endpoint whose connections became stale through a list, before OnList is
	// called with the event of the list. Both functions are called on the goroutines of watches and polls.
	OnStaleConnections func(endpointID string)
	OnList             func(balancer.EndpointList)
	Zones              []string // zone names; the index is the decision module's zone number
	Kinds              []string // kind names; the index is the decision module's kind number
	Clock              clock.Clock
	Log                *slog.Logger

	// AutoWatch makes the client start and restart a watch on its own. It is set if the settings say that changes are
	// pushed: the decision module never subscribes then, but discovery pushes changes only on a watch.
	AutoWatch      bool
	ConnectTimeout time.Duration // base delay of the backoff between watches; used with AutoWatch
	DrainGrace     time.Duration // time during which a draining endpoint tolerates requests; limits the backoff
	Seed           uint64        // seed of the backoff's jitter
	SlowStart      SlowStart     // slow start of endpoints, used to estimate their start times

	IdleTimeout time.Duration // maximum time without data on a watch; 0 means defaultIdleTimeout
	CallTimeout time.Duration // timeout of a poll, and until a watch is overdue; 0 means defaultCallTimeout
}
