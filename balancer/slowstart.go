package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxWarmingLatencies is the heaviest request that an endpoint gets while it warms up, in mean latencies.
	maxWarmingLatencies = 2.0
	// lapsesPerWindow divides an overload window into the times for which a permit may be used.
	lapsesPerWindow = 2
	// permitsPerWindow is how many windows' permits can be used within one window, since permits lapse late.
	permitsPerWindow = 1 + 1.0/lapsesPerWindow
	// firstLimitShare is the share of the least concurrency limit that endpoints get while none is warm.
	firstLimitShare = 0.5
	// minPermitRate keeps the mean time between permits finite.
	minPermitRate = 1e-9
)

// warmUp is the state of an endpoint that may have started a short while ago. Only slowStart changes it.
type warmUp struct {
	active       bool          // until advanceWarmUp finds it over
	startedAt    time.Duration // when its latest start became known
	nextPermitAt time.Duration // when it may get its next request
}

// permits reports whether there is a permit now, and the request is light enough for it.
func (w *warmUp) permits(r *request, now time.Duration) bool {
	isLight := r.expectedLatencyNs() <= maxWarmingLatencies*r.class.meanLatencyNs
	return w.nextPermitAt <= now && isLight
}

// slowStart bounds what the fleet of agents as a whole sends to an endpoint that warms up. Agents share
// nothing: each sends at random times, at the rate of its own traffic to warm endpoints times the warm-up
// fraction. An attempt needs a permit, and permits that are not used lapse, so that agents which each send
// little cannot save them up and use them together.
type slowStart struct {
	rng         *rand.Rand
	minCapacity float64
	duration    time.Duration
	overload    float64       // multiple of its capacity that overloads an endpoint; at least 1
	window      time.Duration // the span over which it does; 0: endpoints cannot be overloaded
	agents      float64

	warmWorkNs float64 // decayed sum of the expected latencies that a warm endpoint served for this agent
	decayedAt  time.Duration
}

func newSlowStart(settings *Settings, rng *rand.Rand) slowStart {
	return slowStart{
		rng:         rng,
		minCapacity: settings.SlowStartMinCapacity,
		duration:    settings.SlowStartDuration,
		overload:    max(1, settings.SlowStartOverloadMultiple),
		window:      settings.SlowStartOverloadWindow,
		agents:      float64(settings.Agents),
	}
}

// start begins the warm-up of an endpoint that started at the time at.
func (s *slowStart) start(ep *endpoint, at, now time.Duration, meanLatencyNs float64, fleet fleetSummary) {
	ep.warmUp.startedAt, ep.warmUp.active = at, true
	s.scheduleNextPermit(ep, now, meanLatencyNs, fleet)
}

// advanceWarmUp ends a warm-up that is over. It returns the warm-up fraction: the share of its full capacity
// that an endpoint certainly has by now.
func (s *slowStart) advanceWarmUp(ep *endpoint, now time.Duration) (fraction float64) {
	age := now - ep.warmUp.startedAt
	if !ep.warmUp.active || age >= s.duration {
		ep.warmUp.active = false
		return 1
	}
	elapsed := float64(age) / float64(s.duration)
	return s.minCapacity + (1-s.minCapacity)*elapsed
}

// permitLapse is how long a permit may be used.
func (s *slowStart) permitLapse() time.Duration { return s.window / lapsesPerWindow }

// needsPermit reports whether an endpoint warms up and can be overloaded, so that each attempt needs a
// permit.
func (s *slowStart) needsPermit(ep *endpoint, now time.Duration) bool {
	return s.advanceWarmUp(ep, now) < 1 && s.permitLapse() > 0
}

// renewLapsedPermit draws a new permit for an endpoint that needs one, if the last one was not used in time.
// The new one may be usable at once: its time is drawn from the begin of the span in which a permit can still
// be used.
func (s *slowStart) renewLapsedPermit(
	ep *endpoint, now time.Duration, meanLatencyNs float64, fleet fleetSummary,
) {
	if ep.warmUp.nextPermitAt+s.permitLapse() > now {
		return
	}
	s.scheduleNextPermit(ep, now, meanLatencyNs, fleet)
	ep.warmUp.nextPermitAt -= s.permitLapse()
}

// scheduleNextPermit draws when an endpoint that gets some work now may get the next. Permits come at random
// times, at the rate of a warm endpoint, times the warm-up fraction, times the root of the overload multiple
// (or the multiple over permitsPerWindow, if that is less).
func (s *slowStart) scheduleNextPermit(ep *endpoint, now time.Duration, workNs float64, fleet fleetSummary) {
	// Work per time that this agent gives a warm endpoint: its mean number of attempts in flight there.
	utilization := max(s.decayWarmWork(now, fleet)/s.windowNs(), minPermitRate)
	if fleet.warm == 0 { // no traffic to go by
		utilization = max(utilization, minLimitPerEndpoint*firstLimitShare/s.agents)
	}
	share := s.advanceWarmUp(ep, now) * min(math.Sqrt(s.overload), s.overload/permitsPerWindow)
	delayNs := s.rng.ExpFloat64() * workNs / (share * utilization)
	// By the end of the slow start the endpoint is warm.
	ep.warmUp.nextPermitAt = now + time.Duration(min(delayNs, float64(s.duration)))
}

// observeServed learns how much work a warm endpoint does for this agent.
func (s *slowStart) observeServed(now time.Duration, workNs float64, fleet fleetSummary) {
	s.warmWorkNs = s.decayWarmWork(now, fleet) + workNs/float64(max(fleet.warm, 1))
}

// decayWarmWork brings the recent work up to the time now. It stays while no endpoint is warm.
func (s *slowStart) decayWarmWork(now time.Duration, fleet fleetSummary) float64 {
	if fleet.warm > 0 {
		s.warmWorkNs *= math.Exp(-float64(now-s.decayedAt) / s.windowNs())
	}
	s.decayedAt = now
	return s.warmWorkNs
}

// windowNs is the window as a divisor, which is not 0.
func (s *slowStart) windowNs() float64 { return float64(s.window + 1) }

// onEndpointStarted applies that an endpoint's process started at the time at: it has no connections and no
// statistics yet, and its slow start begins.
func (b *Balancer) onEndpointStarted(ep *endpoint, at time.Duration) {
	b.endpoints.markObserved(ep)
	ep.connection.markDisconnected()
	ep.responses.observeStart()
	b.slowStart.start(ep, at, b.now, b.classes.reference().meanLatencyNs, b.fleet)
}
