package balancer_test

import (
	"fmt"
	"testing"

	"ashshunt/balancer"
)

// If all observed endpoints are busy, further endpoints are drawn by their listed weight.
func TestUnobservedAreDrawnByWeight(t *testing.T) {
	const small, large = 1, 4
	var list []balancer.Endpoint
	weights := map[string]float64{}
	for i := range 40 {
		entry := balancer.Endpoint{ID: fmt.Sprint("e", i), Weight: float64(small + (large-small)*(i%2))}
		list = append(list, entry)
		weights[entry.ID] = entry.Weight
	}
	counts := map[float64]int{}
	for seed := range uint64(60) {
		h := newHarness(t, settings(), seed, list)
		for i := range 40 { // no request gets a response
			id := fmt.Sprint("q", i)
			if h.request(id, idempotent); len(h.sent[id]) == 1 && i >= 10 && i < 20 {
				counts[weights[h.sent[id][0]]]++
			}
		}
	}
	if counts[large] < 2*counts[small] {
		t.Errorf("large endpoints got %d requests and small ones %d, want a ratio of at least 2",
			counts[large], counts[small])
	}
}
