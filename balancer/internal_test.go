package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A timer is taken once: by the open request whose latest timer it is, or as the timer for the next
// Subscribe.
func TestTimerTable(t *testing.T) {
	timers := newTimerTable()
	add := func(r *request) int64 {
		r.timerToken = timers.nextToken()
		timers.add(r)
		return r.timerToken
	}
	open, finished := &request{}, &request{phase: phaseFinished}
	voided, latest, ofFinished, subscribe := add(open), add(open), add(finished), timers.nextToken()
	timers.setSubscribe(subscribe)
	tests := []struct {
		name        string
		token       int64
		isSubscribe bool
		request     *request
	}{
		{"voided", voided, false, nil},
		{"latest", latest, false, open},
		{"latest, again", latest, false, nil},
		{"of a finished request", ofFinished, false, nil},
		{"subscribe", subscribe, true, nil},
		{"subscribe, again", subscribe, false, nil},
		{"no timer", 0, false, nil},
	}
	for _, tt := range tests {
		isSubscribe, r := timers.takeSubscribe(tt.token), timers.takeRequest(tt.token)
		if isSubscribe != tt.isSubscribe || r != tt.request {
			t.Errorf("%s: got subscribe %v and request %v, want %v and %v",
				tt.name, isSubscribe, r, tt.isSubscribe, tt.request)
		}
	}
	if len(timers.requests) != 0 {
		t.Errorf("got %d remaining timers, want 0", len(timers.requests))
	}
}

// A token bucket starts full and is refilled up to its capacity. It takes no tokens if it holds fewer than
// requested.
func TestTokenBucket(t *testing.T) {
	bucket := newTokenBucket()
	steps := []struct {
		name       string
		refills    int
		cost, left float64 // tokens
		taken      bool
	}{
		{"new", 0, 5, retryTokenCapacity - 5, true},
		{"refilled up to the capacity", 50, 0, retryTokenCapacity, true},
		{"nearly all tokens", 0, retryTokenCapacity - 5, 5, true},
		{"more than it holds", 0, 10, 5, false},
		{"all that it holds", 0, 5, 0, true},
		{"refilled", 7, 5, 7*successTokenRefill - 5, true},
	}
	for _, step := range steps {
		for range step.refills {
			bucket.refill()
		}
		if taken := bucket.take(step.cost); taken != step.taken || bucket.tokens != step.left {
			t.Errorf("%s: got taken %v with %v tokens left, want %v and %v",
				step.name, taken, bucket.tokens, step.taken, step.left)
		}
	}
}

// Requests with the same key proceed in the order of their arrival, each after the quiet period of the
// previous one. A queue is removed once it is empty and its quiet period has ended.
func TestKeyQueues(t *testing.T) {
	const now, quietUntil = time.Hour, time.Hour + time.Second
	first, second, third := &request{}, &request{}, &request{}
	queues := newKeyQueues()
	for _, r := range []*request{first, second, third} {
		queues.add(r, "k")
	}
	if !first.isNextForKey(now) || second.isNextForKey(now) {
		t.Error("of three requests, want the first one and not the second as next")
	}
	queues.remove(second, now) // before it is next
	first.keyQuietUntil = quietUntil
	if wait := queues.remove(first, now); wait < quietUntil-now {
		t.Errorf("got a wait of %v, want at least the quiet period of %v", wait, quietUntil-now)
	}
	if queues.expire(quietUntil); third.isNextForKey(quietUntil-1) || !third.isNextForKey(quietUntil) {
		t.Error("the third request is not next exactly when the quiet period ends")
	}
	third.keyQuietUntil = quietUntil + time.Second
	queues.remove(third, quietUntil)
	if queues.expire(third.keyQuietUntil - 1); len(queues.byKey) != 1 {
		t.Errorf("got %d queues in the quiet period, want 1", len(queues.byKey))
	}
	if queues.expire(third.keyQuietUntil); len(queues.byKey)+len(queues.quiet) != 0 {
		t.Errorf("got %d queues after the quiet period, want 0", len(queues.byKey))
	}
}

// While latencies are high, the limit is multiplied by limitDecreaseFactor, at most once per mean latency,
// down to the minimum limit. While latencies are low, it increases if it is nearly used up.
func TestLimitIsAdjusted(t *testing.T) {
	const start, meanLatency = 20.0, 100 * time.Millisecond
	fleet := fleetSummary{serving: 5, capacity: 5}
	tests := []struct {
		name      string
		ratio     float64 // latency over objective
		inFlight  float64
		step      time.Duration // time between responses
		low, high float64       // bounds of the final limit per endpoint
	}{
		{"high latency for a moment", 1, 0, 0, start * limitDecreaseFactor, start * limitDecreaseFactor},
		{"high latency for long", 1, 0, 2 * meanLatency, minLimitPerEndpoint, minLimitPerEndpoint},
		{"low latency, limit nearly used up", 0.05, 150, 0, 1.01 * start, 1.5 * start},
		{"low latency, limit not nearly used up", 0.05, 50, 0, start, start},
	}
	for _, tt := range tests {
		limiter := newConcurrencyLimiter(1)
		for range int(initialRatioSamples) {
			limiter.update(0, meanLatency, 0.05, 0, fleet)
		}
		limiter.perEndpoint = start
		for i := range 300 {
			limiter.update(time.Hour+time.Duration(i)*tt.step, meanLatency, tt.ratio, tt.inFlight, fleet)
		}
		if got := limiter.perEndpoint; got < tt.low || got > tt.high {
			t.Errorf("%s: got limit %v, want %v to %v", tt.name, got, tt.low, tt.high)
		}
	}
}

// The throttle closes if this agent's share of the minimum limit is below one attempt, and if the requests
// sent exceed a multiple of those served on time by at least the allowance.
func TestIsThrottled(t *testing.T) {
	tests := []struct {
		name         string
		agents       int
		sent, onTime float64
		want         bool
	}{
		{"allowance used up", 40, excessAllowance, 0, true},
		{"enough served on time", 40, excessAllowance + 9*maxSentPerOnTime, 10, false},
		{"too few served on time", 40, excessAllowance + 11*maxSentPerOnTime, 10, true},
		{"share of exactly one attempt", 8, 100, 0, false},
	}
	for _, tt := range tests {
		limiter, traffic := newConcurrencyLimiter(tt.agents), trafficStats{sent: tt.sent, servedOnTime: tt.onTime}
		if got := isThrottled(&limiter, &traffic, fleetSummary{serving: 2}); got != tt.want {
			t.Errorf("%s: got throttled %v, want %v", tt.name, got, tt.want)
		}
	}
}

// The subset holds the candidates of lowest weighted rank, whatever the order of insertion. Every candidate
// outside the subset is returned by insert exactly once.
func TestCandidateSet(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		all := make([]candidate, rng.IntN(12))
		set := candidateSet{subsetSize: 1 + rng.IntN(6)}
		for i := range all {
			all[i] = candidate{endpoint: &endpoint{}, weightedRank: rng.Float64()}
			admitted := set.admits(all[i].weightedRank)
			excluded, isExcluded := set.insert(all[i])
			if isExcluded {
				set.connected = append(set.connected, excluded)
			}
			if isInSubset := !isExcluded || excluded != all[i]; isInSubset != admitted {
				t.Errorf("seed %d: got admits %v, want %v, as insert did", seed, admitted, isInSubset)
			}
		}
		slices.SortFunc(all, compareWeightedRank)
		subset := slices.SortedFunc(slices.Values(set.members), compareWeightedRank)
		if !slices.Equal(subset, all[:min(set.subsetSize, len(all))]) {
			t.Errorf("seed %d: got subset of size %d: %v, want the first of %v", seed, set.subsetSize, subset, all)
		}
		if set.mergeConnected(); !slices.Equal(set.members, all) {
			t.Errorf("seed %d: got members %v, want %v", seed, set.members, all)
		}
	}
}

// Unobserved endpoints are yielded in the same order as a sort by weighted rank gives, after any additions
// and removals.
func TestUnobservedEndpoints(t *testing.T) {
	const ownZone, crossZoneDivisor = 1, 3.0
	// Factors of the weighted ranks, by zone: a divisor of the weight multiplies the weighted rank.
	zoneFactors := []float64{crossZoneDivisor, 1, crossZoneDivisor}
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 8))
		unobserved := unobservedEndpoints{zone: ownZone}
		weightedRanks := map[*endpoint]float64{}
		var previous *endpoint
		for i := range 80 {
			ep := newEndpoint(Endpoint{Zone: rng.IntN(3), Weight: float64(rng.IntN(3))}, float64(rng.IntN(5)), 1)
			unobserved.add(ep)
			if weightedRanks[ep] = ep.rank / ep.listedWeight() * zoneFactors[ep.Zone]; i%3 == 2 {
				unobserved.remove(previous)
				delete(weightedRanks, previous)
			}
			previous = ep
		}
		want, got := slices.Sorted(maps.Values(weightedRanks)), []float64(nil)
		for ep, weightedRank := range unobserved.byWeightedRank(crossZoneDivisor) {
			got = append(got, weightedRank)
			delete(weightedRanks, ep)
		}
		if !slices.Equal(got, want) || len(weightedRanks) > 0 || unobserved.len() != len(want) {
			t.Errorf("seed %d: got weighted ranks %v, want %v; %d endpoints are missing",
				seed, got, want, len(weightedRanks))
		}
	}
}

// The delay of a Subscribe is uniform between 0 and its maximum, which grows with the number of agents and
// with consecutive failures.
func TestSubscriberDelays(t *testing.T) {
	failures := slices.Repeat([]ListKind{ListFailed}, 20)
	tests := []struct {
		name     string
		agents   int
		spread   time.Duration // Settings.SubscribeSpread; 0: not set
		lists    []ListKind
		maxDelay time.Duration // maximum delay after the last list; 0: no Subscribe
	}{
		{"changes", 64, 0, []ListKind{ListDelta}, 0},
		{"cached list, many agents", 900, 0, []ListKind{ListCached}, 16 * time.Second},
		{"many failures", 1, 0, failures, 8 * time.Second},
		{"many failures, many agents", 900, 0, failures, 64 * time.Second},
		{"failure after a list", 16, 0, []ListKind{ListFailed, ListComplete, ListFailed}, 16 * time.Second},
		{"failure, bounded spread", 900, 3 * time.Second, failures[:1], 3 * time.Second},
		{"refusal, bounded spread", 900, 3 * time.Second, []ListKind{ListRefused}, 6 * time.Second},
	}
	for _, tt := range tests {
		settings := Settings{Agents: tt.agents, Subscribe: true, PollWithin: 64 * time.Second,
			SubscribeSpread: tt.spread, RefusedSubscribeSpread: 2 * tt.spread}
		rng := rand.New(rand.NewPCG(1, 9))
		delays := make([]time.Duration, 300)
		for i := range delays {
			s := subscriber{settings: &settings, rng: rng}
			for _, kind := range tt.lists {
				delays[i], _ = s.handleList(kind)
			}
		}
		low, high := slices.Min(delays), slices.Max(delays)
		if low > tt.maxDelay/10 || high < tt.maxDelay*9/10 || high > tt.maxDelay {
			t.Errorf("%s: got delays from %v to %v, want them uniform from 0 to %v", tt.name, low, high, tt.maxDelay)
		}
	}
}
