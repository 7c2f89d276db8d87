package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxWarmUpRequestLatencies is the maximum expected latency of a request that an endpoint may get while
	// it warms up, in mean latencies of the request's class.
	maxWarmUpRequestLatencies = 2.0
	// permitLifetimesPerWindow is the number of permit lifetimes in an overload window.
	permitLifetimesPerWindow = 2
	// permitCarryOverFactor is the ratio of the permits that can be used within an overload window to those
	// issued in it. It exceeds 1 because permits issued up to one lifetime earlier can still be used.
	permitCarryOverFactor = 1 + 1.0/permitLifetimesPerWindow
	// coldFleetLimitShare is a share of minLimitPerEndpoint. While no endpoint is warm, slow start assumes
	// that all agents together have at least this number of attempts in flight at a warm endpoint.
	coldFleetLimitShare = 0.5
	// minUtilization keeps the mean time between permits finite.
	minUtilization = 1e-9
)

// warmUp is the warm-up state of an endpoint. Only slowStart changes it.
type warmUp struct {
	isActive     bool          // the endpoint warms up; cleared by updateWarmUp after the warm-up
	startedAt    time.Duration // latest known start of the endpoint's process
	nextPermitAt time.Duration // time from which on the endpoint may get its next request
}

// allows reports whether a permit is available now and the request is light enough for the endpoint. The
// caller must have called renewExpiredPermit, since allows does not check whether the permit has expired.
func (w *warmUp) allows(r *request, now time.Duration) bool {
	isLight := r.expectedLatencyNs() <= maxWarmUpRequestLatencies*r.class.meanLatencyNs
	return w.nextPermitAt <= now && isLight
}

// slowStart limits the load that the fleet of agents as a whole sends to an endpoint that warms up. Agents
// share no state: each agent sends at random times, at a rate in proportion to its own traffic to a warm
// endpoint and to the warm-up fraction (see scheduleNextPermit). Each attempt needs a permit. Unused permits
// expire, so that agents with little traffic cannot accumulate permits and use them at the same time.
type slowStart struct {
	rng              *rand.Rand
	minCapacity      float64
	duration         time.Duration
	overloadMultiple float64       // multiple of its capacity that overloads an endpoint; at least 1
	overloadWindow   time.Duration // time over which that load counts; 0: endpoints cannot be overloaded
	agents           float64

	// workPerWarmEndpointNs is the decayed work that warm endpoints have served for this agent, divided by
	// their number. The work of an attempt is its expected latency.
	workPerWarmEndpointNs float64
	decayedAt             time.Duration // time up to which workPerWarmEndpointNs is decayed
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

// start starts the warm-up of an endpoint whose process started at startedAt.
func (s *slowStart) start(
	ep *endpoint, startedAt, now time.Duration, meanLatencyNs float64, fleet fleetSummary,
) {
	ep.warmUp.startedAt, ep.warmUp.isActive = startedAt, true
	s.scheduleNextPermit(ep, now, meanLatencyNs, fleet)
}

// updateWarmUp ends the warm-up of an endpoint after its duration. It returns the warm-up fraction: the
// minimum share of its full capacity that the endpoint has now.
func (s *slowStart) updateWarmUp(ep *endpoint, now time.Duration) (fraction float64) {
	age := now - ep.warmUp.startedAt
	if !ep.warmUp.isActive || age >= s.duration {
		ep.warmUp.isActive = false
		return 1
	}
	elapsed := float64(age) / float64(s.duration)
	return s.minCapacity + (1-s.minCapacity)*elapsed
}

// permitLifetime returns the time for which a permit can be used.
func (s *slowStart) permitLifetime() time.Duration {
	return s.overloadWindow / permitLifetimesPerWindow
}

// needsPermit reports whether an endpoint warms up and can be overloaded, so that each attempt needs a
// permit.
func (s *slowStart) needsPermit(ep *endpoint, now time.Duration) bool {
	return s.updateWarmUp(ep, now) < 1 && s.permitLifetime() > 0
}

// renewExpiredPermit draws a new permit for an endpoint that needs one, if the latest permit has expired. The
// interval to the new permit starts one permit lifetime ago, so that the new permit may be usable at once.
func (s *slowStart) renewExpiredPermit(
	ep *endpoint, now time.Duration, meanLatencyNs float64, fleet fleetSummary,
) {
	if ep.warmUp.nextPermitAt+s.permitLifetime() > now {
		return
	}
	s.scheduleNextPermit(ep, now, meanLatencyNs, fleet)
	ep.warmUp.nextPermitAt -= s.permitLifetime()
}

// scheduleNextPermit draws the time of the next permit of an endpoint. The interval until then is
// exponentially distributed. Its mean is the time in which the endpoint may get workNs of work: that of the
// attempt being sent or, if there is none, the mean latency of a class. The endpoint may get work at the rate
// of a warm endpoint, times the warm-up fraction, times the square root of the overload multiple (or the
// overload multiple over permitCarryOverFactor, if that is less).
func (s *slowStart) scheduleNextPermit(ep *endpoint, now time.Duration, workNs float64, fleet fleetSummary) {
	// Work per time that this agent sends to a warm endpoint: its mean number of attempts in flight there.
	utilization := max(s.decayWorkPerWarmEndpoint(now, fleet)/s.positiveWindowNs(), minUtilization)
	if fleet.warm == 0 { // there may be no traffic to derive the rate from
		utilization = max(utilization, minLimitPerEndpoint*coldFleetLimitShare/s.agents)
	}
	rateFactor := s.updateWarmUp(ep, now) *
		min(math.Sqrt(s.overloadMultiple), s.overloadMultiple/permitCarryOverFactor)
	delayNs := s.rng.ExpFloat64() * workNs / (rateFactor * utilization)
	// The delay is at most the duration of the slow start, after which the endpoint needs no permit.
	ep.warmUp.nextPermitAt = now + time.Duration(min(delayNs, float64(s.duration)))
}

// recordServed records the work of an attempt that a warm endpoint has served for this agent. The work is
// spread over all warm endpoints.
func (s *slowStart) recordServed(now time.Duration, workNs float64, fleet fleetSummary) {
	s.workPerWarmEndpointNs = s.decayWorkPerWarmEndpoint(now, fleet) + workNs/float64(max(fleet.warm, 1))
}

// decayWorkPerWarmEndpoint applies the exponential decay to workPerWarmEndpointNs up to now and returns it.
// While no endpoint is warm, there is no decay.
func (s *slowStart) decayWorkPerWarmEndpoint(now time.Duration, fleet fleetSummary) float64 {
	if fleet.warm > 0 {
		s.workPerWarmEndpointNs *= math.Exp(-float64(now-s.decayedAt) / s.positiveWindowNs())
	}
	s.decayedAt = now
	return s.workPerWarmEndpointNs
}

// positiveWindowNs returns the overload window plus 1 ns, which makes it usable as a divisor if the window is
// 0.
func (s *slowStart) positiveWindowNs() float64 { return float64(s.overloadWindow + 1) }

// handleEndpointStarted handles the start of an endpoint's process at startedAt: the new process has no
// connections and no statistics, and it starts to warm up.
func (b *Balancer) handleEndpointStarted(ep *endpoint, startedAt time.Duration) {
	b.endpoints.markObserved(ep)
	ep.connection.markDisconnected()
	ep.responses.resetOnRestart()
	b.slowStart.start(ep, startedAt, b.now, b.classes.reference().meanLatencyNs, b.fleet)
}
