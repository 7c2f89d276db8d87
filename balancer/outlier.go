package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	unresponsiveShare   = 0.35 // of the aim: no answer from a backend for so long, and it is taken for silent
	unresponsiveMeans   = 6.0  // and at least so many mean latencies, which are long when all is crowded
	chanceOfRun         = 1e-3 // a run of failures less likely than this is no chance
	maxEjectedShare     = 0.2  // of the backends may be left out for errors at a time
	maxFailureThreshold = 6    // and the longest that is waited for
	// strikes that a served attempt takes back: one error in five keeps them growing
	ejectionRecovery  = 0.25
	slownessPrior     = 2.0 // responses that the mean counts for in a new endpoint's slowness
	maxSlownessSample = 8.0 // the most that one response can say of an endpoint's slowness
	classEjectionTime = 8.0 // aims for which a silent backend is first left out for a class
	maxEjectionLevel  = 5.0 // longest ejection is 2^(cap-1) times the first
)

// shun is how long a backend gets nothing of one class.
type classEjection struct {
	until               time.Duration
	consecutiveTimeouts float64 // in a row
}

// observe learns from the outcome of an attempt.
func (b *Balancer) observeOutcome(r *request, a *attempt, e Outcome) {
	ep, c, lat := a.endpoint, r.class, float64(e.Latency)
	// The time-outs of a client that waits only a moment say nothing of the endpoint.
	hasty := r.deadline-a.sentAt < time.Duration(unresponsiveShare*float64(min(c.Objective, c.Deadline)))
	if hasty && e.Result == TimedOut {
		return
	}
	// An endpoint that rejects requests or does not respond leaves the subset, though still connected.
	good := 0.0
	if e.Result == Served && b.now <= r.objectiveAt {
		good = 1
	}
	if a.newConnection {
		c.newOnTime += smoothing * (good - c.newOnTime)
	} else {
		c.connectedOnTime += smoothing * (good - c.connectedOnTime)
		// forgets, since few fresh ones are tried meanwhile
		c.newOnTime += smoothing / 10 * (good - c.newOnTime)
	}
	if e.Result == Served || e.Result == ServerError {
		ep.latestAnsweredSend = max(ep.latestAnsweredSend, a.sentAt)
	}
	if ep.connected, ep.connectionUsedAt = e.Result == Served || e.Result == ServerError, b.now; !ep.connected {
		ep.preference, ep.slowness, ep.slownessSamples = ep.preference+b.rng.ExpFloat64(), max(ep.slowness, 1), 0
	}
	switch e.Result {
	case Served:
		// It was restarted before the list said so: treat it as just started.
		if ep.unreachable && ep.startedAt < a.sentAt && ep.firstFailureAt < a.sentAt {
			b.startWarmUp(ep, b.now)
		}
		ep.unreachable, ep.consecutiveFailures = false, 0
		b.failureRate -= smoothing / 10 * b.failureRate
		// each counts for its part of those that are warm now, many of which may be gone soon
		if !ep.warmingUp {
			b.warmWork = b.decayWarmWork() + a.expectedLatency/float64(max(b.fleet.warm, 1))
		}
		ep.ejectionLevel = max(0, ep.ejectionLevel-ejectionRecovery)
		ep.classEjections[r.class.index] = classEjection{}
		ep.lastServedAt = b.now
		ep.hasServed = true
		if hasty {
			break
		}
		c.latencyAt = b.now
		ep.observeSlowness(lat / a.expectedLatency)
		if r.work > 0 && c.meanWork > 0 {
			lat *= c.meanWork / r.work
		}
		b.latencyDeviation = movingAverage(b.latencyDeviation, math.Abs(lat/c.meanLatency-1))
		c.meanLatency = movingAverage(c.meanLatency, max(lat, 1))
		b.adjustLimit(float64(e.Latency) / float64(c.Objective))
	case Rejected:
		ep.rejectingUntil = b.now + time.Duration(b.rng.Float64()*c.meanLatency)
		b.adjustLimit(1)
	case TimedOut:
		b.ejectForClass(ep, r.class)
		if ep.lastServedAt < a.sentAt { // nothing came back since: more than a slow request, and no queue
			b.eject(ep, a, c)
		} else {
			b.adjustLimit(max(1, lat/float64(c.Objective)))
			ep.observeSlowness(lat / a.expectedLatency) // at least so slow
		}
	case ServerError, Reset, ConnectFailed:
		if ep.consecutiveFailures == 0 {
			ep.firstFailureAt = b.now
		}
		ep.consecutiveFailures++
		n := b.failureThreshold(e.Result)
		if b.isAlive(ep, e) {
			n = maxFailureThreshold
			if e.Result == ConnectFailed { // it takes no new connection now, which is what Full says
				ep.rejectingUntil = b.now + time.Duration(b.rng.Float64()*c.meanLatency)
			}
		}
		if ep.consecutiveFailures >= n && (e.Result == ConnectFailed || b.mayEject()) {
			ep.unreachable = ep.unreachable || e.Result != ServerError
			b.eject(ep, a, c)
		}
		// only the first of a run: a backend that is dead says nothing of the others
		if ep.consecutiveFailures == 1 {
			b.failureRate += smoothing / 10 * (1 - b.failureRate)
		}
	}
}

// isAlive reports whether an endpoint is alive although a connection to it failed: a process that dies takes
// all its connections along, and attempts sent before the first failure are still open.
func (b *Balancer) isAlive(ep *endpoint, e Outcome) bool {
	mute := e.Result == ConnectFailed && e.Latency > b.settings.ConnectTimeout/2
	return e.Result != ServerError && !mute && len(ep.inFlight) > 0 && ep.inFlight[0].sentAt < ep.firstFailureAt
}

// mayEject reports whether one more endpoint may be ejected for errors.
func (b *Balancer) mayEject() bool {
	out := 0.0
	for _, ep := range b.endpoints {
		if ep.State == Serving && b.now < ep.ejectedUntil {
			out++
		}
	}
	return out+1 <= max(1, maxEjectedShare*float64(b.fleet.serving))
}

// inARow is how many consecutive failures say that an endpoint is at fault and not the fleet: so many that
// chance alone hardly makes them at the present rate of failures.
func (b *Balancer) failureThreshold(res Result) int {
	least, chance := 2.0, chanceOfRun
	if res == ConnectFailed { // such a one has not run, and says more
		least, chance = 1, chanceOfRun*50
	}
	n := math.Ceil(math.Log(chance) / math.Log(min(max(b.failureRate, 1e-6), 0.3)))
	return int(min(max(least, n), maxFailureThreshold))
}

// eject ejects an endpoint for a time that doubles with each further ejection. Attempts sent before the
// last ejection count no more.
func (b *Balancer) eject(ep *endpoint, a *attempt, c *classState) {
	if a.sentAt < ep.ejectedAt {
		return
	}
	ep.ejectionLevel = min(ep.ejectionLevel+1, maxEjectionLevel)
	ep.ejectedAt = b.now
	ep.ejectedUntil = b.now + time.Duration(math.Exp2(ep.ejectionLevel-1)*(0.75+0.5*b.rng.Float64())*float64(
		c.Objective))
}

// ejectForClass ejects an endpoint for one class, for a time that doubles with each further time-out of it,
// if that class fares clearly worse than another one.
func (b *Balancer) ejectForClass(ep *endpoint, class *classState) {
	best := 0.0
	for i := range b.classes {
		best = max(best, b.classes[i].onTimeShare())
	}
	if class.onTimeShare() > best-significantGap {
		return
	}
	s := &ep.classEjections[class.index]
	s.consecutiveTimeouts = min(s.consecutiveTimeouts+1, maxEjectionLevel)
	s.until = b.now + time.Duration(classEjectionTime*math.Exp2(s.consecutiveTimeouts-1)*float64(
		class.Objective))
}

// isUnresponsive reports whether an endpoint has answered nothing since its oldest open attempt was sent, for
// longer than a queue within the objectives would explain.
func (b *Balancer) isUnresponsive(ep *endpoint) bool {
	return len(ep.inFlight) > 0 && ep.lastServedAt < ep.inFlight[0].sentAt &&
		b.now-ep.inFlight[0].sentAt > ep.inFlight[0].unresponsiveAfter
}

// isHealthy reports whether an endpoint may get r as ordinary traffic. After an ejection it gets one attempt
// at a time, at first only of requests that may be repeated.
func (b *Balancer) isHealthy(ep *endpoint, r *request) bool {
	if b.now < ep.ejectedUntil || b.isUnresponsive(ep) || b.now < ep.classEjections[r.class.index].until {
		return false
	}
	safe := r.class.Idempotency != NotIdempotent || b.now >= 2*ep.ejectedUntil-ep.ejectedAt
	return ep.ejectionLevel == 0 || safe && len(ep.inFlight) == 0
}

func (ep *endpoint) observeSlowness(sample float64) {
	ep.slownessSamples++
	ep.slowness = cmp.Or(ep.slowness, 1)
	weight := max(smoothing, 1/(ep.slownessSamples+slownessPrior))
	ep.slowness += weight * (min(sample, maxSlownessSample) - ep.slowness)
}

func (b *Balancer) isEjected(ep *endpoint) bool { return b.now < ep.ejectedUntil }
