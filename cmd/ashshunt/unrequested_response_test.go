package main

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

const (
	// unrequestedRequestsEnvVar is the environment variable with the number of requests of each run of
	// TestUnrequestedResponses and the tests like it. The default is for CI.
	unrequestedRequestsEnvVar = "ASHSHUNT_UNREQUESTED_REQUESTS"
	defaultRequestsPerRun     = 800
	// unrequestedSeedEnvVar is the environment variable with the seed of these runs. The default is 1.
	unrequestedSeedEnvVar = "ASHSHUNT_UNREQUESTED_SEED"
)

const (
	// unrequestedClients is the number of clients of a run.
	unrequestedClients = 24
	// unrequestedProbability is the probability that a response is followed by a second one.
	unrequestedProbability = 0.1
	// unrequestedMaxOverrun is how much later than its time a second response may be sent. A proxy on a busy machine
	// drops those that it would send later.
	unrequestedMaxOverrun = 20 * time.Millisecond
)

// Responses that belong to no request, as sent by endpoints or by what stands between.
const (
	unrequestedOK       = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	unrequestedRejected = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
)

// A second response that arrives up to 60 ms after the first must never count as the response to the next request on
// its connection: served to another client, or as proof that an attempt has not run.
func TestUnrequestedResponses(t *testing.T) {
	run := newUnrequestedRun(t)
	run.network.faults.OnResponse = run.secondResponse(func() time.Duration {
		return run.rng.drawDuration(0, 60*time.Millisecond)
	})
	run.runRequests(requestsPerRun(t))
	run.verifier.verify()
}

// A client must not be served a part of its response, or the response to another request in the same write.
func TestPartsOfResponsesAreNotServed(t *testing.T) {
	run := newUnrequestedRun(t)
	faults := []responseFault{lengthTooSmall, endedTooEarly, anotherResponseBefore}
	run.network.faults.OnResponse = run.withProbability(unrequestedProbability,
		func(s *soak, response []byte) []testutil.Segment {
			return faults[s.rng.drawInt(len(faults))](s, response)
		})
	run.runRequests(requestsPerRun(t))
	run.verifier.verify()
}

// A client must not be served a part of its response, if the rest comes up to 5 ms later.
func TestPartsOfResponsesWithLateRestAreNotServed(t *testing.T) {
	run := newUnrequestedRun(t)
	run.network.faults.OnResponse = run.responsesWithLateRest(func() time.Duration {
		return run.rng.drawDuration(0, 5*time.Millisecond)
	})
	run.runRequests(requestsPerRun(t))
	run.verifier.verify()
}

// responsesWithLateRest returns the function OnResponse of a network in which some lengths are too small, and the rest
// of the body comes later. drawDelay draws the time between the two.
func (s *soak) responsesWithLateRest(drawDelay func() time.Duration) func([]byte) []testutil.Segment {
	return s.withProbability(unrequestedProbability, func(s *soak, response []byte) []testutil.Segment {
		return s.restLater(response, drawDelay())
	})
}

// A response that nobody asked for on a new connection, after the agent has sent its request there, must never count as
// the response to it.
func TestUnrequestedResponsesOnNewConnections(t *testing.T) {
	run := newUnrequestedRun(t)
	run.network.faults.OnConnect = run.unaskedResponse
	run.runRequests(requestsPerRun(t))
	run.verifier.verify()
}

// unaskedResponse is the function OnConnect of a network that sometimes sends a response 3 ms after the accept.
func (s *soak) unaskedResponse() []testutil.Segment {
	if s.rng.drawBool(unrequestedProbability) {
		return []testutil.Segment{s.drawUnrequested(3 * time.Millisecond)}
	}
	return nil
}

// newUnrequestedRun returns a run with endpoints that are 10 ms away and take 30 to 90 ms.
func newUnrequestedRun(t *testing.T) *soak {
	t.Helper()
	run := newSoak(t, intFromEnv(t, unrequestedSeedEnvVar, 1))
	run.minServiceTime, run.maxServiceTime = 30*time.Millisecond, 90*time.Millisecond
	run.network.latency = 10 * time.Millisecond
	run.classes = []soakClass{
		{name: "look", idempotency: semanticsIdempotent, deadline: 2 * time.Second},
		{name: "hold", idempotency: semanticsIdempotentWithKey, dedupScope: dedupInCell, deadline: 2 * time.Second,
			dedupWindow: time.Second},
		{name: "settle", idempotency: semanticsNotIdempotent, deadline: 2 * time.Second},
	}
	run.verifier = newSoakVerifier(t, run.classes, os.Getenv(soakStrictEnvVar) != "")
	return run
}

// secondResponse returns the function OnResponse of a network that sometimes sends a second response. drawDelay draws
// the time between the two.
func (s *soak) secondResponse(drawDelay func() time.Duration) func([]byte) []testutil.Segment {
	return s.withProbability(unrequestedProbability, func(s *soak, response []byte) []testutil.Segment {
		return []testutil.Segment{{Data: response}, s.drawUnrequested(drawDelay())}
	})
}

// drawUnrequested draws a response that belongs to no request.
func (s *soak) drawUnrequested(delay time.Duration) testutil.Segment {
	text := unrequestedOK
	if s.rng.drawBool(0.5) {
		text = unrequestedRejected
	}
	return testutil.Segment{Delay: delay, MaxDelay: delay + unrequestedMaxOverrun, Data: []byte(text)}
}

// runRequests runs one process of the agent without further faults until it has had a number of requests.
func (s *soak) runRequests(requests int) {
	s.addEndpoints()
	var workers sync.WaitGroup
	for range unrequestedClients {
		workers.Go(func() { newSoakClient(s).run() })
	}
	s.writeConfig()
	process := startAgent(s.t, s.file)
	process.waitForAddr(s.t)
	logEnded := s.recordInternalErrors(process)
	s.setMayConnect(true)
	for end := time.Now().Add(time.Duration(requests) * maxTimePerRequest); s.verifier.requestCount() < requests; {
		if time.Now().After(end) {
			s.t.Errorf("got %d requests within the time of the run, want %d", s.verifier.requestCount(), requests)
			break
		}
		time.Sleep(runPollInterval)
	}
	s.setMayConnect(false)
	close(s.stopped)
	workers.Wait()
	process.signal(s.t, syscall.SIGTERM)
	<-logEnded
	s.waitForExit(process, 0)
}

const (
	// maxTimePerRequest bounds the time of a run.
	maxTimePerRequest = 50 * time.Millisecond
	runPollInterval   = 20 * time.Millisecond
)

// requestsPerRun returns the number of requests of a run.
func requestsPerRun(t *testing.T) int {
	t.Helper()
	return intFromEnv(t, unrequestedRequestsEnvVar, defaultRequestsPerRun)
}

// intFromEnv returns the value of an environment variable, or a default if it is not set.
func intFromEnv(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("parse %s: %v", name, err)
	}
	return value
}

// TestUnrequestedResponseRates reports how often the rules are broken for responses that come too late, or too early,
// to be told from the response to the next request. It runs only with the environment variable of the number of
// requests, since there is no bound that each run keeps.
func TestUnrequestedResponseRates(t *testing.T) {
	if os.Getenv(unrequestedRequestsEnvVar) == "" {
		t.Skip("set " + unrequestedRequestsEnvVar + " to measure")
	}
	t.Run("none", func(t *testing.T) {
		run := newUnrequestedRun(t)
		run.runRequests(requestsPerRun(t))
		run.verifier.logViolations()
	})
	t.Run("uniform up to 60 ms", func(t *testing.T) {
		run := newUnrequestedRun(t)
		run.network.faults.OnResponse = run.secondResponse(func() time.Duration {
			return run.rng.drawDuration(0, 60*time.Millisecond)
		})
		run.runRequests(requestsPerRun(t))
		run.verifier.logViolations()
	})
	for _, mean := range []time.Duration{2, 15, 60, 250} {
		t.Run(fmt.Sprintf("exponential with a mean of %d ms", mean), func(t *testing.T) {
			run := newUnrequestedRun(t)
			run.network.faults.OnResponse = run.secondResponse(func() time.Duration {
				return time.Duration(-math.Log(1-run.rng.drawFloat()) * float64(mean*time.Millisecond))
			})
			run.runRequests(requestsPerRun(t))
			run.verifier.logViolations()
		})
	}
	for _, delay := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 2 * time.Millisecond} {
		t.Run(fmt.Sprintf("rest of a cut response %v later", delay), func(t *testing.T) {
			run := newUnrequestedRun(t)
			run.network.faults.OnResponse = run.responsesWithLateRest(func() time.Duration { return delay })
			run.runRequests(requestsPerRun(t))
			run.verifier.logViolations()
		})
	}
	t.Run("3 ms after the accept", func(t *testing.T) {
		run := newUnrequestedRun(t)
		run.network.faults.OnConnect = run.unaskedResponse
		run.runRequests(requestsPerRun(t))
		run.verifier.logViolations()
	})
}
