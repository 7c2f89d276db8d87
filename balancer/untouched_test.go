package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Each endpoint is kept in the one place where it belongs, whatever the lists say and the requests teach.
func TestPlacesOfEndpoints(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		s := settings()
		s.SlowStartDuration = time.Second
		h := newHarness(t, s, seed, nil)
		for i := range 400 {
			h.step(randomList(rng, h.now))
			id := fmt.Sprint("q", i)
			h.request(id, rng.IntN(5))
			h.now += time.Duration(rng.IntN(40)) * ms
			if len(h.sent[id]) > 0 {
				h.outcome(id, balancer.Result(rng.IntN(9)), ms)
			}
			h.advance(time.Duration(rng.IntN(200)) * ms)
			if err := h.balancer.CheckOrder(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, i, err)
			}
		}
	}
}

// randomList is a list, or changes of one, of up to forty endpoints.
func randomList(rng *rand.Rand, now time.Duration) balancer.EndpointList {
	list := balancer.EndpointList{Kind: balancer.ListDelta}
	entries := rng.IntN(4)
	if rng.IntN(50) == 0 {
		list.Kind, entries = balancer.ListComplete, 30
	}
	for range entries {
		entry := balancer.Endpoint{ID: fmt.Sprint("e", rng.IntN(40)), Zone: rng.IntN(2), Cell: rng.IntN(3)}
		if rng.IntN(5) == 0 {
			entry.State = balancer.EndpointState(rng.IntN(3))
		}
		if rng.IntN(5) == 0 {
			entry.Weight = float64(rng.IntN(4))
		}
		if rng.IntN(10) == 0 {
			entry.StartedAt = now
		}
		list.Endpoints = append(list.Endpoints, entry)
	}
	return list
}

// With sizes, and where all that are known are busy, an agent's new endpoints are drawn by their size.
func TestOthersAreDrawnBySize(t *testing.T) {
	counts := map[float64]int{}
	for seed := range uint64(60) {
		var list []balancer.Endpoint
		for i := range 40 {
			list = append(list, balancer.Endpoint{ID: fmt.Sprint("e", i), Weight: float64(1 + 3*(i%2))})
		}
		h := newHarness(t, settings(), seed, list)
		for i := range 40 { // none is answered
			id := fmt.Sprint("q", i)
			if h.request(id, idempotent); len(h.sent[id]) == 1 && i >= 10 && i < 20 {
				counts[endpointSize(list, h.sent[id][0])]++
			}
		}
	}
	if counts[4] < 2*counts[1] {
		t.Errorf("endpoints of four times the size got %d requests, the others %d", counts[4], counts[1])
	}
}

func endpointSize(list []balancer.Endpoint, id string) float64 {
	for _, entry := range list {
		if entry.ID == id {
			return entry.Weight
		}
	}
	return 0
}
