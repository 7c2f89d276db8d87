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
	// soakSeedsEnvVar is the environment variable with the range of seeds that TestSoak runs, as "FROM-TO". The default
	// is 1-4, which CI runs.
	soakSeedsEnvVar = "ASHSHUNT_SOAK_SEEDS"
	// soakStrictEnvVar is the environment variable that enables the strict mode of TestSoak. The strict mode needs an
	// idle machine: it kills the agent at the earliest time that the protocol allows and uses strictSlack. Without it,
	// the agent is not killed, and only events that never happen, or that happen too often, are errors.
	soakStrictEnvVar = "ASHSHUNT_SOAK_STRICT"
)

const (
	soakEndpoints    = 6
	soakClients      = 14
	soakIdleClients  = 90 // if soak.idleClients is set
	soakCrowdClients = 90 // if soak.crowd is set
	soakIncarnations = 3  // sequential processes of the agent
)

const (
	// acceptDuration is how long after SIGTERM clients still open connections.
	acceptDuration = 400 * time.Millisecond
	// killDelay is the time from SIGTERM plus the longest deadline until the agent may be killed.
	killDelay = 700 * time.Millisecond
	// maxDeadline is the maximum part of the longest deadline that counts for the time of the kill.
	maxDeadline = 3 * time.Second
)

// TestSoak runs processes of the agent through reloads, shutdowns and kills while endpoints and discovery fail in many
// ways. It verifies the rules for all requests. Clients use their open connections until the agent is killed, at the
// earliest time that the protocol allows.
func TestSoak(t *testing.T) {
	from, to := 1, 4
	if seeds := os.Getenv(soakSeedsEnvVar); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &from, &to); err != nil {
			t.Fatalf("parse %s: %v", soakSeedsEnvVar, err)
		}
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			newSoak(t, seed).run()
		})
	}
}

// The values of Semantics and Group in the settings.
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

// soak is a run of TestSoak with one seed.
type soak struct {
	t           *testing.T
	rng         *lockedRand
	classes     []soakClass
	idleClients bool   // run soakIdleClients with a low limit of descriptors
	crowd       bool   // run soakCrowdClients with a low limit of descriptors
	listen      string // the agent's address
	file        configFile
	verifier    *soakVerifier
	discovery   *soakDiscovery
	network     soakNetwork     // between the agent and the endpoints
	stallsAgent bool            // the agent is sometimes stopped for a short time
	endpoints   []*soakEndpoint // used only by the goroutine of runFaults after its start
	stopped     chan struct{}   // closed at the end of the run

	minServiceTime, maxServiceTime time.Duration // service time of an endpoint without faults

	mu         sync.Mutex  // protects the fields below
	mayConnect bool        // clients may open connections
	process    *os.Process // the running agent; nil: none
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
		crowd:       seed%4 == 1,
		file:        newConfigFile(t),
		stopped:     make(chan struct{}),

		minServiceTime: 2 * time.Millisecond,
		maxServiceTime: 20 * time.Millisecond,
		classes: []soakClass{
			{name: "look", idempotency: semanticsIdempotent, deadline: longest},
			{name: "hold", idempotency: semanticsIdempotentWithKey, dedupScope: scopes[seed%3],
				deadline: longest * 4 / 5, dedupWindow: rng.drawDuration(200*time.Millisecond, 900*time.Millisecond)},
			{name: "settle", idempotency: semanticsNotIdempotent, deadline: longest * 2 / 3},
		},
	}
	s.verifier = newSoakVerifier(t, s.classes, os.Getenv(soakStrictEnvVar) != "")
	s.discovery = newSoakDiscovery(s)
	if seed%2 == 0 {
		s.network = s.newFaultyNetwork()
		s.discovery.setNetwork(s.newFaultyDiscoveryNetwork())
		s.stallsAgent = true
	}
	s.listen = freeAddr(t, seed)
	return s
}

// addEndpoints starts the endpoints that a run starts with.
func (s *soak) addEndpoints() {
	for i := range soakEndpoints {
		s.addEndpoint(fmt.Sprint("s", i), 0)
	}
}

// freeAddr returns an address for the processes of the agent to listen on. Its host depends on the seed, so that runs
// with other seeds do not use the address.
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

// soakConfigFormat is the format of the agent's configuration. Its arguments are the address of the agent, the address
// of discovery, the limits of memory and descriptors, the cached endpoint list and the classes.
const soakConfigFormat = `{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"memory_mb":%d,"sockets":%d},
 "known":%s,"settings":{"Balancers":1,"Me":0,"TickMs":5,"MembershipMode":"automatic","Dcs":["a"],"Kinds":["m"],
 "Contract":{"ColdFrom":0.3,"RampTimeMs":4000,"FallMs":1500,"FallMultiple":3,"DrainGraceMs":2000,"GraceToAnswerMs":20},
 "PolicyLimits":{"ConnectTimeoutMs":150,"TryLimit":5,"IdleCloseMs":60000,"RetryAfter":true,"MaxRetryAfterMs":3000,
 "Cancel":true,"StreamsPerConn":1},"Profiles":[%s]}}`

// writeConfig writes the agent's configuration with the current address and endpoint list of discovery.
func (s *soak) writeConfig() {
	var profiles []string
	for _, c := range s.classes {
		profiles = append(profiles, fmt.Sprintf(
			`{"Name":%q,"AimMs":%d,"DeadlineMs":%d,"Worth":1,"Semantics":%q,"Group":%q,"WindowMs":%d}`,
			c.name, c.deadline.Milliseconds()/2, c.deadline.Milliseconds(),
			c.idempotency, c.dedupScope, c.dedupWindow.Milliseconds()))
	}
	memory, sockets := 192, 1024
	if s.hasCrowd() {
		memory, sockets = minMemoryMB, 160
	}
	s.file.write(s.t, fmt.Sprintf(soakConfigFormat, s.listen, s.discovery.currentAddr(), memory, sockets,
		s.discovery.completeList(), strings.Join(profiles, ",")))
}

// hasCrowd reports whether slots are short.
func (s *soak) hasCrowd() bool { return s.idleClients || s.crowd }

func (s *soak) setMayConnect(may bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayConnect = may
}

// setProcess sets the process that stallAgent stops.
func (s *soak) setProcess(process *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process = process
}

func (s *soak) clientsMayConnect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayConnect
}

// run runs the processes of the agent sequentially and then verifies all requests.
func (s *soak) run() {
	s.addEndpoints()
	var workers sync.WaitGroup
	for range soakClients {
		workers.Go(func() { newSoakClient(s).run() })
	}
	for range soakCutClients {
		workers.Go(func() {
			client := cutClient{newSoakClient(s)}
			client.runEach(client.sendCut)
		})
	}
	for range soakAheadClients {
		workers.Go(func() {
			client := aheadClient{newSoakClient(s)}
			client.runEach(client.sendPair)
		})
	}
	for range soakBurstClients {
		workers.Go(func() {
			client := burstClient{newSoakClient(s)}
			client.runEach(client.sendBurst)
		})
	}
	if s.idleClients {
		for range soakIdleClients {
			workers.Go(s.runIdleClient)
		}
	}
	if s.crowd {
		for range soakCrowdClients {
			workers.Go(func() { newCrowdClient(s).run() })
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

// runAgent runs a process of the agent from its start until its exit.
func (s *soak) runAgent(incarnation int) {
	s.writeConfig()
	s.discovery.recordRestart()
	process := startAgent(s.t, s.file)
	process.waitForAddr(s.t)
	logEnded := s.recordInternalErrors(process)
	s.setProcess(process.Process)
	s.setMayConnect(true)

	time.Sleep(s.rng.drawDuration(1200*time.Millisecond, 2*time.Second))
	for range s.rng.drawInt(4) {
		s.reload(process)
	}
	time.Sleep(s.rng.drawDuration(500*time.Millisecond, 2*time.Second))

	s.stopAgent(process)
	<-logEnded
	s.setProcess(nil)
	s.waitForExit(process, incarnation)
}

// recordInternalErrors records the internal errors in the agent's log in the background. The returned channel is closed
// at the end of the log.
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

// reload makes the agent reload its configuration, which may have another address of discovery. Sometimes the file is
// incomplete at a first signal.
func (s *soak) reload(process agentProcess) {
	if s.rng.drawBool(0.5) {
		s.discovery.switchAddr()
	}
	if s.rng.drawBool(0.3) {
		s.file.write(s.t, `{"name":"n1",`)
		_ = process.Process.Signal(syscall.SIGHUP) // fails if the process has exited
		time.Sleep(s.rng.drawDuration(0, 50*time.Millisecond))
	}
	s.writeConfig()
	_ = process.Process.Signal(syscall.SIGHUP)
	time.Sleep(s.rng.drawDuration(0, 100*time.Millisecond))
}

// stopAgent sends SIGTERM, and further signals with a probability of 0.5. In strict mode it kills the agent at the
// earliest time that the protocol allows.
func (s *soak) stopAgent(process agentProcess) {
	if !s.verifier.strict { // prevents connects while the listener is closed, even on a busy machine
		s.setMayConnect(false)
		time.Sleep(200 * time.Millisecond)
	}
	terminatedAt := time.Now()
	process.signal(s.t, syscall.SIGTERM)
	time.AfterFunc(acceptDuration, func() { s.setMayConnect(false) })
	if s.rng.drawBool(0.5) {
		time.Sleep(s.rng.drawDuration(0, 200*time.Millisecond))
		_ = process.Process.Signal(syscall.SIGTERM) // fails if the process has exited
		s.reload(process)
	}
	if s.verifier.strict {
		time.Sleep(time.Until(terminatedAt.Add(s.longestDeadline() + killDelay)))
		s.verifier.recordKill(time.Now())
		_ = process.Process.Kill() // fails if the process has exited
	}
}

// longestDeadline returns the longest class deadline, limited to maxDeadline.
func (s *soak) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.classes {
		longest = max(longest, c.deadline)
	}
	return min(longest, maxDeadline)
}

// waitForExit waits until the agent's process exits. It must exit with status 0 or be killed.
func (s *soak) waitForExit(process agentProcess, incarnation int) {
	err := process.Wait()
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	killed := ok && status.Signaled()
	if err != nil && !killed {
		s.verifier.recordViolation(ruleCrash, fmt.Sprintf("incarnation %d: %v", incarnation, err))
	}
}

// runFaults injects faults at random intervals until the run is stopped.
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

// injectFault either stops the agent for a short time, or breaks all watches, or drains the oldest endpoint and adds
// one with newID, or makes an endpoint fail.
func (s *soak) injectFault(newID string) {
	if s.stallsAgent && s.rng.drawBool(0.3) {
		s.stallAgent()
		return
	}
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

// addEndpoint starts an endpoint and publishes it as serving.
func (s *soak) addEndpoint(id string, startedMs int64) {
	e := newSoakEndpoint(s, id, len(s.endpoints)%2)
	s.endpoints = append(s.endpoints, e)
	s.discovery.publish(soakEntry{
		ID:        id,
		Addr:      s.network.connect(s.t, e.server.Addr()),
		Zone:      "a",
		Kind:      "m",
		Cell:      e.cell,
		State:     "SERVING",
		Weight:    1,
		StartedMs: startedMs,
	})
}
