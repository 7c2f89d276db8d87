package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["takeover"] = takeover }

const (
	takeoverServers = 6 // in two pods
	rounds          = 8
	roundTime       = 10 * time.Second
	idleWait        = 2 * time.Second         // the crash waits for a moment without a request
	downTime        = 100 * time.Millisecond  // from the crash of a server until another one is up at its address
	noticeTime      = 2400 * time.Millisecond // from the start of a server until discovery tells it: 1.2 to 2.5 s
	troubleTime     = 6 * time.Second         // for which a server fails quickly: 5.9 to 30 s
	failingShare    = 0.6                     // share of its requests that it fails: 0.45 to 0.97
)

// failing names the server that fails quickly; empty: none.
type failing struct {
	mu sync.Mutex
	id string
}

func (f *failing) set(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id = id
}

func (f *failing) is(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.id == id
}

// takeover: in each round one server of a pod fails quickly, another one of the pod crashes, and a new server of the
// other pod comes up at its address. Discovery tells that 2.4 s later.
func takeover(e *env) (int, error) {
	l := newLedger(e.rec, 4*time.Second, cellOf)
	bad := &failing{}
	handle := func(a attempt) answer {
		if bad.is(a.server.entry.ID) && rand.Float64() < failingShare {
			return answer{after: 5 * time.Millisecond, status: 500, runs: true}
		}
		return answer{after: 60 * time.Millisecond, status: 200, runs: true}
	}
	set := settings()
	set["Contract"].(map[string]any)["RampTimeMs"] = 5300.0
	pods := func(i int) (string, int) { return "mechelen", i%2 + 1 }
	f, err := newFleet(e, takeoverServers, pods, l, handle, set)
	defer f.stop()
	if err != nil {
		return couldNot, err
	}
	if err := f.start(); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	pause := func() time.Duration { return time.Duration(100+rand.IntN(300)) * time.Millisecond }
	clients := f.load(2, "lane-charge", 1500*time.Millisecond, pause, stop)
	time.Sleep(5 * time.Second)
	for range rounds {
		end := time.Now().Add(roundTime)
		pod := f.largerPod()
		busy := f.busiest(pod)
		bad.set(busy[0].entry.ID)
		e.rec.add(time.Now(), "server %s (cell %d) fails %.0f%% of its requests", busy[0].entry.ID, pod, 100*failingShare)
		time.Sleep(time.Second)
		if e.trouble {
			if err := f.takeOver(busy[1]); err != nil {
				return couldNot, err
			}
		}
		time.Sleep(time.Until(end.Add(troubleTime - roundTime)))
		bad.set("")
		time.Sleep(time.Until(end))
	}
	close(stop)
	clients.Wait()
	return l.judgeOnce(), nil
}

// takeOver crashes a server, starts one of the other pod at its address, and tells discovery.
func (f *fleet) takeOver(old *server) error {
	for until := time.Now().Add(idleWait); !old.isResting() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	gone, next := old.entry, old.entry
	gone.State = "DELETED"
	next.ID, next.Cell = fmt.Sprintf("s-%08x", len(f.servers)+1), 3-old.entry.Cell
	old.die()
	time.Sleep(downTime)
	next.Started = float64(time.Now().UnixMilli())
	s, err := newServer(f.env.rec, next, f.ledger, old.handle)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	f.env.rec.add(time.Now(), "server %s of cell %d is up at the address of %s", next.ID, next.Cell, gone.ID)
	time.Sleep(noticeTime)
	f.discovery.set(gone, next)
	return nil
}

// largerPod returns the cell with most living servers.
func (f *fleet) largerPod() int {
	counts := map[int]int{}
	for _, s := range f.servers {
		if !s.isDead() {
			counts[s.entry.Cell]++
		}
	}
	if counts[2] > counts[1] {
		return 2
	}
	return 1
}

// busiest returns the two living servers of a cell that got most attempts in the last 3 s.
func (f *fleet) busiest(cell int) [2]*server {
	counts := map[string]int{}
	for _, a := range f.ledger.all() {
		if time.Since(a.came) < 3*time.Second {
			counts[a.server.entry.ID]++
		}
	}
	var first, second *server
	for _, s := range f.servers {
		switch n := counts[s.entry.ID]; {
		case s.isDead() || s.entry.Cell != cell:
		case first == nil || n > counts[first.entry.ID]:
			first, second = s, first
		case second == nil || n > counts[second.entry.ID]:
			second = s
		}
	}
	return [2]*server{first, second}
}

// judgeOnce reports the requests that ran more than once.
func (l *ledger) judgeOnce() int {
	twice := 0
	for key, runs := range l.runs {
		if len(runs) < 2 {
			continue
		}
		twice++
		for _, r := range runs {
			l.rec.say("%s ran at %.3f on %s, cell %d", key, l.rec.at(r.at), r.server.ID, r.server.Cell)
		}
	}
	l.rec.say("%d of %d requests ran more than once", twice, len(l.runs))
	if twice > 0 {
		return broken
	}
	return held
}
