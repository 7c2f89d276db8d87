// Package discovery is the agent's side of discovery: it watches and polls the endpoint list.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/endpoint"
)

const maxListing = 8 << 20 // bytes of one list or line

const (
	// watchSilence ends a watch that brings nothing for so long. An empty line is due every 2 s, and a machine
	// that was cut off says nothing at all. What a silent watch misses counts as told 6 s after it fell silent:
	// by then the next one must have brought it, even if that one is silent from its start.
	watchSilence = 2500 * time.Millisecond
	// callTime is the longest that a call may take to be answered. Where discovery must be asked, calls wait in turn,
	// for turnTime at the most before they are turned away.
	callTime = 2500 * time.Millisecond
	turnTime = 2 * time.Second
	// toldWithin is when a change counts as told at the latest after discovery had it and could be reached, whatever
	// became of the calls before: a watch that fell silent or a call that hung, the wait after it and the next
	// call's turn fit in it. One that was refused tells that discovery could not be reached until then.
	toldWithin        = 6 * time.Second
	PollSpread        = toldWithin - max(watchSilence, callTime) - turnTime
	RefusedPollSpread = toldWithin - turnTime
	// resumeWithin is the longest wait before an unasked watch, whose calls end on this machine: two silent ones
	// in a row, the waits after them and the next fit in toldWithin.
	resumeWithin = (toldWithin - watchSilence - callTime) / 4
)

// errRefused marks a call that discovery answered with a refusal.
var errRefused = errors.New("discovery answered")

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

// minWait is the least that the unit and the bound of the wait between two kept watches may be.
const minWait = 10 * time.Millisecond

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
	d.known.Full = true
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

// maxDoubling bounds the growth of the wait before an unasked watch: all agents of a machine room lose theirs at
// once.
const maxDoubling = 3

// unknown is the version of an address that has told no list yet. Another discovery may number its
// versions otherwise, so none is carried over.
const unknown = -1

// watch is one watch of an address.
type watch struct {
	addr  string
	since int64 // the version that it continues
	stop  context.CancelFunc
}

// newListClient returns a client that uses each connection once, so that it never sends a call twice.
func newListClient() *http.Client {
	dialer := &net.Dialer{Timeout: callTime}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true,
		DisableCompression: true, ResponseHeaderTimeout: callTime}}
}

// take applies a listing from an address at once and passes it on, unless a later watch or another
// address took over meanwhile. One that is older than what is held, as the answer to a call may be that a line
// of the watch has overtaken, says nothing new. w is nil for a call for the whole list.
func (d *Client) take(w *watch, addr string, l endpoint.List) bool {
	d.order.Lock()
	defer d.order.Unlock()
	if w != nil && !d.establish(w, l.Full) {
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
	if l.Full {
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

// resume begins an unasked watch again after an exponential, fully jittered wait, unless another began meanwhile.
// A watch of an address from which discovery has moved away does not count.
func (d *Client) resume(ctx context.Context) {
	d.mu.Lock()
	wait := time.Duration(d.rng.Float64() * float64(min(d.unit<<min(d.fails, maxDoubling), d.longest)))
	d.fails++
	d.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return
	}
	d.mu.Lock()
	watched := d.current != nil && d.current.addr == d.addr || d.next != nil
	d.mu.Unlock()
	if !watched {
		d.Subscribe(ctx)
	}
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

// Poll asks for the whole list once.
func (d *Client) Poll(ctx context.Context) {
	go func() {
		if err := d.list(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("list call failed", "err", err)
			d.onList(failure(err))
		}
	}()
}

func (d *Client) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.calling)
	defer cancel()
	d.mu.Lock()
	addr := d.addr
	d.mu.Unlock()
	resp, err := d.get(ctx, addr, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListing))
	if err != nil {
		return fmt.Errorf("reading the list: %w", err)
	}
	l, err := endpoint.ParseList(raw)
	if err != nil {
		return fmt.Errorf("malformed list: %w", err)
	}
	l.Full = true
	d.take(nil, addr, l)
	return nil
}

func (d *Client) get(ctx context.Context, addr, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/servers"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%w %s", errRefused, resp.Status)
	}
	return resp, nil
}

// stream is what a watch brings. It tells of every byte, and bounds one list.
type stream struct {
	io.Reader
	heard func()
	left  int // bytes that the list may still take
}

func (s *stream) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, errors.New("too long a list")
	}
	n, err := s.Reader.Read(p[:min(len(p), s.left)])
	s.left -= n
	if n > 0 {
		s.heard()
	}
	return n, err
}

// follow reads changes until the watch ends, falls silent or brings what can't be read. A list ends where its
// JSON does, which may be several lines on.
func (d *Client) follow(ctx context.Context, w *watch) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(d.calling, func() { cancel(errors.New("silent")) })
	defer silence.Stop()
	query := "?follow=1"
	if w.since != unknown {
		query += fmt.Sprintf("&since=%d", w.since)
	}
	resp, err := d.get(ctx, w.addr, query)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	heard := func() { silence.Reset(d.silence) }
	heard()
	d.establish(w, false)
	d.log.Info("watch begins", "discovery", w.addr, "since", w.since)
	in := &stream{Reader: resp.Body, heard: heard}
	for lists := json.NewDecoder(in); ; {
		in.left = maxListing
		var raw json.RawMessage
		if err := lists.Decode(&raw); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return fmt.Errorf("reading changes: %w", err)
		}
		l, err := endpoint.ParseList(raw)
		if err != nil {
			return fmt.Errorf("malformed list: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err() // replaced or silent meanwhile: what follows is not ours to tell
		}
		if !d.take(w, w.addr, l) {
			return errors.New("changes came before the whole list")
		}
	}
}

// converter returns the conversion of a listing to the module's event.
func converter(zones, kinds []string, clock clock.Clock) func(endpoint.List, balancer.ListKind) balancer.EndpointList {
	return func(l endpoint.List, kind balancer.ListKind) balancer.EndpointList {
		e := balancer.EndpointList{Kind: kind, Endpoints: make([]balancer.Endpoint, 0, len(l.Entries))}
		for _, s := range l.Entries {
			e.Endpoints = append(e.Endpoints, balancer.Endpoint{ID: s.ID, State: endpoint.States[s.State],
				Zone: slices.Index(zones, s.Zone), Cell: s.Cell, Kind: slices.Index(kinds, s.Kind),
				Weight: s.Weight, Started: clock.FromUnixMillis(s.StartedMs)})
		}
		return e
	}
}
