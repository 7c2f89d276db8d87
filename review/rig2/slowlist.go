package main

import (
	"time"
)

func init() { cases["slowlist"] = slowList }

const (
	slowAnswer  = 3 * time.Second // from a call to discovery to its answer
	notifiedBy  = 6 * time.Second // after discovery had a change, it counts as told at the latest
	drainGrace  = 2 * time.Second // DrainGraceMs of the settings
	drainedTime = 16 * time.Second
)

// slowList: discovery answers each call 3 s late, and a server begins to drain.
func slowList(e *env) (int, error) {
	f, err := newFleet(e, 6, spread, newLedger(e.rec, 4*time.Second, cellOf), steady(60*time.Millisecond), settings())
	defer f.stop()
	if err != nil {
		return couldNot, err
	}
	if e.trouble {
		f.discovery.delay = slowAnswer
	}
	if err := f.start(); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	pause := func() time.Duration { return 150 * time.Millisecond }
	clients := f.load(8, "account-check", 3*time.Second, pause, stop)
	time.Sleep(4 * time.Second)
	draining := f.servers[0].entry
	draining.State = "DRAINING"
	at := time.Now()
	f.discovery.set(draining)
	time.Sleep(drainedTime)
	close(stop)
	clients.Wait()
	n, last := 0, at
	for _, a := range f.ledger.all() {
		if a.server.entry.ID == draining.ID && a.began.After(at.Add(notifiedBy+drainGrace+slack)) {
			n++
			last = a.began
		}
	}
	e.rec.say("%d attempts began at the draining server later than %.2f s after discovery had its drain, the last %.1f s "+
		"after", n, (notifiedBy + drainGrace + slack).Seconds(), last.Sub(at).Seconds())
	if n > 0 {
		return broken, nil
	}
	return held, nil
}
