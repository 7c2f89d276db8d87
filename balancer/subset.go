package balancer

import (
	"cmp"
	"slices"
)

const (
	// minSubsetSize is the target size of the subset, in endpoints, of an agent without attempts in flight.
	minSubsetSize = 2.0
	// subsetGrowthPerAttempt is the number of endpoints that each attempt of the recent peak in flight adds
	// to the target size of the subset.
	subsetGrowthPerAttempt = 0.5
	// connectedRankFactor multiplies the weighted rank of a connected endpoint, which moves it forward in the
	// order.
	connectedRankFactor = 0.5
)

// candidate is an endpoint that may get the request.
type candidate struct {
	endpoint       *endpoint
	load           float64 // see loadAndLatencyRatio; pickInfo.newEndpointLoad for a new endpoint
	latencyRatio   float64 // latency over the expected latency
	warmUpFraction float64 // share of the full capacity
	isConnected    bool
	weight         float64 // relative probability in a random choice
	weightedRank   float64 // rank over weight; the agent's order of the endpoints is ascending by it
}

// isIdle reports whether a new attempt would not queue behind another one.
func (c *candidate) isIdle() bool { return c.load < 1 || !c.isConnected }

func compareWeightedRank(x, y candidate) int { return cmp.Compare(x.weightedRank, y.weightedRank) }

// fallback is a candidate that is neither in the subset nor connected.
type fallback struct {
	endpoint *endpoint
	weight   float64 // relative probability in a random choice
}

// candidateSet holds the candidates of one pick. An agent sends to a subset of the endpoints: the first ones
// in a random order that is specific to the agent. Connections from every agent to every endpoint would
// exhaust the connection tables.
type candidateSet struct {
	subsetSize int         // maximum number of candidates in the subset
	members    []candidate // the subset; mergeConnected adds the connected candidates outside the subset
	connected  []candidate // candidates outside the subset that are connected or warming members
	fallbacks  []fallback  // observed candidates outside the subset without a connection
}

// reset empties the set and keeps its memory.
func (s *candidateSet) reset(subsetSize int) {
	s.subsetSize = subsetSize
	s.members, s.connected, s.fallbacks = s.members[:0], s.connected[:0], s.fallbacks[:0]
}

// admits reports whether a candidate with this weighted rank would belong to the subset.
func (s *candidateSet) admits(weightedRank float64) bool {
	if len(s.members) < s.subsetSize {
		return true
	}
	return weightedRank < s.members[len(s.members)-1].weightedRank
}

// insert adds a candidate to the subset if it belongs there. If the subset is full, it returns the candidate
// that is excluded: c, or the one that c displaces.
func (s *candidateSet) insert(c candidate) (excluded candidate, isExcluded bool) {
	if len(s.members) < s.subsetSize {
		s.members = append(s.members, c)
		if len(s.members) == s.subsetSize {
			slices.SortFunc(s.members, compareWeightedRank)
		}
		return candidate{}, false
	}
	if !s.admits(c.weightedRank) {
		return c, true
	}
	last := len(s.members) - 1
	displaced := s.members[last]
	position, _ := slices.BinarySearchFunc(s.members, c, compareWeightedRank)
	copy(s.members[position+1:], s.members[position:last])
	s.members[position] = c
	return displaced, true
}

// mergeConnected adds the connected candidates to the members and sorts all of them by weighted rank.
func (s *candidateSet) mergeConnected() {
	s.members = append(s.members, s.connected...)
	slices.SortFunc(s.members, compareWeightedRank)
}

// fallbackWeight returns the sum of the weights of the fallbacks.
func (s *candidateSet) fallbackWeight() float64 {
	sum := 0.0
	for _, f := range s.fallbacks {
		sum += f.weight
	}
	return sum
}

// fallbackAt returns the fallback at which the cumulative weight exceeds target. There is at least one.
func (s *candidateSet) fallbackAt(target float64) *endpoint {
	for _, f := range s.fallbacks {
		target -= f.weight
		if target < 0 {
			return f.endpoint
		}
	}
	return s.fallbacks[len(s.fallbacks)-1].endpoint
}
