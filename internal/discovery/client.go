// Package discovery implements the client of the discovery service. It watches and polls the endpoint list, applies
// each list to the endpoint table and passes it to the decision module as an event.
//
// A watch (watch.go) is a streaming response that contains a list for each change, as one JSON value: either the
// complete list or a delta with the changed entries. The client starts and replaces watches (subscription.go). A poll
// (poll.go) requests the complete list once.
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

// Client polls and watches the endpoint list. It is safe for concurrent use.
type Client struct {
	http               *http.Client
	table              *endpoint.Table
	onStaleConnections func(endpointID string)
	onList             func(balancer.EndpointList)
	converter          converter            // protected by applyMu
	cachedList         endpoint.List        // complete list from the configuration
	autoWatch          bool                 // see Options.AutoWatch
	idleTimeout        time.Duration        // maximum time without data between two lists of a watch
	callTimeout        time.Duration        // timeout of a poll; a watch without a response is overdue then
	listTimeout        *adaptiveListTimeout // timeout of each list of a watch
	log                *slog.Logger
	source             *source

	// applyMu serializes the processing of lists, from the comparison of their version to their event, so that events
	// have the order of the versions. It is held while OnList is called with a list. Lock order: applyMu before
	// source.mu.
	applyMu sync.Mutex
}

// New returns a client and applies the cached list to the table. It sends no request.
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
	c.cachedList = c.table.ResolveTakeovers(c.cachedList)
	c.table.Apply(c.cachedList)
	return c
}

// CachedList returns the event for the cached list. It does not lock applyMu, so it must be called before the first
// watch or poll.
func (c *Client) CachedList() balancer.EndpointList {
	c.converter.starts.update(c.cachedList)
	return c.converter.toEvent(c.cachedList, balancer.ListCached)
}

// Start starts the watch if Options.AutoWatch is set.
func (c *Client) Start(ctx context.Context) {
	if c.autoWatch {
		c.Subscribe(ctx)
	}
}

// SetAddress changes the address of discovery. It starts a watch of the new address if Options.AutoWatch is set or if a
// watch is active or pending.
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
