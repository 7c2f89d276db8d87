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
	// crossZonePriceFactor is by how much the weights of endpoints in other zones are divided, beyond 1, as
	// a multiple of the price of crossing zones.
	crossZonePriceFactor = 200.0
	// overloadedSentPerOnTime is the number of requests sent for each one served on time above which zones are
	// crossed freely.
	overloadedSentPerOnTime = 1.15
	// maxLoadLimitMultiple is the most that one endpoint may hold, in mean shares of the concurrency limit.
	maxLoadLimitMultiple = 3.0
	// newConnectionLoad is the number of attempts at the least loaded endpoint, from which on a new connection is
	// opened.
	newConnectionLoad = 2
	// minMaxLoad is the least number of attempts up to which an endpoint gets more.
	minMaxLoad = newConnectionLoad
	// largeFleetSubsetMultiple is the number of subsets that a fleet must exceed to count as large for its agents.
	largeFleetSubsetMultiple = 2
	// inFlightLatencyFactor is how much of the time that an attempt is in flight counts as its endpoint's
	// latency.
	inFlightLatencyFactor = 0.5
	// loadJitter is the random share of a load that breaks ties.
	loadJitter = 0.01
	// minUniform keeps the logarithm of a uniform random number finite.
	minUniform = 1e-12
	// maxFallbackDraws bounds the draws of an outsider: each may meet an endpoint that is small, or that may not get
	// the request.
	maxFallbackDraws = 50
	// uniformBits is the number of random bits that a float64 in [0, 1) holds, and hashBits that of a hash.
	uniformBits = 53
	hashBits    = 64
)

// The tiers of idle candidates: one of the first tier that has any is taken.
const (
	tierSubset      = iota // in the subset, or treated as such
	tierConnected          // outside the subset, with a connection
	tierUnconnected        // outside the subset, without one: with cache affinity alone
	tierCount
)

// picker chooses the endpoint of an attempt: an idle one at random, by weight; otherwise the least loaded
// one. Only the memory of its candidates is kept between picks.
type picker struct {
	settings   *Settings
	rng        *rand.Rand
	rules      *attemptRules
	limiter    *concurrencyLimiter
	traffic    *trafficStats
	slowStart  *slowStart
	endpoints  *endpointSet
	candidates candidateSet // collected anew by each pick
}

// pickInfo is what one pick goes by, besides the endpoints.
type pickInfo struct {
	request          *request
	now              time.Duration
	fleet            fleetSummary
	targetSubsetSize float64 // wanted size of the subset, in endpoints
	crossZoneDivisor float64 // divides the weights, and so multiplies the ranks, of endpoints in other zones
	newEndpointLoad  float64 // load, in attempts, of an endpoint without a response yet
	maxLoad          float64 // load, in attempts, at which an endpoint gets nothing more
}

// pick chooses an endpoint for a request: an idle one; otherwise the least loaded one; otherwise, if none is
// healthy, an unhealthy one of low ejection level and load. It returns nil if none may be used now.
func (p *picker) pick(r *request, now time.Duration, fleet fleetSummary) *endpoint {
	info := p.newPickInfo(r, now, fleet, minSubsetSize+subsetGrowthPerAttempt*p.traffic.peakInFlight)
	candidates := &p.candidates
	unhealthy := p.collectCandidates(&info, candidates)
	idle, busy := p.selectIdleAndBusy(&info, candidates.members)
	if preferred := cmp.Or(idle[tierSubset], idle[tierConnected]); preferred != nil {
		return preferred
	}
	// By its own attempts, not by the mean load that stands for a new endpoint.
	if busy == nil || loadOf(busy, now) >= newConnectionLoad {
		fallback := p.drawFallback(&info, candidates) // in any case, which keeps the sequence of random draws
		if unconnected := cmp.Or(idle[tierUnconnected], fallback); unconnected != nil {
			return unconnected
		}
	}
	return cmp.Or(busy, unhealthy)
}

// newPickInfo works out what a pick for a request goes by.
func (p *picker) newPickInfo(r *request, now time.Duration, fleet fleetSummary, targetSubsetSize float64) pickInfo {
	return pickInfo{
		request:          r,
		now:              now,
		fleet:            fleet,
		targetSubsetSize: targetSubsetSize,
		crossZoneDivisor: p.crossZoneDivisor(now, fleet),
		newEndpointLoad:  p.meanLoad(now),
		maxLoad:          max(minMaxLoad, p.limiter.partOfEndpointLimit(maxLoadLimitMultiple)),
	}
}

// collectCandidates lists the candidates, and returns the best of the unhealthy endpoints.
func (p *picker) collectCandidates(info *pickInfo, candidates *candidateSet) (unhealthy *endpoint) {
	subsetSize := int(math.Ceil(info.targetSubsetSize))
	if p.settings.CacheAffinity { // a key draws from all endpoints
		subsetSize = len(p.endpoints.all)
	}
	candidates.reset(subsetSize)
	unhealthy = p.collectObserved(info, candidates)
	p.collectUnobserved(info, candidates)
	candidates.mergeConnected()
	return unhealthy
}

// collectObserved adds the observed endpoints, and returns the best of those that are unhealthy.
func (p *picker) collectObserved(info *pickInfo, candidates *candidateSet) (unhealthy *endpoint) {
	minScore := math.Inf(1)
	for _, ep := range p.endpoints.observed {
		load, latencyRatio := loadAndLatencyRatio(ep, info.now)
		if load >= info.maxLoad || !p.isEligible(info, ep) {
			continue
		}
		if !ep.isHealthyFor(info.request.class, info.now) {
			score := ep.ejection.level + p.rng.Float64() + load // the draw chooses among equals
			if score < minScore {
				unhealthy, minScore = ep, score
			}
			continue
		}
		if !ep.responses.hasServed {
			load = info.newEndpointLoad
		}
		p.addCandidate(info, candidates, p.newCandidate(info, ep, load, latencyRatio))
	}
	return unhealthy
}

// collectUnobserved adds the unobserved endpoints that belong to the subset.
func (p *picker) collectUnobserved(info *pickInfo, candidates *candidateSet) {
	for ep, weightedRank := range p.endpoints.unobserved.byWeightedRank(info.crossZoneDivisor) {
		if !candidates.admits(weightedRank) {
			return // nor does it admit any that follows
		}
		if p.rules.allows(info.request, ep, info.now) {
			p.addCandidate(info, candidates, p.newCandidate(info, ep, info.newEndpointLoad, 1))
		}
	}
}

// addCandidate adds a candidate to the subset or, if it is observed, to those outside. Unobserved endpoints
// outside the subset are not listed.
func (p *picker) addCandidate(info *pickInfo, candidates *candidateSet, c candidate) {
	excluded, isExcluded := candidates.insert(c)
	if !isExcluded || !excluded.endpoint.isObserved {
		return
	}
	if excluded.isConnected || info.isWarmingMember(excluded.endpoint) {
		candidates.connected = append(candidates.connected, excluded)
		return
	}
	candidates.fallbacks = append(candidates.fallbacks, fallback{excluded.endpoint, excluded.weight})
}

// isWarmingMember reports whether an endpoint belongs to the subset without a connection since it warms
// up: in a fleet that is large for its agents' subsets most agents would otherwise never send to it.
func (info *pickInfo) isWarmingMember(ep *endpoint) bool {
	return ep.warmUp.isActive && largeFleetSubsetMultiple*info.targetSubsetSize < float64(info.fleet.serving)
}

// isEligible reports whether an observed endpoint may get the request, ejections aside. It renews a slow
// start permit that has lapsed.
func (p *picker) isEligible(info *pickInfo, ep *endpoint) bool {
	r := info.request
	hasJustFailed := ep == r.lastFailed && info.fleet.serving > 1
	if ep.State != Serving || hasJustFailed || info.now < ep.ejection.skippedUntil {
		return false
	}
	if !p.rules.allows(r, ep, info.now) {
		return false
	}
	if !p.slowStart.needsPermit(ep, info.now) {
		return true
	}
	p.slowStart.renewExpiredPermit(ep, info.now, r.class.meanLatencyNs, info.fleet)
	return ep.warmUp.allows(r, info.now)
}

// newCandidate weighs an endpoint: by its size, less while it warms up or is slower than others, and less
// where crossing zones has a price.
func (p *picker) newCandidate(info *pickInfo, ep *endpoint, load, latencyRatio float64) candidate {
	c := candidate{
		endpoint:       ep,
		load:           load,
		latencyRatio:   latencyRatio,
		warmUpFraction: p.slowStart.updateWarmUp(ep, info.now),
		isConnected:    ep.isConnected(info.now, p.settings.IdleClose),
	}
	// Cubed: an even choice would load slow endpoints as much as others.
	penalty := latencyRatio * latencyRatio * latencyRatio
	c.weight = ep.size() * c.warmUpFraction / penalty
	if ep.Zone != p.settings.Zone {
		c.weight /= info.crossZoneDivisor
	}
	c.weightedRank = ep.rank / c.weight
	if c.isConnected {
		c.weightedRank *= connectedRankFactor
	}
	return c
}

// selectIdleAndBusy draws an idle candidate of each tier by weight, and takes the least loaded busy one.
func (p *picker) selectIdleAndBusy(
	info *pickInfo, candidates []candidate,
) (idle [tierCount]*endpoint, busy *endpoint) {
	minLoad := math.Inf(1)
	minKeys := [tierCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	for position := range candidates {
		c := &candidates[position]
		if !c.isIdle() {
			if load := p.jitteredLoad(c); load < minLoad {
				busy, minLoad = c.endpoint, load
			}
			continue
		}
		tier := p.tier(info, c, position)
		if key := p.drawSamplingKey(info.request, c); key < minKeys[tier] {
			idle[tier], minKeys[tier] = c.endpoint, key
		}
	}
	return idle, busy
}

// jitteredLoad is the load that a busy candidate would have with this attempt, over its speed.
func (p *picker) jitteredLoad(c *candidate) float64 {
	load := (c.load + 1) * c.latencyRatio / c.warmUpFraction
	return load * (1 + loadJitter*p.rng.Float64())
}

// tier is the tier of an idle candidate at a position in the order of weighted rank. With cache affinity the
// subset does not matter while requests over new connections are served on time as often as others.
func (p *picker) tier(info *pickInfo, c *candidate, position int) int {
	isSubsetIgnored := p.settings.CacheAffinity && info.request.class.newConnectionsAreOnTime()
	isWarmingMember := (c.endpoint.warmUp.isActive && c.isConnected) || info.isWarmingMember(c.endpoint)
	switch {
	case float64(position) < info.targetSubsetSize || isSubsetIgnored || isWarmingMember:
		return tierSubset
	case c.isConnected:
		return tierConnected
	default:
		return tierUnconnected
	}
}

// drawSamplingKey draws an exponential time at the rate of the candidate's weight: the candidate with the least time
// is a random choice by weight. With cache affinity all agents draw alike for a key (rendezvous hashing), so
// that it goes to the endpoint that has cached it.
func (p *picker) drawSamplingKey(r *request, c *candidate) float64 {
	uniform := p.rng.Float64() // in any case, which keeps the sequence of random draws
	if p.settings.CacheAffinity && r.keyHash != 0 {
		uniform = rendezvousUniform(c.endpoint.hash, r.keyHash)
	}
	return -math.Log(max(uniform, minUniform)) / c.weight
}

// rendezvousUniform is a random number in [0, 1), the same at every agent for an endpoint and a key.
func rendezvousUniform(endpointHash, keyHash uint64) float64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], endpointHash)
	binary.LittleEndian.PutUint64(pair[8:], keyHash)
	return float64(xxhash.Sum64(pair[:])>>(hashBits-uniformBits)) / (1 << uniformBits)
}

// drawFallback draws an endpoint that is neither in the subset nor connected, by weight; nil if none was
// found. An unobserved endpoint of the subset may be drawn as well, but it is idle and would have been chosen
// before. All draws are made even if there is nothing to draw from.
func (p *picker) drawFallback(info *pickInfo, candidates *candidateSet) *endpoint {
	unobserved := &p.endpoints.unobserved
	observedWeight := candidates.fallbackWeight()
	ownZoneWeight := float64(len(unobserved.ownZone)) * unobserved.maxSize
	otherZonesWeight := float64(len(unobserved.otherZones)) * unobserved.maxSize / info.crossZoneDivisor
	for range maxFallbackDraws {
		target := p.rng.Float64() * (observedWeight + ownZoneWeight + otherZonesWeight)
		if target < observedWeight {
			return candidates.fallbackAt(target)
		}
		ranked := unobserved.otherZones
		if target < observedWeight+ownZoneWeight {
			ranked = unobserved.ownZone
		}
		if ep := p.drawUnobserved(info, ranked); ep != nil {
			return ep
		}
	}
	return nil
}

// drawUnobserved draws an unobserved endpoint by size; nil if it has to be drawn again. It samples by
// rejection: an endpoint is drawn evenly, and accepted with the probability of its size over the largest one.
func (p *picker) drawUnobserved(info *pickInfo, ranked rankedEndpoints) *endpoint {
	if len(ranked) == 0 {
		return nil
	}
	ep := ranked[p.rng.IntN(len(ranked))]
	isAccepted := p.rng.Float64()*p.endpoints.unobserved.maxSize < ep.size()
	if !isAccepted || !p.rules.allows(info.request, ep, info.now) {
		return nil
	}
	return ep
}

// crossZoneDivisor divides the weights of endpoints in other zones. It is 1 where the fleet is so crowded
// that crossing zones is worth its price.
func (p *picker) crossZoneDivisor(now time.Duration, fleet fleetSummary) float64 {
	if p.isFleetOverloaded(now, fleet) {
		return 1
	}
	return 1 + crossZonePriceFactor*p.settings.CrossZonePrice
}

// isFleetOverloaded reports whether the fleet is short of capacity: the concurrency limit has fallen within the time
// of a slow start or, where the throttle stands in for the limit, too few requests are served on time.
func (p *picker) isFleetOverloaded(now time.Duration, fleet fleetSummary) bool {
	if p.limiter.leastLimitIsBelow(1, fleet) {
		return p.traffic.excessSent(overloadedSentPerOnTime) > 0
	}
	return now-p.limiter.decreasedAt <= p.settings.SlowStartDuration
}

// meanLoad is the mean load, in attempts, of the endpoints that have served something.
func (p *picker) meanLoad(now time.Duration) float64 {
	sum, count := 0.0, 0
	for _, ep := range p.endpoints.observed {
		if ep.State == Serving && ep.responses.hasServed {
			sum += loadOf(ep, now)
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// loadOf is the number of attempts in flight at an endpoint, as loadAndLatencyRatio counts them.
func loadOf(ep *endpoint, now time.Duration) float64 {
	load, _ := loadAndLatencyRatio(ep, now)
	return load
}

// loadAndLatencyRatio are the attempts in flight at an endpoint, less those that are overdue although a later
// one was answered, and its latency over the expected one, by its responses or its oldest attempt in flight.
func loadAndLatencyRatio(ep *endpoint, now time.Duration) (load, latencyRatio float64) {
	load, latencyRatio = float64(len(ep.inFlight)), ep.responses.ratio()
	for _, a := range ep.inFlight {
		// While the endpoint warms up no attempt counts as lost.
		if a.sentAt > ep.connection.lastAnsweredSentAt || ep.warmUp.isActive {
			return load, max(latencyRatio, a.latencyRatio(now-a.sentAt)*inFlightLatencyFactor)
		}
		if a.isOverdue(now) {
			load--
		}
	}
	return load, latencyRatio
}
