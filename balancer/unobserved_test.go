package balancer_test

import (
	"fmt"
	"testing"

	"ashshunt/balancer"
)

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
