package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// soakSeedsEnvVar names the seeds that TestSoak runs, as "FROM-TO"; without it, the four of CI are run.
	soakSeedsEnvVar = "ASHSHUNT_SOAK_SEEDS"
	// soakStrictEnvVar has TestSoak kill the agent at the earliest time and judge times by the protocol's slack, for
	// which the machine must not be busy. Without it, an agent that shuts down may take its time, and only what never
	// happens, or happens too often, is an error.
	soakStrictEnvVar = "ASHSHUNT_SOAK_STRICT"
)

const (
	soakEndpoints    = 6
	soakClients      = 14
	soakIdleClients  = 90 // on some seeds
	soakIncarnations = 3  // processes of the agent, one after the other
)

const (
	// acceptDuration is how long after SIGTERM clients still connect.
	acceptDuration = 400 * time.Millisecond
	// killDelay is how long after SIGTERM and the longest deadline the agent may be killed.
	killDelay = 700 * time.Millisecond
	// maxDeadline bounds the part of the longest deadline in that time.
	maxDeadline = 3 * time.Second
)

// TestSoak runs an agent's process through reloads, shutdowns and kills. Clients keep using the connections that are
// open, up to a kill at the earliest time that the protocol allows, while endpoints and discovery fail in many ways.
func TestSoak(t *testing.T) {
	from, to := 1, 4
	if seeds := os.Getenv(soakSeedsEnvVar); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &from, &to); err != nil {
			t.Fatalf("%s: %v", soakSeedsEnvVar, err)
		}
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			newSoak(t, seed).run()
		})
	}
}

// The words of the settings for kinds of idempotency and scopes of deduplication.
const (
	semanticsIdempotent        = "repeatable"
	semanticsIdempotentWithKey = "by_key"
	semanticsNotIdempotent     = "once"

	dedupEverywhere = "all"
	dedupInZone     = "zone"
	dedupInCell     = "cell"
)

// soakClass is a class of requests.
type soakClass struct {
	name, idempotency, dedupScope string
	deadline, dedupWindow         time.Duration
}

// soak is one run.
type soak struct {
	t           *testing.T
	rng         *lockedRand
	classes     []soakClass
	idleClients bool // there are soakIdleClients, and few descriptors
	listen      string
	file        configFile
	verifier    *soakVerifier
	discovery   *soakDiscovery
	endpoints   []*soakEndpoint // owned by the goroutine of faults once it runs
	stopped     chan struct{}   // closed at the end of the run

	mu         sync.Mutex // protects what follows
	mayConnect bool       // clients may open connections now
}

func newSoak(t *testing.T, seed int) *soak {
	t.Helper()
	rng := newLockedRand(seed)
	longest := rng.drawDuration(50*time.Millisecond, 250*time.Millisecond)
	if rng.drawBool(0.5) {
		longest = rng.drawDuration(400*time.Millisecond, 2*time.Second)
	}
	scopes := []string{dedupEverywhere, dedupInZone, dedupInCell}
	s := &soak{
		t:           t,
		rng:         rng,
		idleClients: seed%3 == 0,
		file:        newConfigFile(t),
		stopped:     make(chan struct{}),
		classes: []soakClass{
			{name: "look", idempotency: semanticsIdempotent, deadline: longest},
			{name: "hold", idempotency: semanticsIdempotentWithKey, dedupScope: scopes[seed%3], deadline: longest * 4 / 5,
				dedupWindow: rng.drawDuration(200*time.Millisecond, 900*time.Millisecond)},
			{name: "settle", idempotency: semanticsNotIdempotent, deadline: longest * 2 / 3},
		},
	}
	s.verifier = newSoakVerifier(t, s.classes, os.Getenv(soakStrictEnvVar) != "")
	s.discovery = newSoakDiscovery(s)
	for i := range soakEndpoints {
		s.addEndpoint(fmt.Sprint("s", i), 0)
	}
	s.listen = freeAddr(t, seed)
	return s
}

// freeAddr returns an address that each process of the agent can listen on, as no other seed uses its host.
func freeAddr(t *testing.T, seed int) string {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 10+seed/250, seed%250))
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// soakConfigFormat takes the agent's address, that of discovery, the limit of descriptors, the known endpoint list and
// the classes.
const soakConfigFormat = `{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"memory_mb":192,"sockets":%d},
 "known":%s,"settings":{"Balancers":1,"Me":0,"TickMs":5,"MembershipMode":"automatic","Dcs":["a"],"Kinds":["m"],
 "Contract":{"ColdFrom":0.3,"RampTimeMs":4000,"FallMs":1500,"FallMultiple":3,"DrainGraceMs":2000,"GraceToAnswerMs":20},
 "PolicyLimits":{"ConnectTimeoutMs":150,"TryLimit":5,"IdleCloseMs":60000,"RetryAfter":true,"MaxRetryAfterMs":3000,
 "Cancel":true,"StreamsPerConn":1},"Profiles":[%s]}}`

// writeConfig writes the agent's configuration, with discovery as it is now.
func (s *soak) writeConfig() {
	var profiles []string
	for _, c := range s.classes {
		profiles = append(profiles, fmt.Sprintf(
			`{"Name":%q,"AimMs":%d,"DeadlineMs":%d,"Worth":1,"Semantics":%q,"Group":%q,"WindowMs":%d}`,
			c.name, c.deadline.Milliseconds()/2, c.deadline.Milliseconds(),
			c.idempotency, c.dedupScope, c.dedupWindow.Milliseconds()))
	}
	sockets := 1024
	if s.idleClients {
		sockets = 160
	}
	s.file.write(s.t, fmt.Sprintf(soakConfigFormat, s.listen, s.discovery.currentAddr(), sockets,
		s.discovery.completeList(), strings.Join(profiles, ",")))
}

func (s *soak) setMayConnect(may bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayConnect = may
}

func (s *soak) clientsMayConnect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayConnect
}

// run runs the agent's processes, then judges all requests.
func (s *soak) run() {
	var workers sync.WaitGroup
	for range soakClients {
		workers.Go(func() { newSoakClient(s).run() })
	}
	if s.idleClients {
		for range soakIdleClients {
			workers.Go(s.runIdleClient)
		}
	}
	workers.Go(s.runFaults)
	for incarnation := range soakIncarnations {
		s.runAgent(incarnation)
	}
	s.setMayConnect(false)
	close(s.stopped)
	workers.Wait()
	s.verifier.verify()
}

// runAgent runs one process of the agent from its start to its end.
func (s *soak) runAgent(incarnation int) {
	s.writeConfig()
	s.discovery.recordRestart()
	process := startAgent(s.t, s.file)
	process.waitForAddr(s.t)
	logEnded := s.recordInternalErrors(process)
	s.setMayConnect(true)

	time.Sleep(s.rng.drawDuration(1200*time.Millisecond, 2*time.Second))
	for range s.rng.drawInt(4) { // reloads in a row
		s.reload(process)
	}
	time.Sleep(s.rng.drawDuration(500*time.Millisecond, 2*time.Second))

	s.stopAgent(process)
	<-logEnded
	s.waitForExit(process, incarnation)
}

// recordInternalErrors passes internal errors of the agent to the judge until the log ends, which closes the channel.
func (s *soak) recordInternalErrors(process agentProcess) (ended <-chan struct{}) {
	logEnded := make(chan struct{})
	go func() {
		defer close(logEnded)
		for process.log.Scan() {
			if line := process.log.Text(); strings.Contains(line, "internal error") || strings.Contains(line, "panic") {
				s.verifier.recordLogLine(line)
			}
		}
	}()
	return logEnded
}

// reload has the agent read a configuration that may name another discovery. The file may be half-written at first.
func (s *soak) reload(process agentProcess) {
	if s.rng.drawBool(0.5) {
		s.discovery.switchAddr()
	}
	if s.rng.drawBool(0.3) {
		s.file.write(s.t, `{"name":"n1",`)
		_ = process.Process.Signal(syscall.SIGHUP) // it may have ended
		time.Sleep(s.rng.drawDuration(0, 50*time.Millisecond))
	}
	s.writeConfig()
	_ = process.Process.Signal(syscall.SIGHUP)
	time.Sleep(s.rng.drawDuration(0, 100*time.Millisecond))
}

// stopAgent sends SIGTERM, and further signals in half of the cases. If the judge is strict, the agent is killed at the
// earliest time that the protocol allows.
func (s *soak) stopAgent(process agentProcess) {
	if !s.verifier.strict { // no client is still connecting as the listener closes, however busy the machine is
		s.setMayConnect(false)
		time.Sleep(200 * time.Millisecond)
	}
	terminatedAt := time.Now()
	process.signal(s.t, syscall.SIGTERM)
	time.AfterFunc(acceptDuration, func() { s.setMayConnect(false) })
	if s.rng.drawBool(0.5) {
		time.Sleep(s.rng.drawDuration(0, 200*time.Millisecond))
		_ = process.Process.Signal(syscall.SIGTERM) // it may have ended
		s.reload(process)
	}
	if s.verifier.strict {
		time.Sleep(time.Until(terminatedAt.Add(s.longestDeadline() + killDelay)))
		s.verifier.recordKill(time.Now())
		_ = process.Process.Kill() // it may have ended
	}
}

// longestDeadline is the part of the time after SIGTERM that depends on the classes.
func (s *soak) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.classes {
		longest = max(longest, c.deadline)
	}
	return min(longest, maxDeadline)
}

// waitForExit waits for the agent's end, which must be an exit with status 0 or a kill.
func (s *soak) waitForExit(process agentProcess, incarnation int) {
	err := process.Wait()
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	killed := ok && status.Signaled()
	if err != nil && !killed {
		s.verifier.recordViolation(ruleCrash, fmt.Sprintf("incarnation %d: %v", incarnation, err))
	}
}

// runFaults has endpoints fail, drain and be replaced, and watches break, until the end of the run.
func (s *soak) runFaults() {
	for number := soakEndpoints; ; number++ {
		select {
		case <-s.stopped:
			return
		case <-time.After(s.rng.drawDuration(100*time.Millisecond, 700*time.Millisecond)):
			s.injectFault(fmt.Sprint("s", number))
		}
	}
}

// injectFault causes one fault. newID is for an endpoint that may be started.
func (s *soak) injectFault(newID string) {
	serving := s.endpoints[len(s.endpoints)-soakEndpoints:]
	endpoint := serving[s.rng.drawInt(len(serving))]
	if s.rng.drawBool(0.15) {
		s.discovery.breakWatches(s.rng.drawBool(0.5))
		return
	}
	if s.rng.drawBool(0.15) {
		oldest := serving[0]
		s.discovery.drain(oldest.id)
		s.addEndpoint(newID, time.Now().UnixMilli())
		return
	}
	fault := endpointFault(s.rng.drawInt(faultCount))
	endpoint.injectFault(fault, s.rng.drawDuration(200*time.Millisecond, 1500*time.Millisecond))
}

// addEndpoint starts an endpoint and lists it.
func (s *soak) addEndpoint(id string, startedMs int64) {
	e := newSoakEndpoint(s, id, len(s.endpoints)%2)
	s.endpoints = append(s.endpoints, e)
	s.discovery.publish(soakEntry{
		ID:        id,
		Addr:      e.server.Addr(),
		Zone:      "a",
		Kind:      "m",
		Cell:      e.cell,
		State:     "SERVING",
		Weight:    1,
		StartedMs: startedMs,
	})
}
