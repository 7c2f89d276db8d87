package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	unresponsiveShare = 0.35 // of the objective: the least time without a response that says something ...
	unresponsiveMeans = 6.0  // ... and expected latencies, which are long when all is crowded
	chanceOfRun       = 1e-3 // failures in a row less likely than this are no chance
	connectChance     = 50   // so many times likelier ones if connections fail: that never ran, and says more
	maxRun            = 6    // the longest such run that is waited for
	slownessPrior     = 2.0  // responses that the mean counts for in a new endpoint's slowness
	maxSlownessSample = 8.0  // the most that one response can say of an endpoint's slowness
	maxEjectedShare   = 0.2  // of the serving endpoints may be ejected for errors at a time
	maxEjectionLevel  = 5.0  // the longest ejection is 2^(max-1) times the first
	ejectionRecovery  = 0.25 // levels that a served attempt takes back: one error in five still raises them
	classEjectionTime = 8.0  // objectives for which an endpoint is first ejected for one class
)

// classEjection keeps an endpoint from one class.
type classEjection struct {
	until    time.Duration
	timeouts float64 // in a row
}

func (b *Balancer) observeOutcome(r *request, a *attempt, outcome Outcome) {
	// What a client gets that waits only a moment says nothing of the endpoint.
	usual := float64(min(r.class.Objective, r.class.Deadline))
	impatient := r.deadline-a.sentAt < time.Duration(unresponsiveShare*usual)
	if impatient && outcome.Result == TimedOut {
		return
	}
	if outcome.Result == LocalFailure {
		b.observeLocalFailure(r, a, outcome)
		return
	}
	b.observeOnTime(r, a, outcome.Result)
	b.observeConnection(a, outcome.Result)
	switch outcome.Result {
	case Served:
		b.observeServed(r, a)
		if !impatient {
			b.observeLatency(r, a, outcome.Latency)
		}
	case Rejected:
		a.endpoint.rejectingUntil = b.drawRejectingUntil(r)
		b.adjustLimit(1)
	case TimedOut:
		b.observeTimeout(r, a, outcome.Latency)
	case ServerError, Reset, ConnectFailed:
		b.observeFailure(r, a, outcome)
	}
}

func (b *Balancer) observeOnTime(r *request, a *attempt, result Result) {
	onTime := 0.0
	if result == Served && b.now <= r.objectiveAt {
		onTime = 1
	}
	if a.newConnection {
		r.class.newOnTime += smoothing * (onTime - r.class.newOnTime)
		return
	}
	r.class.connectedOnTime += smoothing * (onTime - r.class.connectedOnTime)
	r.class.newOnTime += slowSmoothing * (onTime - r.class.newOnTime) // forgets, since few are new meanwhile
}

// observeConnection takes an endpoint that gave no response, or rejected the request, out of the subset.
func (b *Balancer) observeConnection(a *attempt, result Result) {
	ep := a.endpoint
	ep.connected = result == Served || result == ServerError
	ep.connectionUsedAt = b.now
	if ep.connected {
		ep.latestAnsweredSend = max(ep.latestAnsweredSend, a.sentAt)
		return
	}
	ep.preference += b.rng.ExpFloat64()
	ep.slowness, ep.slownessSamples = max(ep.slowness, 1), 0
}

func (b *Balancer) observeServed(r *request, a *attempt) {
	ep := a.endpoint
	if ep.unreachable && ep.startedAt < a.sentAt && ep.firstFailureAt < a.sentAt {
		b.startWarmUp(ep, b.now) // it was restarted before the list said so
	}
	ep.unreachable, ep.consecutiveFailures = false, 0
	ep.ejectionLevel = max(0, ep.ejectionLevel-ejectionRecovery)
	ep.classEjections[r.class.index] = classEjection{}
	ep.lastServedAt, ep.hasServed = b.now, true
	b.failureRate -= slowSmoothing * b.failureRate
	if !ep.warmingUp {
		b.warmWork = b.decayWarmWork() + a.expectedLatency/float64(max(b.fleet.warm, 1))
	}
}

func (b *Balancer) observeLatency(r *request, a *attempt, latency time.Duration) {
	class, sample := r.class, float64(latency)
	class.latencyAt = b.now
	a.endpoint.observeSlowness(sample / a.expectedLatency)
	if r.work > 0 && class.meanWork > 0 {
		sample *= class.meanWork / r.work
	}
	b.latencyDeviation = movingAverage(b.latencyDeviation, math.Abs(sample/class.meanLatency-1))
	class.meanLatency = movingAverage(class.meanLatency, max(sample, 1))
	b.adjustLimit(float64(latency) / float64(class.Objective))
}

func (ep *endpoint) observeSlowness(sample float64) {
	ep.slownessSamples++
	ep.slowness = cmp.Or(ep.slowness, 1)
	weight := max(smoothing, 1/(ep.slownessSamples+slownessPrior))
	ep.slowness += weight * (min(sample, maxSlownessSample) - ep.slowness)
}

func (b *Balancer) drawRejectingUntil(r *request) time.Duration {
	return b.now + time.Duration(b.rng.Float64()*r.class.meanLatency)
}

func (b *Balancer) observeTimeout(r *request, a *attempt, latency time.Duration) {
	b.ejectForClass(a.endpoint, r.class)
	if a.endpoint.lastServedAt < a.sentAt { // it served nothing since: more than a slow request or a queue
		b.eject(a, r.class)
		return
	}
	b.adjustLimit(max(1, float64(latency)/float64(r.class.Objective)))
	a.endpoint.observeSlowness(float64(latency) / a.expectedLatency) // it is at least so slow
}

func (b *Balancer) observeFailure(r *request, a *attempt, outcome Outcome) {
	ep := a.endpoint
	threshold := b.failureThreshold(outcome.Result)
	ep.consecutiveFailures++
	if ep.consecutiveFailures == 1 { // an endpoint that is gone says no more of the others
		ep.firstFailureAt = b.now
		b.failureRate += slowSmoothing * (1 - b.failureRate)
	}
	if b.isAlive(ep, outcome) {
		threshold = maxRun
		if outcome.Result == ConnectFailed {
			ep.rejectingUntil = b.drawRejectingUntil(r)
		}
	}
	if ep.consecutiveFailures >= threshold && (outcome.Result == ConnectFailed || b.mayEject()) {
		ep.unreachable = ep.unreachable || outcome.Result != ServerError && outcome.Result != LocalFailure
		b.eject(a, r.class)
	}
}

// observeLocalFailure keeps an endpoint that can't be reached from here from drawing the traffic, as one that
// fails fast is always idle. The cause may be this machine: that an endpoint was restarted can't be told from
// it, and the bound on ejected endpoints holds.
func (b *Balancer) observeLocalFailure(r *request, a *attempt, outcome Outcome) {
	a.endpoint.rejectingUntil = b.drawRejectingUntil(r)
	if len(r.attempts) == 1 {
		b.traffic.sent = max(0, b.traffic.sent-1) // nothing went out that may have been wasted
	}
	b.observeFailure(r, a, outcome)
}

// isAlive reports whether an endpoint lives although a connection to it failed: a process that dies takes all
// its connections along, but older attempts are still in flight. An unanswered dial is no sign of life.
func (b *Balancer) isAlive(ep *endpoint, outcome Outcome) bool {
	unanswered := outcome.Result == ConnectFailed && outcome.Latency > b.settings.ConnectTimeout/2
	hasOlder := len(ep.inFlight) > 0 && ep.inFlight[0].sentAt < ep.firstFailureAt
	return hasOlder && !unanswered && outcome.Result != ServerError
}

func (b *Balancer) mayEject() bool {
	ejected := 0.0
	for _, ep := range b.touched {
		if ep.State == Serving && b.isEjected(ep) {
			ejected++
		}
	}
	return ejected+1 <= max(1, maxEjectedShare*float64(b.fleet.serving))
}

// failureThreshold is the number of consecutive failures that chance hardly makes at the failure rate.
func (b *Balancer) failureThreshold(result Result) int {
	least, chance := 2.0, chanceOfRun
	if result == ConnectFailed {
		least, chance = 1, chanceOfRun*connectChance
	}
	run := math.Ceil(math.Log(chance) / math.Log(min(max(b.failureRate, 1e-6), 0.3)))
	return int(min(max(least, run), maxRun))
}

// eject ejects an endpoint, for longer with each level. What was sent before the last ejection adds nothing.
func (b *Balancer) eject(a *attempt, class *classState) {
	ep := a.endpoint
	if a.sentAt < ep.ejectedAt {
		return
	}
	ep.ejectionLevel = min(ep.ejectionLevel+1, maxEjectionLevel)
	ep.ejectedAt = b.now
	objectives := math.Exp2(ep.ejectionLevel-1) * (0.75 + 0.5*b.rng.Float64())
	ep.ejectedUntil = b.now + time.Duration(objectives*float64(class.Objective))
}

// ejectForClass ejects an endpoint for one class that fares worse than others.
func (b *Balancer) ejectForClass(ep *endpoint, class *classState) {
	best := slices.MaxFunc(b.classes, compareOnTime)
	if class.onTimeShare() > best.onTimeShare()-significantGap {
		return
	}
	ejection := &ep.classEjections[class.index]
	ejection.timeouts = min(ejection.timeouts+1, maxEjectionLevel)
	objectives := classEjectionTime * math.Exp2(ejection.timeouts-1)
	ejection.until = b.now + time.Duration(objectives*float64(class.Objective))
}

func (b *Balancer) isEjected(ep *endpoint) bool { return b.now < ep.ejectedUntil }

// isUnresponsive reports whether an endpoint has served nothing since its oldest attempt, overdue, was sent.
func (b *Balancer) isUnresponsive(ep *endpoint) bool {
	return len(ep.inFlight) > 0 && ep.lastServedAt < ep.inFlight[0].sentAt && ep.inFlight[0].isOverdue(b.now)
}

// isHealthy reports whether an endpoint may get r as ordinary traffic. After an ejection it gets one attempt
// at a time until it has recovered: of idempotent requests, of others only after as long a time again.
func (b *Balancer) isHealthy(ep *endpoint, r *request) bool {
	if b.isEjected(ep) || b.isUnresponsive(ep) || b.now < ep.classEjections[r.class.index].until {
		return false
	}
	mayProbe := r.class.Idempotency != NotIdempotent || b.now >= 2*ep.ejectedUntil-ep.ejectedAt
	return ep.ejectionLevel == 0 || mayProbe && len(ep.inFlight) == 0
}
