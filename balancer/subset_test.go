package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Many agents that each connect to every endpoint fill its connection table. An agent with little traffic
// uses a few endpoints, one with more traffic as many as it needs.
func TestSubset(t *testing.T) {
	s := settings()
	s.IdleClose = time.Minute
	h := newHarness(t, s, 2, endpoints(20))
	counts := h.serve(300, idempotent, 20*ms)
	if len(counts) != 2 {
		t.Errorf("one request at a time used %d endpoints, want 2", len(counts))
	}
	used := map[string]bool{}
	for i := range 12 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		used[h.sent[id][0]] = true
	}
	if len(used) < 6 || len(used) > 9 {
		t.Errorf("twelve at once used %d endpoints, want about two on each", len(used))
	}
	for i := range 12 {
		h.outcome(fmt.Sprint("q", i), balancer.Served, 20*ms)
	}
	h.now += 2 * time.Minute // all connections have closed; the next few open new ones
	later := h.serve(300, idempotent, 20*ms)
	if len(later) > 3 { // what it learns of their speeds may move one in and one out
		t.Errorf("after its connections closed it used %d endpoints, want about 2", len(later))
	}
}

// An endpoint that rejects requests leaves the subset, so that an agent comes to use others.
func TestRejectingEndpointLeavesTheSubset(t *testing.T) {
	h := newHarness(t, settings(), 5, endpoints(20))
	first := h.serve(40, idempotent, 20*ms)
	for i := range 30 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		h.now += 20 * ms
		if b := h.sent[id][0]; first[b] > 0 {
			h.outcome(id, balancer.Rejected, ms)
			h.advance(100 * ms)
		}
		h.outcome(id, balancer.Served, 20*ms)
	}
	stayed := 0
	for b, n := range h.serve(40, idempotent, 20*ms) {
		if first[b] > 0 {
			stayed += n
		}
	}
	if stayed > 8 {
		t.Errorf("%d of 40 still go to the two that rejected requests", stayed)
	}
}

// An endpoint that gave no response leaves the subset; one that answered with an error still has a good
// connection, and returns to the subset after its ejection.
func TestWhatLeavesTheSubset(t *testing.T) {
	for res, stays := range map[balancer.Result]bool{balancer.ServerError: true, balancer.TimedOut: false,
		balancer.Rejected: false} {
		h := newHarness(t, settings(), 5, endpoints(20))
		h.serve(40, idempotent, 20*ms)
		h.request("q", notIdempotent)
		bad := h.sent["q"][0]
		h.now += ms
		h.outcome("q", res, ms)
		h.step(balancer.Abandoned{Request: "q"})
		h.advance(2 * time.Second)
		if n := h.serve(60, idempotent, 20*ms)[bad]; n > 0 != stays {
			t.Errorf("after result %d it got %d of 60, want some: %v", res, n, stays)
		}
	}
}

// Agents must not stay with the endpoints that they are connected to while others join, or a zone returns:
// new endpoints get their share of all agents' traffic once they are warm. In the mean of a few fleets, since one swings
// by a fifth.
func TestNewEndpointsGetTheirShare(t *testing.T) {
	const fleets, agents, newcomers, requests = 5, 80, 20, 40
	late, idle, widest := 0, 0, 0
	for fleet := range uint64(fleets) {
		counts := map[string]int{}
		for i := range uint64(agents) {
			part := newcomersShare(t, agents, 1000*fleet+i, requests)
			widest = max(widest, len(part))
			for id, n := range part {
				counts[id] += n
			}
		}
		for i := range newcomers {
			n := counts[newcomerID(i)]
			late += n
			if n == 0 {
				idle++
			}
		}
	}
	// A third of the endpoints; agents are slow to leave those that they know.
	if total := requests * agents * fleets; late < total/8 || late > total/2 || idle > 10*fleets {
		t.Errorf("20 newcomers of 60 got %d of %d requests, and %d of %d none", late, total, idle, newcomers*fleets)
	}
	if widest > 8 {
		t.Errorf("a quiet agent used %d endpoints, want a few: each takes only so many connections", widest)
	}
}

func newcomerID(i int) string { return fmt.Sprint("new", i) }

// newcomersShare has an agent serve some requests with 40 endpoints, then 20 more join and get warm. It returns how many
// of so many further requests each endpoint gets.
func newcomersShare(t *testing.T, agents int, seed uint64, requests int) map[string]int {
	t.Helper()
	s := settings()
	s.Agents, s.AgentIndex = agents, int(seed%uint64(agents))
	var list []balancer.Endpoint
	for i := range 40 {
		list = append(list, balancer.Endpoint{ID: fmt.Sprint("old", i)})
	}
	h := newHarness(t, s, seed, list)
	h.serve(40, idempotent, 50*ms)
	for i := range 20 {
		list = append(list, balancer.Endpoint{ID: newcomerID(i), StartedAt: h.now})
	}
	h.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: list})
	h.advance(s.SlowStartDuration)
	return h.serve(requests, idempotent, 50*ms)
}
