package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// soakSeedsVariable names the seeds that TestSoak plays, as "FROM-TO"; without it, the four of CI are played.
	soakSeedsVariable = "ASHSHUNT_SOAK_SEEDS"
	// soakStrictVariable has TestSoak kill the agent at the earliest time and judge times by the protocol's slack, which
	// wants a machine that is not busy. Without it, an agent that shuts down may take its time, and only what never
	// happens, or happens too often, is an error.
	soakStrictVariable = "ASHSHUNT_SOAK_STRICT"

	soakEndpoints = 6
	soakClients   = 14
	soakCrowd     = 90 // idle clients, on some seeds
	soakCycles    = 3  // lives of the agent
)

// TestSoak plays an agent's process through reloads, shutdowns and kills. Clients keep using the connections that are
// open, up to a kill at the earliest time that the protocol allows, while endpoints and discovery fail in many ways.
func TestSoak(t *testing.T) {
	from, to := 1, 4
	if seeds := os.Getenv(soakSeedsVariable); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &from, &to); err != nil {
			t.Fatalf("%s: %v", soakSeedsVariable, err)
		}
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			newSoak(t, seed).play()
		})
	}
}

// soakClass is a class of requests.
type soakClass struct {
	name, semantics, group string
	deadline, window       time.Duration
}

// soak is one run.
type soak struct {
	t          *testing.T
	rng        *lockedRand
	classes    []soakClass
	crowd      bool
	listen     string
	file       configFile
	judge      *soakJudge
	discovery  *soakDiscovery
	endpoints  []*soakEndpoint
	stopped    chan struct{} // closed at the end
	mu         sync.Mutex    // protects what follows
	mayConnect bool          // clients may open connections now
}

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// between draws a time.
func (r *lockedRand) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.float()*float64(high-low))
}

func (r *lockedRand) chance(p float64) bool { return r.float() < p }

func newSoak(t *testing.T, seed int) *soak {
	t.Helper()
	rng := &lockedRand{rng: rand.New(rand.NewPCG(uint64(seed), 3))}
	longest := rng.between(50*time.Millisecond, 250*time.Millisecond)
	if rng.chance(0.5) {
		longest = rng.between(400*time.Millisecond, 2*time.Second)
	}
	groups := []string{"all", "zone", "cell"}
	s := &soak{
		t:       t,
		rng:     rng,
		crowd:   seed%3 == 0,
		file:    newConfigFile(t),
		stopped: make(chan struct{}),
		classes: []soakClass{
			{name: "look", semantics: "repeatable", deadline: longest},
			{name: "hold", semantics: "by_key", group: groups[seed%3], deadline: longest * 4 / 5,
				window: rng.between(200*time.Millisecond, 900*time.Millisecond)},
			{name: "settle", semantics: "once", deadline: longest * 2 / 3},
		},
	}
	s.judge = newSoakJudge(t, s.classes, os.Getenv(soakStrictVariable) != "")
	s.discovery = newSoakDiscovery(s)
	for i := range soakEndpoints {
		s.addEndpoint(fmt.Sprint("s", i), 0)
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 10+seed/250, seed%250))
	if err != nil {
		t.Fatal(err)
	}
	s.listen = listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return s
}

// addEndpoint starts an endpoint and lists it.
func (s *soak) addEndpoint(id string, startedMs int64) {
	e := newSoakEndpoint(s, id, len(s.endpoints)%2)
	s.endpoints = append(s.endpoints, e)
	s.discovery.change(soakEntry{ID: id, Addr: e.server.Addr(), Zone: "a", Kind: "m", Cell: e.cell,
		State: "SERVING", Weight: 1, StartedMs: startedMs})
}

// writeConfig writes the agent's configuration.
func (s *soak) writeConfig() {
	var profiles []string
	for _, c := range s.classes {
		profiles = append(profiles, fmt.Sprintf(
			`{"Name":%q,"AimMs":%d,"DeadlineMs":%d,"Worth":1,"Semantics":%q,"Group":%q,"WindowMs":%d}`,
			c.name, c.deadline.Milliseconds()/2, c.deadline.Milliseconds(), c.semantics, c.group, c.window.Milliseconds()))
	}
	sockets := 1024
	if s.crowd {
		sockets = 160
	}
	s.file.write(s.t, fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"memory_mb":192,"sockets":%d},
	 "known":%s,"settings":{"Balancers":1,"Me":0,"TickMs":5,"MembershipMode":"automatic","Dcs":["a"],"Kinds":["m"],
	 "Contract":{"ColdFrom":0.3,"RampTimeMs":4000,"FallMs":1500,"FallMultiple":3,"DrainGraceMs":2000,"GraceToAnswerMs":20},
	 "PolicyLimits":{"ConnectTimeoutMs":150,"TryLimit":5,"IdleCloseMs":60000,"RetryAfter":true,"MaxRetryAfterMs":3000,
	 "Cancel":true,"StreamsPerConn":1},"Profiles":[%s]}}`,
		s.listen, s.discovery.currentAddr(), sockets, s.discovery.completeList(), strings.Join(profiles, ",")))
}

// longestDeadline is what the platform waits for after SIGTERM.
func (s *soak) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.classes {
		longest = max(longest, c.deadline)
	}
	return min(longest, 3*time.Second)
}

func (s *soak) setMayConnect(may bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayConnect = may
}

func (s *soak) connectsNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayConnect
}

// play runs the agent through its lives.
func (s *soak) play() {
	var others sync.WaitGroup
	for range soakClients {
		others.Go(func() { newSoakClient(s).run() })
	}
	if s.crowd {
		for range soakCrowd {
			others.Go(s.idleClient)
		}
	}
	others.Go(s.runFaults)
	for life := range soakCycles {
		s.live(life)
	}
	s.setMayConnect(false)
	close(s.stopped)
	others.Wait()
	s.judge.verdict()
}

// live starts the agent, sends it signals, and kills it at the earliest time that the protocol allows.
func (s *soak) live(life int) {
	s.writeConfig()
	s.discovery.restarted()
	process := startAgent(s.t, s.file)
	process.addr(s.t)
	logEnded := make(chan struct{})
	go func() {
		defer close(logEnded)
		for process.log.Scan() {
			if line := process.log.Text(); strings.Contains(line, "internal error") || strings.Contains(line, "panic") {
				s.judge.logged(line)
			}
		}
	}()
	s.setMayConnect(true)
	time.Sleep(s.rng.between(1200*time.Millisecond, 2*time.Second))
	for range int(s.rng.float() * 4) { // reloads in a row
		s.reload(process)
	}
	time.Sleep(s.rng.between(500*time.Millisecond, 2*time.Second))
	if !s.judge.strict { // no client is still connecting as the listener closes, however busy the machine is
		s.setMayConnect(false)
		time.Sleep(200 * time.Millisecond)
	}
	term := time.Now()
	process.signal(s.t, syscall.SIGTERM)
	time.AfterFunc(400*time.Millisecond, func() { s.setMayConnect(false) })
	if s.rng.chance(0.5) {
		time.Sleep(s.rng.between(0, 200*time.Millisecond))
		_ = process.Process.Signal(syscall.SIGTERM) // it may have ended
		s.reload(process)
	}
	if s.judge.strict {
		time.Sleep(time.Until(term.Add(s.longestDeadline() + 700*time.Millisecond)))
		s.judge.killed(time.Now())
		_ = process.Process.Kill() // it may have ended
	}
	<-logEnded
	err := process.Wait()
	if status := process.ProcessState.Sys().(syscall.WaitStatus); err != nil && !status.Signaled() {
		s.judge.broken("crash", fmt.Sprintf("life %d: %v", life, err))
	}
}

// reload has the agent read a configuration that may name another discovery. The file may be half-written at first.
func (s *soak) reload(process agentProcess) {
	if s.rng.chance(0.5) {
		s.discovery.move()
	}
	if s.rng.chance(0.3) {
		s.file.write(s.t, `{"name":"n1",`)
		_ = process.Process.Signal(syscall.SIGHUP) // it may have ended
		time.Sleep(s.rng.between(0, 50*time.Millisecond))
	}
	s.writeConfig()
	_ = process.Process.Signal(syscall.SIGHUP)
	time.Sleep(s.rng.between(0, 100*time.Millisecond))
}

// runFaults has endpoints fail, drain and be replaced, and watches break, until the end.
func (s *soak) runFaults() {
	for number := soakEndpoints; ; number++ {
		select {
		case <-s.stopped:
			return
		case <-time.After(s.rng.between(100*time.Millisecond, 700*time.Millisecond)):
		}
		live := s.endpoints[len(s.endpoints)-soakEndpoints:]
		victim := live[int(s.rng.float()*float64(len(live)))]
		switch {
		case s.rng.chance(0.15):
			s.discovery.breakWatches(s.rng.chance(0.5))
		case s.rng.chance(0.15): // the oldest drains, and another one starts
			s.discovery.drain(live[0].id)
			s.addEndpoint(fmt.Sprint("s", number), time.Now().UnixMilli())
		default:
			victim.fail(endpointFault(s.rng.float()*float64(faultCount)), s.rng.between(200*time.Millisecond, 1500*time.Millisecond))
		}
	}
}
