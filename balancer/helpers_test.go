package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

const ms = time.Millisecond

// Classes of the test settings, by position.
const (
	idempotent = iota
	notIdempotent
	keyedEverywhere
	keyedInZone
	keyedInCell
)

// settings returns settings with a class for each kind of idempotency, all with an objective of 400 ms.
func settings() balancer.Settings {
	class := func(idempotency balancer.Idempotency, scope balancer.DedupScope) balancer.Class {
		return balancer.Class{Objective: 400 * ms, Deadline: 2000 * ms, Priority: 1,
			Idempotency: idempotency, DedupScope: scope, DedupWindow: 300 * ms}
	}
	return balancer.Settings{
		Agents: 1, MaxAttempts: 4, Tick: 5 * ms,
		Classes: []balancer.Class{
			class(balancer.Idempotent, 0),
			class(balancer.NotIdempotent, 0),
			class(balancer.IdempotentWithKey, balancer.DedupEverywhere),
			class(balancer.IdempotentWithKey, balancer.DedupInZone),
			class(balancer.IdempotentWithKey, balancer.DedupInCell),
		},
		DrainGrace: 500 * ms, ResponseGrace: 20 * ms, SlowStartMinCapacity: 0.2, SlowStartDuration: 10 * time.Second,
		SlowStartOverloadMultiple: 2.5, SlowStartOverloadWindow: time.Second, PollWithin: 10 * time.Second,
		GoalOverall: 0.6, GoalWorstWindow: 0.2, GoalWorstClass: 0.2,
	}
}

// endpoints returns n endpoints with the IDs a, b, c and so on, two in each zone and cell.
func endpoints(n int) []balancer.Endpoint {
	var list []balancer.Endpoint
	for i := range n {
		list = append(list, balancer.Endpoint{ID: string(rune('a' + i)), Zone: i / 2, Cell: i / 2})
	}
	return list
}

// harness runs one balancer on a simulated clock and records its actions.
type harness struct {
	t        *testing.T
	balancer *balancer.Balancer
	now      time.Duration
	sent     map[string][]string // endpoints of the attempts, by request ID
	timers   []pendingTimer
	actions  []balancer.Action // actions of the latest step
}

// pendingTimer is a timer that a balancer has set.
type pendingTimer struct {
	firesAt time.Duration
	token   int64
}

// newHarness returns a harness whose balancer has a cached endpoint list. Its clock is at one hour.
func newHarness(t *testing.T, s balancer.Settings, seed uint64, list []balancer.Endpoint) *harness {
	t.Helper()
	b, err := balancer.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, balancer: b, now: time.Hour, sent: map[string][]string{}}
	h.step(balancer.EndpointList{Kind: balancer.ListCached, Endpoints: list})
	return h
}

// step passes events to the balancer and records its actions.
func (h *harness) step(events ...balancer.Event) []balancer.Action {
	h.actions = h.balancer.Step(h.now, events)
	for _, action := range h.actions {
		switch action := action.(type) {
		case balancer.Send:
			h.sent[action.Request] = append(h.sent[action.Request], action.Endpoint)
		case balancer.SetTimer:
			h.timers = append(h.timers, pendingTimer{h.now + action.After, action.Token})
		}
	}
	return h.actions
}

// advance advances the clock, fires the timers that are due, and returns all actions.
func (h *harness) advance(d time.Duration) []balancer.Action {
	var all []balancer.Action
	end := h.now + d
	for len(h.timers) > 0 {
		next := 0
		for i, timer := range h.timers {
			if timer.firesAt < h.timers[next].firesAt {
				next = i
			}
		}
		timer := h.timers[next]
		if timer.firesAt > end {
			break
		}
		h.timers = slices.Delete(h.timers, next, next+1)
		h.now = max(h.now, timer.firesAt)
		all = append(all, h.step(balancer.TimerFired{Token: timer.token})...)
	}
	h.now = end
	return all
}

// replaceList passes a complete endpoint list.
func (h *harness) replaceList(entries ...balancer.Endpoint) {
	h.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: entries})
}

// updateList passes changed entries of the endpoint list.
func (h *harness) updateList(entries ...balancer.Endpoint) {
	h.step(balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: entries})
}

// request submits a request whose client waits for 2 s.
func (h *harness) request(id string, class int) []balancer.Action {
	return h.requestWithTimeout(id, class, 2000*ms)
}

// requestWithTimeout submits a request whose client waits for the timeout.
func (h *harness) requestWithTimeout(id string, class int, timeout time.Duration) []balancer.Action {
	return h.step(balancer.Request{ID: id, Class: class, Timeout: timeout})
}

// requestWithKey submits a request with a key.
func (h *harness) requestWithKey(id string, class int, key string) {
	h.step(balancer.Request{ID: id, Class: class, Timeout: 2000 * ms, Key: key})
}

// firstEndpoint returns the endpoint of the first attempt of a request.
func (h *harness) firstEndpoint(id string) string {
	h.t.Helper()
	if len(h.sent[id]) == 0 {
		h.t.Fatalf("request %s: got no attempt, want at least one", id)
	}
	return h.sent[id][0]
}

// outcome passes the outcome of the latest attempt of a request.
func (h *harness) outcome(id string, result balancer.Result, latency time.Duration) []balancer.Action {
	h.t.Helper()
	h.firstEndpoint(id)
	attempt := len(h.sent[id]) - 1
	return h.step(balancer.Outcome{Request: id, Attempt: attempt, Endpoint: h.sent[id][attempt], Result: result,
		Latency: latency, Done: result == balancer.Served})
}

// outcomeAfter advances the clock by the latency and passes the outcome of the latest attempt of a request.
func (h *harness) outcomeAfter(id string, result balancer.Result, latency time.Duration) []balancer.Action {
	h.t.Helper()
	h.now += latency
	return h.outcome(id, result, latency)
}

// response is the result and the latency of an attempt.
type response struct {
	result  balancer.Result
	latency time.Duration
}

// respond passes the outcome of the first attempt of a request, as responseOf returns it for the endpoint. It
// returns the endpoint.
func (h *harness) respond(id string, responseOf func(endpoint string) response) string {
	h.t.Helper()
	endpoint := h.firstEndpoint(id)
	end := responseOf(endpoint)
	h.outcomeAfter(id, end.result, end.latency)
	return endpoint
}

// exchange submits a request, responds to it, and returns the endpoint of the first attempt.
func (h *harness) exchange(id string, class int, responseOf func(endpoint string) response) string {
	h.t.Helper()
	h.request(id, class)
	return h.respond(id, responseOf)
}

// exchangeUntilSentTo submits requests one after the other until one is sent to the endpoint.
func (h *harness) exchangeUntilSentTo(endpoint string, class int, responseOf func(endpoint string) response) {
	h.t.Helper()
	for h.exchange(fmt.Sprint("until", len(h.sent)), class, responseOf) != endpoint {
	}
}

// faultAtA returns the responses of a fleet in which endpoint a is faulty.
func faultAtA(fault, usual response) func(endpoint string) response {
	return func(endpoint string) response {
		if endpoint == "a" {
			return fault
		}
		return usual
	}
}

// burst submits n requests at the same time and returns the number of attempts by endpoint.
func (h *harness) burst(prefix string, n, class int) map[string]int {
	counts := map[string]int{}
	for i := range n {
		id := fmt.Sprint(prefix, i)
		h.request(id, class)
		for _, endpoint := range h.sent[id] {
			counts[endpoint]++
		}
	}
	return counts
}

// total returns the sum of the counts.
func total(counts map[string]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// serve submits n requests one after the other and serves each after the latency. It returns the number of
// requests by endpoint.
func (h *harness) serve(n, class int, latency time.Duration) map[string]int {
	h.t.Helper()
	counts := map[string]int{}
	for range n {
		id := fmt.Sprintf("serve-%d", len(h.sent))
		h.request(id, class)
		h.outcomeAfter(id, balancer.Served, latency)
		counts[h.sent[id][0]]++
	}
	return counts
}

// serveWaves submits n requests in waves of width requests, and serves each wave after the latency. Waves as
// wide as the endpoint list open a connection to every endpoint. It returns the number of requests by
// endpoint.
func (h *harness) serveWaves(n, width, class int, latency time.Duration) map[string]int {
	h.t.Helper()
	counts := map[string]int{}
	for range n / width {
		var wave []string
		for range width {
			id := fmt.Sprintf("wave-%d", len(h.sent))
			if h.request(id, class); len(h.sent[id]) == 1 {
				wave = append(wave, id)
			}
		}
		h.now += latency
		for _, id := range wave {
			h.outcome(id, balancer.Served, latency)
			counts[h.sent[id][0]]++
		}
	}
	return counts
}

// fleetRequestCounts returns the number of requests by endpoint for 400 requests, eight from each of fifty
// balancers. One balancer uses only its subset; together they use all endpoints.
func fleetRequestCounts(t *testing.T, s balancer.Settings, list []balancer.Endpoint) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for seed := range uint64(50) {
		h := newHarness(t, s, seed, list)
		h.serveWaves(16, 8, idempotent, 50*ms)
		for id, n := range h.serve(8, idempotent, 50*ms) {
			counts[id] += n
		}
	}
	return counts
}

// sendsOf returns the Send actions.
func sendsOf(actions []balancer.Action) (sends []balancer.Send) {
	for _, action := range actions {
		if send, ok := action.(balancer.Send); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

// finalAnswer returns the final answers for a request: "reject", "fail", or "" if there is none.
func finalAnswer(id string, actions []balancer.Action) string {
	found := ""
	for _, action := range actions {
		switch action := action.(type) {
		case balancer.Reject:
			if action.Request == id {
				found += "reject"
			}
		case balancer.Fail:
			if action.Request == id {
				found += "fail"
			}
		}
	}
	return found
}
