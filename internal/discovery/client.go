// Package discovery is the agent's client of the discovery service: it watches and polls the endpoint list, applies
// each list to the endpoint table and passes it on as an event of the decision module.
//
// A watch (watch.go) is a response without end that brings lists as they change; the client starts and replaces
// watches (subscription.go). A poll (poll.go) asks for the complete list once.
package discovery

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/telemetry"
)

// Client polls and watches the endpoint list. Its methods may be called on any goroutine.
type Client struct {
	http               *http.Client
	table              *endpoint.Table
	onStaleConnections func(endpointID string)
	onList             func(balancer.EndpointList)
	converter          converter // used by the holder of applyMu
	cachedList         endpoint.List
	autoWatch          bool
	idleTimeout        time.Duration
	callTimeout        time.Duration
	listTimeout        *adaptiveListTimeout
	log                *slog.Logger
	source             *source

	// applyMu puts lists in one order, from the check of their version to the event. It is held while OnList runs, and
	// taken before the source's mutex.
	applyMu sync.Mutex
}

// New returns a client that has applied the cached list to the table. It calls nobody yet.
func New(options Options) *Client {
	c := &Client{
		http:               newHTTPClient(),
		table:              options.Table,
		onStaleConnections: options.OnStaleConnections,
		onList:             options.OnList,
		converter: converter{
			zones:  options.Zones,
			kinds:  options.Kinds,
			starts: newStartTimes(options.Clock, options.SlowStart),
		},
		cachedList:  options.CachedList,
		autoWatch:   options.AutoWatch,
		idleTimeout: cmp.Or(options.IdleTimeout, defaultIdleTimeout),
		callTimeout: cmp.Or(options.CallTimeout, defaultCallTimeout),
		log:         options.Log,
		source: &source{
			addr:    options.Addr,
			version: options.CachedList.Version,
			backoff: newBackoff(options.ConnectTimeout, options.DrainGrace, options.Seed),
		},
	}
	c.listTimeout = newAdaptiveListTimeout(c.callTimeout)
	c.cachedList.Complete = true
	c.table.Apply(c.cachedList)
	return c
}

// CachedList returns the event of the list that the client was given. It must be called before any watch or poll.
func (c *Client) CachedList() balancer.EndpointList {
	c.converter.starts.update(c.cachedList)
	return c.converter.toEvent(c.cachedList, balancer.ListCached)
}

// Start starts the watch that the client keeps open, if Options.KeepWatch says so.
func (c *Client) Start(ctx context.Context) {
	if c.autoWatch {
		c.Subscribe(ctx)
	}
}

// SetAddress changes the address of discovery. The new one is watched at once if the client keeps its watch, or if the
// old one was watched or about to be.
func (c *Client) SetAddress(ctx context.Context, addr string) {
	changed, watched := c.source.setAddr(addr)
	if !changed {
		return
	}
	c.log.Info(telemetry.MsgDiscoveryAddressChanged, telemetry.Discovery(addr))
	if watched || c.autoWatch {
		c.Subscribe(ctx)
	}
}
