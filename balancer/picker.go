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
	// crossZonePriceFactor is the factor that turns Settings.CrossZonePrice into a reduction of weights: the
	// weights of endpoints in other zones are divided by 1 + crossZonePriceFactor*CrossZonePrice.
	crossZonePriceFactor = 200.0
	// overloadedSentPerOnTime is the number of requests sent per request served on time above which the fleet
	// counts as overloaded where the throttle replaces the concurrency limit.
	overloadedSentPerOnTime = 1.15
	// maxLoadLimitMultiple bounds the attempts that one agent has in flight at one endpoint, as a multiple of
	// the agent's share of the concurrency limit per endpoint.
	maxLoadLimitMultiple = 3.0
	// newConnectionLoad is the number of attempts in flight at the least loaded endpoint from which on the
	// picker opens a connection to a further endpoint.
	newConnectionLoad = 2
	// minMaxLoad is the minimum of pickInfo.maxLoad, in attempts in flight.
	minMaxLoad = newConnectionLoad
	// largeFleetSubsetMultiple is the number of serving endpoints, as a multiple of the target subset size,
	// above which a fleet counts as large.
	largeFleetSubsetMultiple = 2
	// inFlightLatencyFactor is the share of the age of an attempt in flight that counts as a latency of its
	// endpoint.
	inFlightLatencyFactor = 0.5
	// loadJitter is the maximum random increase of a load, as a share of the load. It breaks ties.
	loadJitter = 0.01
	// minUniform is the minimum of a uniform random number whose logarithm is taken, which keeps the
	// logarithm finite.
	minUniform = 1e-12
	// maxFallbackDraws bounds the draws of one fallback endpoint. A draw fails if rejection sampling rejects
	// the endpoint or if the rules do not allow the attempt there.
	maxFallbackDraws = 50
	// uniformBits is the number of random bits in a float64 in [0, 1). hashBits is the number of bits in a
	// hash.
	uniformBits = 53
	hashBits    = 64
)

// Tiers of idle candidates, in order of preference.
const (
	tierSubset      = iota // in the subset, or treated as a member of it
	tierConnected          // outside the subset, with a connection
	tierUnconnected        // outside the subset, without a connection; occurs only with cache affinity
	tierCount
)

// picker selects the endpoint of an attempt: an idle one at random, by weight, or the least loaded one if
// none is idle. It keeps no state between picks.
type picker struct {
	settings   *Settings
	rng        *rand.Rand
	rules      *attemptRules
	limiter    *concurrencyLimiter
	traffic    *trafficStats
	slowStart  *slowStart
	endpoints  *endpointSet
	candidates candidateSet // rebuilt by each pick, which reuses its memory
}

// pickInfo holds the inputs of one pick that are common to all endpoints.
type pickInfo struct {
	request          *request
	now              time.Duration
	fleet            fleetSummary
	targetSubsetSize float64 // number of endpoints in the subset before rounding up
	crossZoneDivisor float64 // divides the weights of endpoints in other zones; multiplies their ranks
	newEndpointLoad  float64 // load assumed for an endpoint that has not served anything yet, in attempts
	maxLoad          float64 // load at which an endpoint gets no further attempt, in attempts
}

// pick selects an endpoint for a request. It prefers an idle endpoint in the subset or with a connection. If
// there is none, it selects the least loaded one, or an unconnected one if the least loaded one has a load of
// newConnectionLoad or more. If no endpoint is healthy, it selects an unhealthy one of low ejection level and
// load. It returns nil if no endpoint may get the request now.
func (p *picker) pick(r *request, now time.Duration, fleet fleetSummary) *endpoint {
	info := p.newPickInfo(r, now, fleet, minSubsetSize+subsetGrowthPerAttempt*p.traffic.peakInFlight)
	candidates := &p.candidates
	unhealthy := p.collectCandidates(&info, candidates)
	idle, busy := p.selectIdleAndBusy(&info, candidates.members)
	if preferred := cmp.Or(idle[tierSubset], idle[tierConnected]); preferred != nil {
		return preferred
	}
	// Uses the endpoint's actual load: the candidate of a new endpoint has newEndpointLoad instead.
	if busy == nil || loadOf(busy, now) >= newConnectionLoad {
		// Drawn even if idle[tierUnconnected] is used, so that later random draws stay the same.
		fallback := p.drawFallback(&info, candidates)
		if unconnected := cmp.Or(idle[tierUnconnected], fallback); unconnected != nil {
			return unconnected
		}
	}
	return cmp.Or(busy, unhealthy)
}

// newPickInfo returns the inputs of a pick for a request.
func (p *picker) newPickInfo(
	r *request, now time.Duration, fleet fleetSummary, targetSubsetSize float64,
) pickInfo {
	return pickInfo{
		request:          r,
		now:              now,
		fleet:            fleet,
		targetSubsetSize: targetSubsetSize,
		crossZoneDivisor: p.crossZoneDivisor(now, fleet),
		newEndpointLoad:  p.meanLoad(now),
		maxLoad:          max(minMaxLoad, p.limiter.endpointLimitShare(maxLoadLimitMultiple)),
	}
}

// collectCandidates fills candidates and returns an unhealthy endpoint of low ejection level and load, or nil
// if there is none.
func (p *picker) collectCandidates(info *pickInfo, candidates *candidateSet) (unhealthy *endpoint) {
	subsetSize := int(math.Ceil(info.targetSubsetSize))
	if p.settings.CacheAffinity { // the endpoint of a key is drawn from all endpoints
		subsetSize = len(p.endpoints.all)
	}
	candidates.reset(subsetSize)
	unhealthy = p.collectObserved(info, candidates)
	p.collectUnobserved(info, candidates)
	candidates.mergeConnected()
	return unhealthy
}

// collectObserved adds the healthy observed endpoints. It returns an unhealthy observed endpoint of low
// ejection level and load, or nil if there is none.
func (p *picker) collectObserved(info *pickInfo, candidates *candidateSet) (unhealthy *endpoint) {
	minScore := math.Inf(1)
	for _, ep := range p.endpoints.observed {
		load, latencyRatio := loadAndLatencyRatio(ep, info.now)
		if load >= info.maxLoad || !p.isEligible(info, ep) {
			continue
		}
		if !ep.isHealthyFor(info.request.class, info.now) {
			score := ep.ejection.level + p.rng.Float64() + load // selects at random among similar scores
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
			return // the endpoints that follow have higher weighted ranks
		}
		if p.rules.allows(info.request, ep, info.now) {
			p.addCandidate(info, candidates, p.newCandidate(info, ep, info.newEndpointLoad, 1))
		}
	}
}

// addCandidate inserts a candidate into the subset. If one is excluded and observed, it becomes a connected
// or a fallback candidate. Excluded unobserved endpoints are not kept, since drawFallback draws them from the
// set of all unobserved endpoints.
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

// isWarmingMember reports whether an endpoint is treated as a member of the subset, although it may not be
// connected, because it warms up. In a fleet that is large compared to the subset most agents would otherwise
// never send to it.
func (info *pickInfo) isWarmingMember(ep *endpoint) bool {
	return ep.warmUp.isActive && largeFleetSubsetMultiple*info.targetSubsetSize < float64(info.fleet.serving)
}

// isEligible reports whether an observed endpoint may get the request, regardless of ejections. It renews the
// slow start permit of the endpoint if that has expired.
func (p *picker) isEligible(info *pickInfo, ep *endpoint) bool {
	r := info.request
	hasJustFailed := ep == r.lastFailedEndpoint && info.fleet.serving > 1
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

// newCandidate returns an endpoint as a candidate. Its weight is the listed weight of the endpoint times the
// warm-up fraction, divided by the cube of the latency ratio and, in other zones, by crossZoneDivisor.
func (p *picker) newCandidate(info *pickInfo, ep *endpoint, load, latencyRatio float64) candidate {
	c := candidate{
		endpoint:       ep,
		load:           load,
		latencyRatio:   latencyRatio,
		warmUpFraction: p.slowStart.updateWarmUp(ep, info.now),
		isConnected:    ep.isConnected(info.now, p.settings.IdleClose),
	}
	// The ratio is cubed to move load away from slow endpoints. A uniform choice would load them as much as
	// the others.
	penalty := latencyRatio * latencyRatio * latencyRatio
	c.weight = ep.listedWeight() * c.warmUpFraction / penalty
	if ep.Zone != p.settings.Zone {
		c.weight /= info.crossZoneDivisor
	}
	c.weightedRank = ep.rank / c.weight
	if c.isConnected {
		c.weightedRank *= connectedRankFactor
	}
	return c
}

// selectIdleAndBusy draws an idle candidate of each tier, by weight, and selects the least loaded busy
// candidate.
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

// jitteredLoad returns the load that a busy candidate would have with one more attempt, relative to its speed
// and warm-up fraction and with random jitter.
func (p *picker) jitteredLoad(c *candidate) float64 {
	load := (c.load + 1) * c.latencyRatio / c.warmUpFraction
	return load * (1 + loadJitter*p.rng.Float64())
}

// tier returns the tier of an idle candidate, given its position in the order of weighted rank. With cache
// affinity, the subset is ignored while hasOnTimeNewConnections holds for the class of the request.
func (p *picker) tier(info *pickInfo, c *candidate, position int) int {
	isSubsetIgnored := p.settings.CacheAffinity && info.request.class.hasOnTimeNewConnections()
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

// drawSamplingKey draws the key of a candidate for weighted random sampling: an exponential random number
// with the weight as its rate. The candidate with the minimum key is a random choice by weight. With cache
// affinity, the random number is a hash of the endpoint and the request's key (rendezvous hashing), so that
// all agents send a request key to the endpoint that has cached it.
func (p *picker) drawSamplingKey(r *request, c *candidate) float64 {
	// Drawn even for a request with a key, so that later random draws stay the same.
	uniform := p.rng.Float64()
	if p.settings.CacheAffinity && r.keyHash != 0 {
		uniform = rendezvousUniform(c.endpoint.hash, r.keyHash)
	}
	return -math.Log(max(uniform, minUniform)) / c.weight
}

// rendezvousUniform returns a pseudorandom number in [0, 1) that is the same at every agent for an endpoint
// and a request key.
func rendezvousUniform(endpointHash, keyHash uint64) float64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], endpointHash)
	binary.LittleEndian.PutUint64(pair[8:], keyHash)
	return float64(xxhash.Sum64(pair[:])>>(hashBits-uniformBits)) / (1 << uniformBits)
}

// drawFallback draws, by weight, an endpoint that is neither in the subset nor connected. It returns nil if
// no draw succeeds. Unobserved endpoints of the subset are not excluded from the draw: they are idle, and
// pick selects an idle endpoint of the subset before it uses a fallback. If there is nothing to draw from,
// all maxFallbackDraws draws are still made.
func (p *picker) drawFallback(info *pickInfo, candidates *candidateSet) *endpoint {
	unobserved := &p.endpoints.unobserved
	observedWeight := candidates.fallbackWeight()
	ownZoneWeight := float64(len(unobserved.ownZone)) * unobserved.maxWeight
	otherZonesWeight := float64(len(unobserved.otherZones)) * unobserved.maxWeight / info.crossZoneDivisor
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

// drawUnobserved draws an unobserved endpoint with a probability proportional to its listed weight, by
// rejection sampling: it draws one uniformly and accepts it with the probability of its listed weight over
// maxWeight. It returns nil if the endpoint is rejected or the rules do not allow the attempt there.
func (p *picker) drawUnobserved(info *pickInfo, ranked rankedEndpoints) *endpoint {
	if len(ranked) == 0 {
		return nil
	}
	ep := ranked[p.rng.IntN(len(ranked))]
	isAccepted := p.rng.Float64()*p.endpoints.unobserved.maxWeight < ep.listedWeight()
	if !isAccepted || !p.rules.allows(info.request, ep, info.now) {
		return nil
	}
	return ep
}

// crossZoneDivisor returns the divisor of the weights of endpoints in other zones. It is 1 while the fleet is
// overloaded, when crossing zones is worth its price.
func (p *picker) crossZoneDivisor(now time.Duration, fleet fleetSummary) float64 {
	if p.isFleetOverloaded(now, fleet) {
		return 1
	}
	return 1 + crossZonePriceFactor*p.settings.CrossZonePrice
}

// isFleetOverloaded reports whether the fleet is short of capacity: whether the concurrency limit has
// decreased within the last Settings.SlowStartDuration or, where the throttle replaces the limit, whether too
// few requests are served on time.
func (p *picker) isFleetOverloaded(now time.Duration, fleet fleetSummary) bool {
	if p.limiter.isMinLimitBelow(1, fleet) {
		return p.traffic.excessRequests(overloadedSentPerOnTime) > 0
	}
	return now-p.limiter.decreasedAt <= p.settings.SlowStartDuration
}

// meanLoad returns the mean load, in attempts, of the serving endpoints that have served something since they
// started.
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

// loadOf returns the load of an endpoint as loadAndLatencyRatio defines it.
func loadOf(ep *endpoint, now time.Duration) float64 {
	load, _ := loadAndLatencyRatio(ep, now)
	return load
}

// loadAndLatencyRatio returns the load of an endpoint and its latency over the expected latency. The load is
// the number of attempts in flight without those that count as lost: they are overdue, and a later attempt
// has been answered. The latency ratio is the mean of the responses or, if higher, inFlightLatencyFactor
// times the ratio so far of the oldest attempt sent after the latest answered one.
func loadAndLatencyRatio(ep *endpoint, now time.Duration) (load, latencyRatio float64) {
	load, latencyRatio = float64(len(ep.inFlight)), ep.responses.ratio()
	for _, a := range ep.inFlight {
		// While the endpoint warms up, no attempt counts as lost.
		if a.sentAt > ep.connection.lastAnsweredSentAt || ep.warmUp.isActive {
			return load, max(latencyRatio, a.latencyRatio(now-a.sentAt)*inFlightLatencyFactor)
		}
		if a.isOverdue(now) {
			load--
		}
	}
	return load, latencyRatio
}
