package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxWarmUpRequestLatencies is the heaviest request that an endpoint gets while it warms up, in mean latencies.
	maxWarmUpRequestLatencies = 2.0
	// permitLifetimesPerWindow divides an overload window into the times for which a permit may be used.
	permitLifetimesPerWindow = 2
	// permitCarryOverFactor is how many windows' permits can be used within one window, since permits lapse late.
	permitCarryOverFactor = 1 + 1.0/permitLifetimesPerWindow
	// coldFleetLimitShare is the share of the least concurrency limit that endpoints get while none is warm.
	coldFleetLimitShare = 0.5
	// minUtilization keeps the mean time between permits finite.
	minUtilization = 1e-9
)

// warmUp is the state of an endpoint that may have started a short while ago. Only slowStart changes it.
type warmUp struct {
	isActive     bool          // until advanceWarmUp finds it over
	startedAt    time.Duration // when its latest start became known
	nextPermitAt time.Duration // when it may get its next request
}

// allows reports whether there is a permit now, and the request is light enough for it.
func (w *warmUp) allows(r *request, now time.Duration) bool {
	isLight := r.expectedLatencyNs() <= maxWarmUpRequestLatencies*r.class.meanLatencyNs
	return w.nextPermitAt <= now && isLight
}

// slowStart bounds what the fleet of agents as a whole sends to an endpoint that warms up. Agents share
// nothing: each sends at random times, at the rate of its own traffic to warm endpoints times the warm-up
// fraction. An attempt needs a permit, and permits that are not used lapse, so that agents which each send
// little cannot save them up and use them together.
type slowStart struct {
	rng              *rand.Rand
	minCapacity      float64
	duration         time.Duration
	overloadMultiple float64       // multiple of its capacity that overloads an endpoint; at least 1
	overloadWindow   time.Duration // the span over which it does; 0: endpoints cannot be overloaded
	agents           float64

	warmWorkNs float64 // decayed sum of the expected latencies that a warm endpoint served for this agent
	decayedAt  time.Duration
}

func newSlowStart(settings *Settings, rng *rand.Rand) slowStart {
	return slowStart{
		rng:              rng,
		minCapacity:      settings.SlowStartMinCapacity,
		duration:         settings.SlowStartDuration,
		overloadMultiple: max(1, settings.SlowStartOverloadMultiple),
		overloadWindow:   settings.SlowStartOverloadWindow,
		agents:           float64(settings.Agents),
	}
}

// start begins the warm-up of an endpoint that started at the time at.
func (s *slowStart) start(ep *endpoint, at, now time.Duration, meanLatencyNs float64, fleet fleetSummary) {
	ep.warmUp.startedAt, ep.warmUp.isActive = at, true
	s.scheduleNextPermit(ep, now, meanLatencyNs, fleet)
}

// updateWarmUp ends a warm-up that is over. It returns the warm-up fraction: the share of its full capacity
// that an endpoint certainly has by now.
func (s *slowStart) updateWarmUp(ep *endpoint, now time.Duration) (fraction float64) {
	age := now - ep.warmUp.startedAt
	if !ep.warmUp.isActive || age >= s.duration {
		ep.warmUp.isActive = false
		return 1
	}
	elapsed := float64(age) / float64(s.duration)
	return s.minCapacity + (1-s.minCapacity)*elapsed
}

// permitLifetime is how long a permit may be used.
func (s *slowStart) permitLifetime() time.Duration {
	return s.overloadWindow / permitLifetimesPerWindow
}

// needsPermit reports whether an endpoint warms up and can be overloaded, so that each attempt needs a
// permit.
func (s *slowStart) needsPermit(ep *endpoint, now time.Duration) bool {
	return s.updateWarmUp(ep, now) < 1 && s.permitLifetime() > 0
}

// renewExpiredPermit draws a new permit for an endpoint that needs one, if the last one was not used in time.
// The new one may be usable at once: its time is drawn from the begin of the span in which a permit can still
// be used.
func (s *slowStart) renewExpiredPermit(
	ep *endpoint, now time.Duration, meanLatencyNs float64, fleet fleetSummary,
) {
	if ep.warmUp.nextPermitAt+s.permitLifetime() > now {
		return
	}
	s.scheduleNextPermit(ep, now, meanLatencyNs, fleet)
	ep.warmUp.nextPermitAt -= s.permitLifetime()
}

// scheduleNextPermit draws when an endpoint that gets some work now may get the next. Permits come at random
// times, at the rate of a warm endpoint, times the warm-up fraction, times the root of the overload multiple
// (or the multiple over permitsPerWindow, if that is less).
func (s *slowStart) scheduleNextPermit(ep *endpoint, now time.Duration, workNs float64, fleet fleetSummary) {
	// Work per time that this agent gives a warm endpoint: its mean number of attempts in flight there.
	utilization := max(s.decayWarmWork(now, fleet)/s.positiveWindowNs(), minUtilization)
	if fleet.warm == 0 { // no traffic to go by
		utilization = max(utilization, minLimitPerEndpoint*coldFleetLimitShare/s.agents)
	}
	rateFactor := s.updateWarmUp(ep, now) * min(math.Sqrt(s.overloadMultiple), s.overloadMultiple/permitCarryOverFactor)
	delayNs := s.rng.ExpFloat64() * workNs / (rateFactor * utilization)
	// By the end of the slow start the endpoint is warm.
	ep.warmUp.nextPermitAt = now + time.Duration(min(delayNs, float64(s.duration)))
}

// recordServed learns how much work a warm endpoint does for this agent.
func (s *slowStart) recordServed(now time.Duration, workNs float64, fleet fleetSummary) {
	s.warmWorkNs = s.decayWarmWork(now, fleet) + workNs/float64(max(fleet.warm, 1))
}

// decayWarmWork brings the recent work up to the time now. It stays while no endpoint is warm.
func (s *slowStart) decayWarmWork(now time.Duration, fleet fleetSummary) float64 {
	if fleet.warm > 0 {
		s.warmWorkNs *= math.Exp(-float64(now-s.decayedAt) / s.positiveWindowNs())
	}
	s.decayedAt = now
	return s.warmWorkNs
}

// positiveWindowNs is the window as a divisor, which is not 0.
func (s *slowStart) positiveWindowNs() float64 { return float64(s.overloadWindow + 1) }

// handleEndpointStarted applies that an endpoint's process started at the time at: it has no connections and no
// statistics yet, and its slow start begins.
func (b *Balancer) handleEndpointStarted(ep *endpoint, at time.Duration) {
	b.endpoints.markObserved(ep)
	ep.connection.markDisconnected()
	ep.responses.resetOnRestart()
	b.slowStart.start(ep, at, b.now, b.classes.reference().meanLatencyNs, b.fleet)
}
