package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	slack     = 50 * time.Millisecond  // by which every time limit is longer on sockets
	toldSlack = 150 * time.Millisecond // slack of the time that an attempt tells its server
	lateGrace = 500 * time.Millisecond // after its time a request earns nothing, and is not lost
)

// fleet is an agent with its discovery and its servers.
type fleet struct {
	env       *env
	ledger    *ledger
	servers   []*server
	discovery *discovery
	agent     *agent
}

// newFleet starts servers and discovery, and configures an agent. at returns the zone and the cell of a server.
func newFleet(e *env, n int, at func(i int) (zone string, cell int), l *ledger, handle func(attempt) answer,
	set map[string]any) (*fleet, error) {
	f := &fleet{env: e, ledger: l}
	var entries []entry
	for i := range n {
		zone, cell := at(i)
		s, err := newServer(e.rec, entry{ID: fmt.Sprintf("s-%08x", i+1), Zone: zone, Kind: "std-2c", Cell: cell,
			State: "SERVING", Weight: 1}, l, handle)
		if err != nil {
			return f, err
		}
		f.servers = append(f.servers, s)
		entries = append(entries, s.entry)
	}
	var err error
	if f.discovery, err = newDiscovery(e.rec, 41, entries); err != nil {
		return f, err
	}
	f.agent, err = newAgent(e.dir, f.discovery.addr(), f.discovery.complete(), set)
	return f, err
}

// spread places servers in three zones with one cell each.
func spread(i int) (zone string, cell int) {
	return []string{"mechelen", "namur", "ghent"}[i%3], i%3 + 1
}

func (f *fleet) start() error {
	err := f.agent.start(f.env.root, f.env.run)
	f.env.rec.add(time.Now(), "the agent is ready")
	return err
}

func (f *fleet) stop() {
	f.agent.stop()
}

// warmUp sends some calls one at a time, so that the agent knows its servers.
func (f *fleet) warmUp(class string, budget time.Duration) {
	c := &client{rec: f.env.rec, addr: f.agent.addr}
	defer c.close()
	for range 20 {
		c.do(newCall(class, budget))
	}
}

// load sends calls until stop is closed. Each of n clients waits for its answer and then for a pause.
func (f *fleet) load(n int, class string, budget time.Duration, pause func() time.Duration,
	stop <-chan struct{}) *sync.WaitGroup {
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			c := &client{rec: f.env.rec, addr: f.agent.addr}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause()):
					c.do(newCall(class, budget))
				}
			}
		})
	}
	return &clients
}

func cellOf(e entry) string { return fmt.Sprint(e.Cell) }

func zoneOf(e entry) string { return e.Zone }

// steady returns a handler that serves each attempt after a time.
func steady(after time.Duration) func(attempt) answer {
	return func(attempt) answer { return answer{after: after, status: 200, runs: true} }
}
