package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// An endpoint that drains, was removed, or is missing from a complete list gets no requests.
func TestNoRequestsToDrainingOrRemoved(t *testing.T) {
	tests := []struct {
		name string
		list balancer.EndpointList
	}{
		{"draining", balancer.EndpointList{Kind: balancer.ListDelta,
			Endpoints: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}}},
		{"removed", balancer.EndpointList{Kind: balancer.ListDelta,
			Endpoints: []balancer.Endpoint{{ID: "a", State: balancer.Removed}}}},
		{"missing from a complete list", balancer.EndpointList{Kind: balancer.ListComplete,
			Endpoints: endpoints(3)[1:]}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, settings(), 1, endpoints(3))
			h.step(tt.list)
			if n := h.serve(100, idempotent, 20*ms)["a"]; n > 0 {
				t.Errorf("the endpoint got %d of 100 requests, want none", n)
			}
		})
	}
}

// An endpoint that starts to drain during the backoff of a request does not get the retry.
func TestDrainingDuringBackoff(t *testing.T) {
	for seed := range uint64(20) {
		h := newHarness(t, settings(), seed, endpoints(2))
		h.request("q", idempotent)
		other := map[string]string{"a": "b", "b": "a"}[h.firstEndpoint("q")]
		h.outcomeAfter("q", balancer.ServerError, ms)
		h.updateList(balancer.Endpoint{ID: other, State: balancer.Draining})
		h.advance(time.Second)
		if slices.Contains(h.sent["q"][1:], other) {
			t.Fatalf("seed %d: a retry went to the draining endpoint, want it elsewhere", seed)
		}
	}
}

// An endpoint that was removed and started again under the same ID gets its share of the traffic once it is
// warm.
func TestReaddedEndpointGetsTraffic(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	h.serve(50, idempotent, 20*ms)
	h.updateList(balancer.Endpoint{ID: "a", State: balancer.Removed})
	h.updateList(balancer.Endpoint{ID: "a", StartedAt: h.now})
	h.serve(400, idempotent, 20*ms)
	h.advance(10 * time.Second)
	if n := h.serve(200, idempotent, 20*ms)["a"]; n < 50 {
		t.Errorf("the restarted endpoint got %d of 200 requests once warm, want at least 50", n)
	}
}

// The state of a removed endpoint is deleted once its last attempt has its outcome. Otherwise memory would
// grow with every endpoint ever listed.
func TestRemovedEndpointsAreDeleted(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(1))
	for i := range 100 {
		id := fmt.Sprint("q", i)
		h.request(id, notIdempotent)
		h.replaceList(balancer.Endpoint{ID: fmt.Sprint("s", i)})
		if len(h.sent[id]) > 0 {
			h.outcome(id, balancer.Served, 10*ms)
		}
		h.updateList(balancer.Endpoint{ID: "never listed", State: balancer.Removed})
	}
	if n := h.balancer.EndpointCount(); n != 1 {
		t.Errorf("state of %d endpoints is kept, want 1", n)
	}
}

// After any sequence of lists and outcomes, each endpoint is either observed or listed by rank among the
// unobserved ones.
func TestEndpointSetInvariants(t *testing.T) {
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
			if err := h.balancer.ValidateEndpointSet(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, i, err)
			}
		}
	}
}

// randomList returns a complete list or changes to one, with up to 40 different endpoints.
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
