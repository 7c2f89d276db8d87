// Package discovery is the agent's client of discovery: it watches and polls the endpoint list, applies what comes to
// the endpoint table and passes it on as events of the decision module.
package discovery

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/telemetry"
)

// unknownVersion is the version of an address that has sent no list yet. Another discovery may number its versions
// otherwise, so none is carried over.
const unknownVersion = -1

// Options are the parameters of a Client.
type Options struct {
	Addr   string                      // host:port of discovery
	Known  endpoint.List               // the complete list as last known, from whose version a watch continues
	Table  *endpoint.Table             // to which lists are applied
	Retire func(endpointID string)     // ends the use of connections to an endpoint
	OnList func(balancer.EndpointList) // takes the events; called on the goroutines of watches and polls
	Zones  []string                    // names in the order of the decision module's numbers
	Kinds  []string
	Clock  clock.Clock
	Log    *slog.Logger

	// KeepWatch: the client keeps a watch open by itself. The module never asks for one where the settings say that
	// changes are pushed; on sockets nothing comes without a watch.
	KeepWatch      bool
	ConnectTimeout time.Duration // unit of the backoff between two such watches
	DrainGrace     time.Duration // bounds it: requests to a draining endpoint are tolerated for so long
	Seed           uint64        // of its jitter
	SlowStart      SlowStart     // of endpoints that have started

	WatchSilence time.Duration // how long a watch may bring nothing; 0: the default
	CallTimeout  time.Duration // how long a poll may take, or a watch until its first byte; 0: the default
}

// Client polls and watches the endpoint list. Its methods may be called on any goroutine.
type Client struct {
	http           *http.Client
	table          *endpoint.Table
	retire         func(endpointID string)
	onList         func(balancer.EndpointList)
	convert        converter
	known          endpoint.List
	keepWatch      bool
	silenceTimeout time.Duration
	callTimeout    time.Duration
	listTime       *listTime
	log            *slog.Logger

	// applying puts lists in one order, from the check of their version to the event. It is held while OnList runs,
	// and taken before mu.
	applying sync.Mutex

	// mu protects what follows. It is held for moments only, since the event loop waits for it.
	mu          sync.Mutex
	addr        string // host:port of discovery
	version     int64  // of the list that was last applied from addr, or unknownVersion
	current     *watch // the one that lists are taken from
	replacement *watch // the one that is to replace it, until it has begun to bring lists
	backoff     backoff
}

// New returns a client that has applied the known list to the table. It calls nobody yet.
func New(options Options) *Client {
	c := &Client{
		http:           newHTTPClient(),
		table:          options.Table,
		retire:         options.Retire,
		onList:         options.OnList,
		convert:        converter{zones: options.Zones, kinds: options.Kinds, starts: newStartTimes(options.Clock, options.SlowStart)},
		known:          options.Known,
		keepWatch:      options.KeepWatch,
		silenceTimeout: watchSilenceTimeout,
		callTimeout:    callTimeout,
		log:            options.Log,
		addr:           options.Addr,
		version:        options.Known.Version,
		backoff:        newBackoff(options.ConnectTimeout, options.DrainGrace, options.Seed),
	}
	if options.WatchSilence > 0 {
		c.silenceTimeout = options.WatchSilence
	}
	if options.CallTimeout > 0 {
		c.callTimeout = options.CallTimeout
	}
	c.listTime = newListTime(c.callTimeout)
	c.known.Complete = true
	c.table.Apply(c.known)
	return c
}

// Known is the event of the list that the client was given.
func (c *Client) Known() balancer.EndpointList { return c.convert.event(c.known, balancer.ListCached) }

// Start starts the watch that the client keeps by itself, if it is to.
func (c *Client) Start(ctx context.Context) {
	if c.keepWatch {
		c.Subscribe(ctx)
	}
}

// Unsubscribe ends all watches.
func (c *Client) Unsubscribe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range []*watch{c.current, c.replacement} {
		if w != nil {
			w.stop()
		}
	}
	c.current, c.replacement = nil, nil
}

// Move turns to another address and watches it at once, if the old one was watched or is about to be.
func (c *Client) Move(ctx context.Context, addr string) {
	c.mu.Lock()
	if addr == c.addr {
		c.mu.Unlock()
		return
	}
	c.addr, c.version = addr, unknownVersion
	watched := c.keepWatch || c.current != nil || c.replacement != nil
	c.mu.Unlock()
	c.log.Info(telemetry.MsgDiscoveryMoved, telemetry.Discovery(addr))
	if watched {
		c.Subscribe(ctx)
	}
}

func (c *Client) currentAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr
}

// applyWatched applies a list of a watch, unless a later watch has replaced that one, and reports whether it did.
func (c *Client) applyWatched(w *watch, list endpoint.List) bool {
	c.applying.Lock()
	defer c.applying.Unlock()
	if !c.establishWatch(w, list.Complete) {
		return false
	}
	c.publish(list, c.recordVersion(w.addr, list.Version))
	return true
}

// applyPolled applies a list that was polled from an address, unless discovery has moved to another one.
func (c *Client) applyPolled(addr string, list endpoint.List) {
	c.applying.Lock()
	defer c.applying.Unlock()
	if origin := c.recordVersion(addr, list.Version); origin != otherAddr {
		c.publish(list, origin)
	}
}

// listOrigin is how a list stands to the ones before it.
type listOrigin uint8

const (
	upToDate  listOrigin = iota
	outdated             // older than the last one of the same address
	otherAddr            // of an address from which discovery has moved away; its version can't be compared
)

// recordVersion notes the version of a list that is about to be applied.
func (c *Client) recordVersion(addr string, version int64) listOrigin {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		return otherAddr
	}
	if version < c.version {
		return outdated
	}
	c.version = version
	return upToDate
}

// publish applies a list to the table at once and passes it on. An outdated one, as the response to a poll may be that
// a line of the watch has overtaken, changes nothing, but who polled hears that there is no news. The caller holds
// applying.
func (c *Client) publish(list endpoint.List, origin listOrigin) {
	if origin == outdated {
		list = endpoint.List{}
	}
	for _, id := range c.table.Apply(list) {
		c.retire(id)
	}
	kind := balancer.ListDelta
	if list.Complete {
		kind = balancer.ListComplete
	}
	c.onList(c.convert.event(list, kind))
}
