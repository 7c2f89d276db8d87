package balancer

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crossZoneWeight is how much less an endpoint of another zone weighs, as a multiple of the price of
	// crossing zones.
	crossZoneWeight = 200.0
	// crowdedSentPerOnTime is the number of requests sent for each one served on time above which zones are
	// crossed freely.
	crowdedSentPerOnTime = 1.15
	// maxEndpointShares is the most that one endpoint may hold, in mean shares of the concurrency limit.
	maxEndpointShares = 3.0
	// fullLoad is the number of attempts at each connected endpoint from which on a new connection is opened.
	fullLoad = 2
	// inFlightRatioShare is how much of the time that an attempt is in flight counts as its endpoint's
	// latency.
	inFlightRatioShare = 0.5
	// loadJitter is the random share of a load that breaks ties.
	loadJitter = 0.01
	// minUniform keeps the logarithm of a uniform random number finite.
	minUniform = 1e-12
	// maxDraws bounds the draws of an outsider: each may meet an endpoint that is small, or that may not get
	// the request.
	maxDraws = 50
	// uniformBits is the number of random bits that a float64 in [0, 1) holds, and hashBits that of a hash.
	uniformBits = 53
	hashBits    = 64
)

// The tiers of idle candidates: one of the first tier that has any is taken.
const (
	tierSubset    = iota // in the subset, or treated as such
	tierConnected        // outside the subset, with a connection
	tierOther            // outside the subset, without one
	tierCount
)

// picker chooses the endpoint of an attempt: an idle one at random, by weight, else the least loaded one. It
// keeps nothing between picks but memory.
type picker struct {
	settings   *Settings
	rng        *rand.Rand
	rules      *attemptRules
	limiter    *concurrencyLimiter
	traffic    *trafficStats
	slowStart  *slowStart
	endpoints  *endpointSet
	candidates candidateSet // collected anew by each pick; only its memory is reused
}

// pickInfo is what one pick goes by, besides the endpoints.
type pickInfo struct {
	request         *request
	now             time.Duration
	fleet           fleetSummary
	subset          float64 // wanted size of the subset, in endpoints
	crossZoneFactor float64 // how much less an endpoint of another zone weighs
	newEndpointLoad float64 // load, in attempts, of an endpoint without a response yet
	maxLoad         float64 // load, in attempts, at which an endpoint gets nothing more
}

// pick chooses an endpoint for a request: an idle one; otherwise the least loaded one; otherwise, where all
// are ejected, one of the lowest ejection level. It returns nil if none may be used now.
func (p *picker) pick(r *request, now time.Duration, fleet fleetSummary) *endpoint {
	info := p.pickInfo(r, now, fleet, minSubset+subsetPerAttempt*p.traffic.peakInFlight)
	candidates := &p.candidates
	ejected := p.collect(&info, candidates)
	idle, busy := p.chooseIdleAndBusy(&info, candidates.members)
	if preferred := cmp.Or(idle[tierSubset], idle[tierConnected]); preferred != nil {
		return preferred
	}
	if busy == nil || p.load(busy, now) >= fullLoad {
		if other := cmp.Or(idle[tierOther], p.drawOutsider(&info, candidates)); other != nil {
			return other
		}
	}
	return cmp.Or(busy, ejected)
}

func (p *picker) pickInfo(r *request, now time.Duration, fleet fleetSummary, subset float64) pickInfo {
	return pickInfo{
		request:         r,
		now:             now,
		fleet:           fleet,
		subset:          subset,
		crossZoneFactor: p.crossZoneFactor(now, fleet),
		newEndpointLoad: p.meanLoad(now),
		maxLoad:         max(fullLoad, p.limiter.endpointShares(maxEndpointShares)),
	}
}

// collect lists the candidates, and returns the best of those that are ejected.
func (p *picker) collect(info *pickInfo, candidates *candidateSet) (ejected *endpoint) {
	subsetSize := int(math.Ceil(info.subset))
	if p.settings.CacheAffinity { // a key draws from all endpoints
		subsetSize = len(p.endpoints.all)
	}
	candidates.reset(subsetSize)
	ejected = p.collectObserved(info, candidates)
	p.collectUnobserved(info, candidates)
	candidates.complete()
	return ejected
}

// collectObserved adds the observed endpoints, and returns the best of those that are ejected.
func (p *picker) collectObserved(info *pickInfo, candidates *candidateSet) (ejected *endpoint) {
	leastScore := math.Inf(1)
	for _, ep := range p.endpoints.observed {
		load, latencyRatio := loadAndLatencyRatio(ep, info.now)
		if load >= info.maxLoad || !p.isEligible(info, ep) {
			continue
		}
		if !ep.isHealthyFor(info.request.class, info.now) {
			score := ep.ejection.level + p.rng.Float64() + load
			if score < leastScore {
				ejected, leastScore = ep, score
			}
			continue
		}
		if !ep.responses.hasServed {
			load = info.newEndpointLoad
		}
		p.addCandidate(info, candidates, p.newCandidate(info, ep, load, latencyRatio))
	}
	return ejected
}

// collectUnobserved adds the unobserved endpoints that belong to the subset.
func (p *picker) collectUnobserved(info *pickInfo, candidates *candidateSet) {
	for ep, preference := range p.endpoints.unobserved.byPreference(info.crossZoneFactor) {
		if !candidates.admits(preference) {
			return // nor is any that follows
		}
		if p.rules.allow(info.request, ep, info.now) {
			p.addCandidate(info, candidates, p.newCandidate(info, ep, info.newEndpointLoad, 1))
		}
	}
}

// addCandidate adds a candidate to the subset or, if it is observed, to those outside. Unobserved endpoints
// outside the subset are not listed.
func (p *picker) addCandidate(info *pickInfo, candidates *candidateSet, c candidate) {
	outside, isOutside := candidates.insert(c)
	if !isOutside || !outside.endpoint.isObserved {
		return
	}
	if p.isConnected(outside.endpoint, info.now) || info.warmingJoinsSubset(outside.endpoint) {
		candidates.connected = append(candidates.connected, outside)
		return
	}
	candidates.outsiders = append(candidates.outsiders, outsider{outside.endpoint, outside.weight})
}

// warmingJoinsSubset reports whether an endpoint belongs to the subset without a connection since it warms
// up: in a fleet that is large for its agents' subsets most agents would otherwise never send to it.
func (info *pickInfo) warmingJoinsSubset(ep *endpoint) bool {
	return ep.warmUp.active && 2*info.subset < float64(info.fleet.serving)
}

// isEligible reports whether an observed endpoint may get the request, ejections aside.
func (p *picker) isEligible(info *pickInfo, ep *endpoint) bool {
	r := info.request
	failedLast := ep == r.lastFailed && info.fleet.serving > 1
	if ep.State != Serving || failedLast || info.now < ep.ejection.avoidedUntil {
		return false
	}
	return p.rules.allow(r, ep, info.now) && p.slowStart.hasPermit(ep, r, info.now, info.fleet)
}

// newCandidate weighs an endpoint: by its size, less while it warms up or is slower than others, and less
// where crossing zones has a price.
func (p *picker) newCandidate(info *pickInfo, ep *endpoint, load, latencyRatio float64) candidate {
	penalty := latencyRatio * latencyRatio * latencyRatio
	weight := ep.size() * p.slowStart.updateFraction(ep, info.now) / penalty
	if ep.Zone != p.settings.Zone {
		weight /= info.crossZoneFactor
	}
	preference := ep.rank / weight
	if p.isConnected(ep, info.now) {
		preference *= connectedPreference
	}
	return candidate{ep, load, latencyRatio, weight, preference}
}

// chooseIdleAndBusy draws an idle candidate of each tier by weight, and takes the least loaded busy one.
func (p *picker) chooseIdleAndBusy(
	info *pickInfo, candidates []candidate,
) (idle [tierCount]*endpoint, busy *endpoint) {
	leastScore := math.Inf(1)
	leastWait := [tierCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	for position, c := range candidates {
		connected := p.isConnected(c.endpoint, info.now)
		if c.load >= 1 && connected {
			load := (c.load + 1) * c.latencyRatio / p.slowStart.updateFraction(c.endpoint, info.now)
			score := load * (1 + loadJitter*p.rng.Float64())
			if score < leastScore {
				busy, leastScore = c.endpoint, score
			}
			continue
		}
		tier := p.tier(info, c, position, connected)
		wait := p.drawWait(info.request, c)
		if wait < leastWait[tier] {
			idle[tier], leastWait[tier] = c.endpoint, wait
		}
	}
	return idle, busy
}

// tier is the tier of an idle candidate at a position in the order of preference. With cache affinity the
// subset does not matter while requests over new connections are served on time as often as others.
func (p *picker) tier(info *pickInfo, c candidate, position int, connected bool) int {
	trustsNew := p.settings.CacheAffinity && info.request.class.newConnectionsAreOnTime()
	warmingJoins := c.endpoint.warmUp.active && connected || info.warmingJoinsSubset(c.endpoint)
	switch {
	case float64(position) < info.subset || trustsNew || warmingJoins:
		return tierSubset
	case connected:
		return tierConnected
	default:
		return tierOther
	}
}

// drawWait draws an exponential time at the rate of the candidate's weight: the candidate with the least time
// is a random choice by weight. With cache affinity all agents draw alike for a key, so that it goes to the
// endpoint that has cached it.
func (p *picker) drawWait(r *request, c candidate) float64 {
	uniform := p.rng.Float64()
	if p.settings.CacheAffinity && r.keyHash != 0 {
		uniform = keyedUniform(c.endpoint.hash, r.keyHash)
	}
	return -math.Log(max(uniform, minUniform)) / c.weight
}

// keyedUniform is a random number in [0, 1), the same at every agent for an endpoint and a key.
func keyedUniform(endpointHash, keyHash uint64) float64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], endpointHash)
	binary.LittleEndian.PutUint64(pair[8:], keyHash)
	return float64(xxhash.Sum64(pair[:])>>(hashBits-uniformBits)) / (1 << uniformBits)
}

// drawOutsider draws an endpoint that is neither in the subset nor connected, by weight; nil if none was
// found.
func (p *picker) drawOutsider(info *pickInfo, candidates *candidateSet) *endpoint {
	unobserved := &p.endpoints.unobserved
	observedWeight := candidates.outsiderWeight()
	ownZoneWeight := float64(len(unobserved.ownZone)) * unobserved.largestSize
	otherZonesWeight := float64(len(unobserved.otherZones)) * unobserved.largestSize / info.crossZoneFactor
	for range maxDraws {
		target := p.rng.Float64() * (observedWeight + ownZoneWeight + otherZonesWeight)
		if target < observedWeight {
			return candidates.outsiderAt(target)
		}
		order := unobserved.otherZones
		if target < observedWeight+ownZoneWeight {
			order = unobserved.ownZone
		}
		if ep := p.drawUnobserved(info, order); ep != nil {
			return ep
		}
	}
	return nil
}

// drawUnobserved draws an unobserved endpoint by size; nil if it has to be drawn again.
func (p *picker) drawUnobserved(info *pickInfo, order preferenceOrder) *endpoint {
	if len(order) == 0 {
		return nil
	}
	ep := order[p.rng.IntN(len(order))]
	isTaken := p.rng.Float64()*p.endpoints.unobserved.largestSize < ep.size()
	if !isTaken || !p.rules.allow(info.request, ep, info.now) {
		return nil
	}
	return ep
}

// crossZoneFactor is how much less an endpoint of another zone weighs. It is 1 where the fleet is so crowded
// that crossing zones is worth its price.
func (p *picker) crossZoneFactor(now time.Duration, fleet fleetSummary) float64 {
	crowded := now-p.limiter.decreasedAt <= p.settings.SlowStartDuration
	if p.limiter.leastLimitIsBelow(1, fleet) {
		crowded = p.traffic.lateWork(crowdedSentPerOnTime) > 0
	}
	if crowded {
		return 1
	}
	return 1 + crossZoneWeight*p.settings.CrossZonePrice
}

// meanLoad is the mean load, in attempts, of the endpoints that have served something.
func (p *picker) meanLoad(now time.Duration) float64 {
	sum, count := 0.0, 0
	for _, ep := range p.endpoints.observed {
		if ep.State == Serving && ep.responses.hasServed {
			sum += p.load(ep, now)
			count++
		}
	}
	return sum / float64(max(count, 1))
}

func (p *picker) load(ep *endpoint, now time.Duration) float64 {
	load, _ := loadAndLatencyRatio(ep, now)
	return load
}

func (p *picker) isConnected(ep *endpoint, now time.Duration) bool {
	return ep.isConnected(now, p.settings.IdleClose)
}

// loadAndLatencyRatio are the attempts in flight at an endpoint, less those that are overdue although a later
// one was answered, and its latency over the expected one, by its responses or its oldest attempt in flight.
func loadAndLatencyRatio(ep *endpoint, now time.Duration) (load, latencyRatio float64) {
	load, latencyRatio = float64(len(ep.inFlight)), ep.responses.ratio()
	for _, a := range ep.inFlight {
		// While the endpoint warms up no attempt counts as lost.
		if a.sentAt > ep.connection.latestAnsweredSend || ep.warmUp.active {
			return load, max(latencyRatio, a.latencyRatio(now-a.sentAt)*inFlightRatioShare)
		}
		if a.isOverdue(now) {
			load--
		}
	}
	return load, latencyRatio
}
