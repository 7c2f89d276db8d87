package balancer

import (
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
	t, c, lat := a.endpoint, &b.classes[r.class], float64(e.Latency)
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
		t.latestAnsweredSend = max(t.latestAnsweredSend, a.sentAt)
	}
	if t.connected, t.connectionUsedAt = e.Result == Served || e.Result == ServerError, b.now; !t.connected {
		t.preference, t.slowness, t.slownessSamples = t.preference+b.rng.ExpFloat64(), max(t.slowness, 1), 0
	}
	switch e.Result {
	case Served:
		// It was restarted before the list said so: treat it as just started.
		if t.unreachable && t.startedAt < a.sentAt && t.firstFailureAt < a.sentAt {
			b.startWarmUp(t, b.now)
		}
		t.unreachable, t.consecutiveFailures = false, 0
		b.failureRate -= smoothing / 10 * b.failureRate
		// each counts for its part of those that are warm now, many of which may be gone soon
		if !t.warmingUp {
			b.warmWork = b.recentWarmWork() + a.expectedLatency/float64(max(b.warm, 1))
		}
		t.ejectionLevel = max(0, t.ejectionLevel-ejectionRecovery)
		t.classEjections[r.class] = classEjection{}
		t.lastServedAt = b.now
		t.hasServed = true
		if hasty {
			break
		}
		c.latencyAt = b.now
		b.updateSlowness(t, lat/a.expectedLatency)
		if r.work > 0 && c.meanWork > 0 {
			lat *= c.meanWork / r.work
		}
		b.latencyDeviation = movingAverage(b.latencyDeviation, math.Abs(lat/c.meanLatency-1))
		c.meanLatency = movingAverage(c.meanLatency, max(lat, 1))
		b.adjustLimit(float64(e.Latency) / float64(c.Objective))
	case Rejected:
		t.rejectingUntil = b.now + time.Duration(b.rng.Float64()*c.meanLatency)
		b.adjustLimit(1)
	case TimedOut:
		b.ejectForClass(t, r.class)
		if t.lastServedAt < a.sentAt { // nothing came back since: more than a slow request, and no queue
			b.eject(t, a, c)
		} else {
			b.adjustLimit(max(1, lat/float64(c.Objective)))
			b.updateSlowness(t, lat/a.expectedLatency) // at least so slow
		}
	case ServerError, Reset, ConnectFailed:
		if t.consecutiveFailures == 0 {
			t.firstFailureAt = b.now
		}
		t.consecutiveFailures++
		n := b.failureThreshold(e.Result)
		if b.isAlive(t, e) {
			n = maxFailureThreshold
			if e.Result == ConnectFailed { // it takes no new connection now, which is what Full says
				t.rejectingUntil = b.now + time.Duration(b.rng.Float64()*c.meanLatency)
			}
		}
		if t.consecutiveFailures >= n && (e.Result == ConnectFailed || b.mayEject()) {
			t.unreachable = t.unreachable || e.Result != ServerError
			b.eject(t, a, c)
		}
		// only the first of a run: a backend that is dead says nothing of the others
		if t.consecutiveFailures == 1 {
			b.failureRate += smoothing / 10 * (1 - b.failureRate)
		}
	}
}

// isAlive reports whether an endpoint is alive although a connection to it failed: a process that dies takes
// all its connections along, and attempts sent before the first failure are still open.
func (b *Balancer) isAlive(t *endpoint, e Outcome) bool {
	mute := e.Result == ConnectFailed && e.Latency > b.settings.ConnectTimeout/2
	return e.Result != ServerError && !mute && len(t.inFlight) > 0 && t.inFlight[0].sentAt < t.firstFailureAt
}

// mayEject reports whether one more endpoint may be ejected for errors.
func (b *Balancer) mayEject() bool {
	out := 0.0
	for _, t := range b.endpoints {
		if t.State == Serving && b.now < t.ejectedUntil {
			out++
		}
	}
	return out+1 <= max(1, maxEjectedShare*float64(b.serving))
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
func (b *Balancer) eject(t *endpoint, a *attempt, c *classState) {
	if a.sentAt < t.ejectedAt {
		return
	}
	t.ejectionLevel = min(t.ejectionLevel+1, maxEjectionLevel)
	t.ejectedAt = b.now
	t.ejectedUntil = b.now + time.Duration(math.Exp2(t.ejectionLevel-1)*(0.75+0.5*b.rng.Float64())*float64(
		c.Objective))
}

// ejectForClass ejects an endpoint for one class, for a time that doubles with each further time-out of it,
// if that class fares clearly worse than another one.
func (b *Balancer) ejectForClass(t *endpoint, class int) {
	best := 0.0
	for i := range b.classes {
		best = max(best, b.classes[i].onTimeShare())
	}
	if b.classes[class].onTimeShare() > best-significantGap {
		return
	}
	s := &t.classEjections[class]
	s.consecutiveTimeouts = min(s.consecutiveTimeouts+1, maxEjectionLevel)
	s.until = b.now + time.Duration(classEjectionTime*math.Exp2(s.consecutiveTimeouts-1)*float64(
		b.classes[class].Objective))
}

// isUnresponsive reports whether an endpoint has answered nothing since its oldest open attempt was sent, for
// longer than a queue within the objectives would explain.
func (b *Balancer) isUnresponsive(t *endpoint) bool {
	return len(t.inFlight) > 0 && t.lastServedAt < t.inFlight[0].sentAt &&
		b.now-t.inFlight[0].sentAt > t.inFlight[0].unresponsiveAfter
}

// isHealthy reports whether an endpoint may get r as ordinary traffic. After an ejection it gets one attempt
// at a time, at first only of requests that may be repeated.
func (b *Balancer) isHealthy(t *endpoint, r *request) bool {
	if b.now < t.ejectedUntil || b.isUnresponsive(t) || b.now < t.classEjections[r.class].until {
		return false
	}
	safe := b.classes[r.class].Idempotency != NotIdempotent || b.now >= 2*t.ejectedUntil-t.ejectedAt
	return t.ejectionLevel == 0 || safe && len(t.inFlight) == 0
}
