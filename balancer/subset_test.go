package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// An agent with little traffic uses few endpoints, and one with more traffic as many as it needs. If each
// agent connected to every endpoint, the connection tables of the endpoints would fill up.
func TestSubsetGrowsWithTraffic(t *testing.T) {
	s := settings()
	s.IdleClose = time.Minute
	h := newHarness(t, s, 2, endpoints(20))
	if used := len(h.serve(300, idempotent, 20*ms)); used != 2 {
		t.Errorf("one request at a time: %d endpoints used, want 2", used)
	}
	if used := len(h.burst("q", 12, idempotent)); used < 6 || used > 9 {
		t.Errorf("12 requests at once: %d endpoints used, want 6 to 9", used)
	}
	for i := range 12 {
		h.outcome(fmt.Sprint("q", i), balancer.Served, 20*ms)
	}
	// All connections have closed, and the next requests open new ones.
	h.now += 2 * time.Minute
	// The latencies measured in the meantime may have replaced an endpoint of the subset.
	if used := len(h.serve(300, idempotent, 20*ms)); used > 3 {
		t.Errorf("after all connections closed: %d endpoints used, want at most 3", used)
	}
}

// An endpoint that rejects requests leaves the subset, so that the agent uses other endpoints.
func TestRejectingEndpointLeavesSubset(t *testing.T) {
	h := newHarness(t, settings(), 5, endpoints(20))
	first := h.serve(40, idempotent, 20*ms)
	for i := range 30 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		h.now += 20 * ms
		if first[h.firstEndpoint(id)] > 0 {
			h.outcome(id, balancer.Rejected, ms)
			h.advance(100 * ms)
		}
		h.outcome(id, balancer.Served, 20*ms)
	}
	sentToRejecting := 0
	for endpoint, n := range h.serve(40, idempotent, 20*ms) {
		if first[endpoint] > 0 {
			sentToRejecting += n
		}
	}
	if sentToRejecting > 8 {
		t.Errorf("%d of 40 requests went to the endpoints that rejected requests, want at most 8", sentToRejecting)
	}
}

// An endpoint that times out or rejects a request leaves the subset. One that returns an error keeps its
// connection, and is in the subset again after its ejection.
func TestSubsetAfterFailure(t *testing.T) {
	tests := []struct {
		name         string
		result       balancer.Result
		wantInSubset bool
	}{
		{"server error", balancer.ServerError, true},
		{"time-out", balancer.TimedOut, false},
		{"rejection", balancer.Rejected, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, settings(), 5, endpoints(20))
			h.serve(40, idempotent, 20*ms)
			h.request("q", notIdempotent)
			failed := h.firstEndpoint("q")
			h.outcomeAfter("q", tt.result, ms)
			h.step(balancer.Abandoned{Request: "q"})
			h.advance(2 * time.Second)
			if n := h.serve(60, idempotent, 20*ms)[failed]; n > 0 != tt.wantInSubset {
				t.Errorf("the failed endpoint got %d of 60 requests, want it in the subset: %v", n, tt.wantInSubset)
			}
		})
	}
}

// Endpoints that are added to the list, for example when a zone returns, get their share of the traffic of
// all agents once they are warm, although agents prefer endpoints that they are connected to. The counts are
// sums over several fleets, since those of one fleet vary by a fifth.
func TestAddedEndpointsGetTheirShare(t *testing.T) {
	const fleets, agents, added, requests = 5, 80, 20, 40
	served, unused, maxUsed := 0, 0, 0
	for fleet := range uint64(fleets) {
		counts := map[string]int{}
		for i := range uint64(agents) {
			agentCounts := servedAfterAddition(t, agents, 1000*fleet+i, added, requests)
			maxUsed = max(maxUsed, len(agentCounts))
			for id, n := range agentCounts {
				counts[id] += n
			}
		}
		for i := range added {
			n := counts[addedID(i)]
			served += n
			if n == 0 {
				unused++
			}
		}
	}
	// A third of the endpoints are new. Agents are slow to leave those that they are connected to, so that up
	// to half of the new ones (10 of 20 in each fleet) may get no requests.
	if all := requests * agents * fleets; served < all/8 || served > all/2 || unused > 10*fleets {
		t.Errorf("20 new endpoints of 60 got %d of %d requests, want 1/8 to 1/2; %d of %d got none, want at most half",
			served, all, unused, added*fleets)
	}
	if maxUsed > 8 {
		t.Errorf("an agent with little traffic used %d endpoints, want at most 8", maxUsed)
	}
}

// addedID returns the ID of an added endpoint.
func addedID(i int) string { return fmt.Sprint("new", i) }

// servedAfterAddition has an agent serve requests with 40 endpoints, adds further endpoints and waits until
// they are warm. It returns how many of the following requests each endpoint gets. The index of the agent is
// the seed modulo the number of agents, so that consecutive seeds make up a fleet.
func servedAfterAddition(t *testing.T, agents int, seed uint64, added, requests int) map[string]int {
	t.Helper()
	s := settings()
	s.Agents, s.AgentIndex = agents, int(seed%uint64(agents))
	var list []balancer.Endpoint
	for i := range 40 {
		list = append(list, balancer.Endpoint{ID: fmt.Sprint("old", i)})
	}
	h := newHarness(t, s, seed, list)
	h.serve(40, idempotent, 50*ms)
	for i := range added {
		list = append(list, balancer.Endpoint{ID: addedID(i), StartedAt: h.now})
	}
	h.replaceList(list...)
	h.advance(s.SlowStartDuration)
	return h.serve(requests, idempotent, 50*ms)
}
