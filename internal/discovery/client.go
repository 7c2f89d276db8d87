// Package discovery is the agent's side of discovery: it watches and polls the endpoint list.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
)

// Client polls and watches the endpoint list, when told to.
type Client struct {
	http    *http.Client
	table   *endpoint.Table
	retire  func(endpointID string)     // ends the use of its connections
	onList  func(balancer.EndpointList) // takes the events
	silence time.Duration               // see watchSilence
	calling time.Duration               // see callTime; for a watch, until its first byte
	convert func(endpoint.List, balancer.ListKind) balancer.EndpointList
	log     *slog.Logger

	// Where the settings say that changes come unasked, the module never asks for a watch. On sockets nothing
	// comes without one, so it is kept here, and one that ends is begun again after a jittered wait.
	keepWatch bool
	unit      time.Duration // of that wait ...
	longest   time.Duration // ... and its bound

	known endpoint.List // as given at the start

	order sync.Mutex // orders listings, from reading to posting; held while posting

	mu      sync.Mutex // guards what follows; held for moments, since the loop waits for it
	addr    string     // host:port
	version int64      // of the list that was last taken from addr; unknown: the whole list is wanted
	current *watch     // the one that lists are taken from
	next    *watch     // the one that is to replace it, until it has begun to bring lists
	fails   int        // watches that ended since one last began
	rng     *rand.Rand
}

// Options are what a Client is made of.
type Options struct {
	Addr   string        // host:port of discovery
	Known  endpoint.List // the list as last known, from which it goes on
	Table  *endpoint.Table
	Retire func(endpointID string)     // ends the use of connections to an endpoint
	OnList func(balancer.EndpointList) // takes the events; may be called on any goroutine
	Zones  []string                    // as the settings name them, in the order of the module's numbers
	Kinds  []string
	Clock  clock.Clock
	Log    *slog.Logger

	// KeepWatch: the client keeps a watch open by itself, since the module never asks for one.
	KeepWatch      bool
	ConnectTimeout time.Duration // the unit of the wait between two such watches
	DrainGrace     time.Duration // bounds it, since draining endpoints may get requests for so long only
	Seed           uint64        // of its jitter

	WatchSilence time.Duration // how long a watch may bring nothing; 0: the default
	CallTimeout  time.Duration // how long a call may take; 0: the default
}

// New returns a client that holds the known list, which it applies to the table; it calls nobody yet.
func New(o Options) *Client {
	d := &Client{addr: o.Addr, http: newListClient(), table: o.Table, retire: o.Retire, onList: o.OnList,
		silence: watchSilence, calling: callTime, convert: converter(o.Zones, o.Kinds, o.Clock), log: o.Log,
		keepWatch: o.KeepWatch, unit: max(o.ConnectTimeout, minWait), longest: min(max(o.DrainGrace/4, minWait), resumeWithin),
		rng: rand.New(rand.NewPCG(o.Seed, 1)), known: o.Known, version: o.Known.Version}
	if o.WatchSilence > 0 {
		d.silence = o.WatchSilence
	}
	if o.CallTimeout > 0 {
		d.calling = o.CallTimeout
	}
	d.known.Complete = true
	d.table.Apply(d.known)
	return d
}

// Known is the event of the list that the client was given.
func (d *Client) Known() balancer.EndpointList { return d.convert(d.known, balancer.ListCached) }

// Start begins the watch that the client keeps by itself, if it is to.
func (d *Client) Start(ctx context.Context) {
	if d.keepWatch {
		d.Subscribe(ctx)
	}
}

// unknown is the version of an address that has told no list yet. Another discovery may number its
// versions otherwise, so none is carried over.
const unknown = -1

// take applies a listing from an address at once and passes it on, unless a later watch or another
// address took over meanwhile. One that is older than what is held, as the answer to a call may be that a line
// of the watch has overtaken, says nothing new. w is nil for a call for the whole list.
func (d *Client) take(w *watch, addr string, l endpoint.List) bool {
	d.order.Lock()
	defer d.order.Unlock()
	if w != nil && !d.establish(w, l.Complete) {
		return false
	}
	d.mu.Lock()
	ours := addr == d.addr
	old := ours && l.Version < d.version
	if ours && !old {
		d.version = l.Version
	}
	d.mu.Unlock()
	if !ours && w == nil {
		return false
	}
	if old {
		l = endpoint.List{} // whoever has asked hears that nothing changed
	}
	for _, id := range d.table.Apply(l) {
		d.retire(id)
	}
	kind := balancer.ListDelta
	if l.Complete {
		kind = balancer.ListComplete
	}
	d.onList(d.convert(l, kind))
	return true
}

// establish reports whether lists are to be taken from w. Once it has begun it ends the watch before it;
// where it is to bring the whole list, once that has come.
func (d *Client) establish(w *watch, full bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w == d.next && (full || w.since != unknown) {
		d.fails = 0
		if d.current != nil {
			d.current.stop()
		}
		d.current, d.next = w, nil
	}
	return w == d.current
}

// Subscribe starts a watch. The one before it goes on until the new one brings its list: a new address
// may be slow to answer, or never do.
func (d *Client) Subscribe(parent context.Context) {
	ctx, stop := context.WithCancel(parent)
	d.mu.Lock()
	if d.next != nil {
		d.next.stop()
	}
	w := &watch{addr: d.addr, since: d.version, stop: stop}
	d.next = w
	d.mu.Unlock()
	go func() {
		defer stop()
		err := d.follow(ctx, w)
		if ctx.Err() == nil && d.ended(w) {
			d.log.Warn("watch ended", "discovery", w.addr, "err", err)
			if d.keepWatch {
				d.resume(parent)
			} else {
				d.onList(failure(err))
			}
		}
	}()
}

// failure is what the module hears of a call that failed.
func failure(err error) balancer.EndpointList {
	if errors.Is(err, errRefused) {
		return balancer.EndpointList{Kind: balancer.ListRefused}
	}
	return balancer.EndpointList{Kind: balancer.ListFailed}
}

// ended forgets a watch that ended by itself and reports whether the module is to hear of it: while
// another one is to replace it, nothing is lost.
func (d *Client) ended(w *watch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch w {
	case d.next:
		d.next = nil
		return true
	case d.current:
		d.current = nil
		return d.next == nil
	}
	return false
}

func (d *Client) Unsubscribe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range []*watch{d.current, d.next} {
		if w != nil {
			w.stop()
		}
	}
	d.current, d.next = nil, nil
}

// Move turns to another address and watches it at once, if the old one was watched or is about to be.
func (d *Client) Move(ctx context.Context, addr string) {
	d.mu.Lock()
	if addr == d.addr {
		d.mu.Unlock()
		return
	}
	d.addr, d.version = addr, unknown
	watched := d.keepWatch || d.current != nil || d.next != nil
	d.mu.Unlock()
	d.log.Info("discovery moved", "discovery", addr)
	if watched {
		d.Subscribe(ctx)
	}
}
