package balancer

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	minSubset        = 2.0   // endpoints in the subset, if no more are needed ...
	subsetPerAttempt = 0.5   // ... and so many more for each attempt of the recent peak in flight
	connectedFactor  = 0.5   // preference of a connected endpoint, against what it would be else
	crossZoneWeight  = 200.0 // times its price: how much less an endpoint in another zone weighs
	crowdedRatio     = 1.15  // requests sent for each served on time, above which zones are crossed freely
	maxEndpointShare = 3.0   // mean shares of the limit that one endpoint may hold
	fullLoad         = 2     // attempts at a connected endpoint before a new connection is opened
)

// candidate is an endpoint that may be picked.
type candidate struct {
	endpoint       *endpoint
	load, slowness float64
	weight         float64 // in a random choice
	preference     float64 // in this agent's own order, the least first
}

// The tiers of idle candidates: those of the first tier that has any are taken.
const tierSubset, tierConnected, tierOther, tierCount = 0, 1, 2, 3

// pick chooses an endpoint: an idle one of the subset at random, by weight; else the least loaded one; else,
// where all are ejected, the least harmful of these. nil: none may be used now.
func (b *Balancer) pick(r *request) *endpoint {
	b.traffic.peakInFlight = max(b.traffic.peakInFlight, b.activeInFlight())
	subset := minSubset + subsetPerAttempt*b.traffic.peakInFlight
	ejected := b.collectCandidates(r, subset)
	idle, busy := b.chooseIdleAndBusy(r, subset)
	busyLoad := math.Inf(1)
	if busy != nil {
		busyLoad, _ = b.loadAndSlowness(busy)
	}
	if preferred := cmp.Or(idle[tierSubset], idle[tierConnected]); preferred != nil {
		return preferred
	}
	if busyLoad >= fullLoad {
		if other := cmp.Or(idle[tierOther], b.drawOther(r)); other != nil {
			return other
		}
	}
	return cmp.Or(busy, ejected)
}

func (b *Balancer) isEligible(r *request, ep *endpoint) bool {
	failedLast := ep == r.lastFailed && b.fleet.serving > 1
	available := ep.State == Serving && !failedLast && b.now >= ep.rejectingUntil
	return available && b.mayAttempt(r, ep) && b.hasSlowStartPermit(ep, r)
}

func (b *Balancer) newCandidate(ep *endpoint, load, slowness, crossZoneFactor float64) candidate {
	weight := ep.size() * b.warmUpFraction(ep) / (slowness * slowness * slowness)
	if ep.Zone != b.settings.Zone {
		weight /= crossZoneFactor
	}
	preference := ep.preference / weight
	if b.isConnected(ep) {
		preference *= connectedFactor
	}
	return candidate{ep, load, slowness, weight, preference}
}

// size is the listed size; without sizes all are alike.
func (ep *endpoint) size() float64 { return cmp.Or(max(0, ep.Weight), 1) }

func (b *Balancer) meanLoad() float64 {
	sum, count := 0.0, 0
	for _, ep := range b.touched {
		if ep.State == Serving && ep.hasServed {
			load, _ := b.loadAndSlowness(ep)
			sum += load
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// crossZoneFactor is how much less an endpoint of another zone weighs: no less where the fleet is so crowded
// that crossing zones is worth its price.
func (b *Balancer) crossZoneFactor() float64 {
	crowded := b.now-b.limit.decreasedAt <= b.settings.SlowStartDuration
	if b.minLimitBelow(1) {
		crowded = b.traffic.sent > crowdedRatio*b.traffic.onTime+throttleAllowance
	}
	if crowded {
		return 1
	}
	return 1 + crossZoneWeight*b.settings.CrossZonePrice
}

// chooseIdleAndBusy draws an idle candidate of each tier by weight, and takes the least loaded busy one.
func (b *Balancer) chooseIdleAndBusy(r *request, subset float64) (idle [tierCount]*endpoint, busy *endpoint) {
	leastScore, leastWait := math.Inf(1), [tierCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	trustsNew := b.trustsNewConnections(r)
	for position, c := range b.candidates {
		connected := b.isConnected(c.endpoint)
		if c.load >= 1 && connected {
			load := (c.load + 1) * c.slowness / b.warmUpFraction(c.endpoint)
			if score := load * (1 + 0.01*b.rng.Float64()); score < leastScore { // the draw breaks ties
				busy, leastScore = c.endpoint, score
			}
			continue
		}
		joins := c.endpoint.warmingUp && (connected || b.warmingJoinSubset(subset))
		tier := tierOther
		if float64(position) < subset || trustsNew || joins {
			tier = tierSubset
		} else if connected {
			tier = tierConnected
		}
		if wait := b.drawWait(r, c); wait < leastWait[tier] {
			idle[tier], leastWait[tier] = c.endpoint, wait
		}
	}
	return idle, busy
}

// drawWait draws a time at the rate of the candidate's weight. With cache affinity all agents draw alike.
func (b *Balancer) drawWait(r *request, c candidate) float64 {
	u := b.rng.Float64()
	if b.settings.CacheAffinity && r.keyHash != 0 {
		u = keyedDraw(c.endpoint.hash, r.keyHash)
	}
	return -math.Log(max(u, 1e-12)) / c.weight
}

// trustsNewConnections reports whether the subset does not matter: with cache affinity it does not while
// requests over new connections are served on time as often as others.
func (b *Balancer) trustsNewConnections(r *request) bool {
	return b.settings.CacheAffinity && r.class.newOnTime >= r.class.connectedOnTime-significantGap
}

func (b *Balancer) isConnected(ep *endpoint) bool {
	mayBeOpen := b.settings.IdleClose == 0 || b.now-ep.connectionUsedAt < b.settings.IdleClose
	return len(ep.inFlight) > 0 || ep.connected && mayBeOpen
}

// loadAndSlowness are the attempts in flight at ep, less those overdue while a later one was answered, and
// how much longer it takes than expected, by its responses or its oldest attempt in flight.
func (b *Balancer) loadAndSlowness(ep *endpoint) (load, slowness float64) {
	load, slowness = float64(len(ep.inFlight)), cmp.Or(ep.slowness, 1)
	for _, a := range ep.inFlight {
		if a.sentAt > ep.latestAnsweredSend || ep.warmingUp { // while it warms up nothing seems lost
			return load, max(slowness, float64(b.now-a.sentAt)/a.expectedLatency/2)
		}
		if a.isOverdue(b.now) {
			load--
		}
	}
	return load, slowness
}

// keyedDraw is a random number in [0, 1), the same at every agent for an endpoint and a key.
func keyedDraw(endpointHash, keyHash uint64) float64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], endpointHash)
	binary.LittleEndian.PutUint64(pair[8:], keyHash)
	return float64(xxhash.Sum64(pair[:])>>11) / (1 << 53)
}
