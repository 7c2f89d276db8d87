package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	queueMargin       = 2.0   // expected latencies before its objective, when a queued request is given up
	openReserve       = 0.125 // share of MaxOpen that is kept free for new requests
	clientRetryFactor = 0.1   // priority of a client's retry: most of its objective has passed

	targetRatio    = 0.35 // of mean latency to objective: the limit falls above it ...
	targetRise     = 3.0  // ... and above so many times the ratio without queues ...
	targetFloor    = 0.15 // ... but not below this: so far within the objective a delay does no harm
	maxRatioSample = 4.0  // times the ratio without queues: the most that one response counts as
	baseRise       = 100  // the ratio without queues is taken to rise so many times slower than to fall

	minLimitPerEndpoint = 4.0 // attempts, for all agents together: the least, and the first, limit
	limitDecrease       = 0.9 // factor
	limitIncrease       = 0.7 // attempts per endpoint for each round of responses
	unlimitedBelow      = 0.6 // attempts: an agent whose part of the least limit is below has no limit

	throttleRatio     = 1.3  // requests sent for each served on time: more wastes work on late responses ...
	throttleAllowance = 4.0  // ... beyond the first few
	trafficWindow     = 20.0 // objectives over which both are counted
)

// concurrencyLimit is the adaptive limit on attempts in flight.
type concurrencyLimit struct {
	perEndpoint        float64 // attempts in flight, for all agents together
	meanRatio, samples float64 // mean of latency over objective ...
	baseRatio          float64 // ... and its low, which is without queues
	decreasedAt        time.Duration
}

// recentTraffic are decayed counts over trafficWindow.
type recentTraffic struct {
	sent, onTime, peakInFlight float64 // requests, those served within their objective, attempts in flight
	decayedAt                  time.Duration
}

func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue = append(b.queue, r)
}

func (b *Balancer) dequeue(r *request) {
	r.queued = false
	b.queue = slices.DeleteFunc(b.queue, func(queued *request) bool { return queued == r })
}

func (b *Balancer) dispatchQueue() {
	b.updatePriorities()
	for b.activeInFlight() < b.inFlightLimit() && !b.isThrottled() {
		r := b.nextQueued()
		if r == nil {
			break
		}
		if ep := b.pick(r); ep != nil {
			b.dequeue(r)
			b.send(r, ep)
		} else {
			r.skipped = true
		}
	}
	b.expireQueue()
	b.shedQueue()
}

// nextQueued is the request of the highest priority that can be sent, of equals the newest; nil: none.
func (b *Balancer) nextQueued() *request {
	var next *request
	highest := 0.0
	for _, r := range b.queue {
		if r.skipped || !b.isNextOfKey(r) || b.isTooLate(r, b.now) {
			continue
		}
		if priority := b.queuedPriority(r); next == nil || priority >= highest {
			next, highest = r, priority
		}
	}
	return next
}

// expireQueue gives up clients' retries, which do not wait, and what can no longer be served in time.
func (b *Balancer) expireQueue() {
	for i := len(b.queue) - 1; i >= 0; i-- {
		r := b.queue[i]
		r.skipped = false
		expiry := min(r.objectiveAt, r.deadline) - b.responseTime(r, queueMargin)
		if r.clientRetry || expiry <= b.now {
			b.giveUp(r)
		} else if r.timer == 0 {
			b.setRequestTimer(r, expiry)
		}
	}
}

// shedQueue keeps places free for new requests: it gives up the lowest priority, of equals the oldest.
func (b *Balancer) shedQueue() {
	most := (1 - openReserve) * float64(b.settings.MaxOpen)
	for b.settings.MaxOpen > 0 && float64(b.openRequests) > most && len(b.queue) > 0 {
		b.giveUp(slices.MinFunc(b.queue, func(x, y *request) int {
			return cmp.Compare(b.queuedPriority(x), b.queuedPriority(y))
		}))
	}
}

func (b *Balancer) queuedPriority(r *request) float64 {
	priority := r.class.currentPriority
	if r.clientRetry {
		priority *= clientRetryFactor
	}
	if r.objectiveAt-b.now < time.Duration(b.expectedLatency(r)/2) {
		priority *= r.class.LatePriority
	}
	return priority
}

// updatePriorities sets what a unit of work spent on each class adds to the operator's goal.
func (b *Balancer) updatePriorities() {
	demand, worst := 0.0, slices.MinFunc(b.classes, compareOnTime)
	for _, class := range b.classes {
		demand += class.arrived * class.Priority * b.workUnit(class)
	}
	for _, class := range b.classes {
		gain := (b.settings.WeightOverall + b.settings.WeightWorstWindow) * class.Priority * b.workUnit(class)
		class.currentPriority = gain / class.meanLatency / max(demand, 1e-9)
		if class == worst {
			class.currentPriority += b.settings.WeightWorstClass / (max(class.arrived, 1) * class.meanLatency)
		}
	}
}

func (b *Balancer) workUnit(class *classState) float64 {
	if b.settings.PriorityByWork {
		return class.meanLatency
	}
	return 1
}

func (b *Balancer) decayTraffic() {
	window := trafficWindow * float64(b.classes[0].Objective)
	factor := math.Exp(-float64(b.now-b.traffic.decayedAt) / window)
	b.traffic.sent *= factor
	b.traffic.onTime *= factor
	b.traffic.peakInFlight *= factor
	b.traffic.decayedAt = b.now
}

// adjustLimit learns from a latency over its objective: the limit falls while that is high, else it rises.
func (b *Balancer) adjustLimit(ratio float64) {
	limit := &b.limit
	limit.samples++
	if limit.samples <= 1/smoothing { // the first few responses set the usual latency
		limit.meanRatio += (min(ratio, 2) - limit.meanRatio) / limit.samples
		limit.baseRatio = limit.meanRatio
		return
	}
	// The mean spans what is in flight at once; one heavy request says only that it was heavy.
	weight := min(smoothing, 1/b.inFlightLimit())
	bound := max(maxRatioSample*limit.baseRatio, 2*targetFloor)
	limit.meanRatio += weight * (min(ratio, bound, 2) - limit.meanRatio)
	difference := limit.meanRatio - limit.baseRatio
	if difference > 0 {
		difference /= baseRise
	}
	limit.baseRatio += weight * smoothing * difference
	target := min(targetRatio, max(targetRise*limit.baseRatio, targetFloor))
	switch {
	case limit.meanRatio > target && b.now-limit.decreasedAt > time.Duration(b.classes[0].meanLatency):
		limit.perEndpoint = max(minLimitPerEndpoint, limit.perEndpoint*limitDecrease)
		limit.decreasedAt = b.now
	case limit.meanRatio < target && b.activeInFlight()+1 >= b.inFlightLimit()*0.9: // it binds
		limit.perEndpoint += limitIncrease / b.inFlightLimit()
	}
}

// inFlightLimit is this agent's part, by head count, of the limit; infinite where that would be too small.
func (b *Balancer) inFlightLimit() float64 {
	if b.minLimitBelow(unlimitedBelow) {
		return math.Inf(1)
	}
	return max(1, b.limit.perEndpoint*b.fleet.capacity/float64(b.settings.Agents))
}

// isThrottled reports whether too few of the requests sent recently were served on time.
func (b *Balancer) isThrottled() bool {
	return b.minLimitBelow(1) && b.traffic.sent >= throttleRatio*b.traffic.onTime+throttleAllowance
}

// minLimitBelow reports whether this agent's part of the least limit is under so many attempts.
func (b *Balancer) minLimitBelow(attempts float64) bool {
	return minLimitPerEndpoint*float64(b.fleet.serving) < attempts*float64(b.settings.Agents)
}
