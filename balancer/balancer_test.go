package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Events for unknown requests, attempts, timers or endpoints, and late or repeated events, have no effect.
func TestStrayEventsAreIgnored(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	h.request("done", idempotent)
	h.outcomeAfter("done", balancer.Served, 10*ms)
	h.request("open", notIdempotent)
	stray := []balancer.Event{
		balancer.Outcome{Request: "never", Result: balancer.ServerError},
		balancer.Outcome{Request: "done", Result: balancer.ServerError},
		balancer.Outcome{Request: "open", Attempt: 7, Result: balancer.ServerError},
		balancer.Outcome{Request: "open", Attempt: -1, Result: balancer.ServerError},
		balancer.TimerFired{Token: 99}, balancer.TimerFired{Token: 0}, balancer.TimerFired{Token: -5},
		balancer.Abandoned{Request: "never"}, balancer.Abandoned{Request: "done"},
		balancer.StreamStarted{Request: "never"},
		balancer.HealthCheckResult{Endpoint: "zz"},
		balancer.GossipMessage{From: 44, Data: []byte{1}},
		balancer.Request{ID: "bad", Class: 17, Timeout: time.Second},
		balancer.Request{ID: "bad", Class: -1, Timeout: time.Second},
		balancer.Request{ID: "open", Class: idempotent, Timeout: time.Second},
	}
	for _, event := range stray {
		if actions := h.step(event); len(actions) != 0 {
			t.Errorf("%#v: got actions %v, want none", event, actions)
		}
	}
	if actions := h.outcomeAfter("open", balancer.ServerError, 10*ms); finalAnswer("open", actions) != "fail" {
		t.Errorf("open request: got actions %v, want one failure", actions)
	}
	if actions := h.outcome("open", balancer.ServerError, 10*ms); len(actions) != 0 {
		t.Errorf("repeated outcome: got actions %v, want none", actions)
	}
}

// An abandoned request gets no further action. Its attempt counts as in flight until its outcome.
func TestAbandoned(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	h.request("q", idempotent)
	h.step(balancer.Abandoned{Request: "q"})
	actions := h.outcomeAfter("q", balancer.ServerError, 10*ms)
	actions = append(actions, h.advance(3*time.Second)...)
	if len(actions) != 0 || h.balancer.StateSize() != 0 {
		t.Errorf("after the client disconnected: got actions %v and state size %d, want none and 0",
			actions, h.balancer.StateSize())
	}
}

// failOnce submits a request and fails its first attempt, so that the request waits for its backoff.
func (h *harness) failOnce(id string) {
	h.t.Helper()
	h.request(id, idempotent)
	h.outcomeAfter(id, balancer.ServerError, 10*ms)
}

// The state of a request that is abandoned while it waits is removed at once, not only when its timer fires.
func TestAbandonedWhileWaiting(t *testing.T) {
	tests := []struct {
		name   string
		submit func(h *harness)
	}{
		{"backoff", func(h *harness) { h.failOnce("q") }},
		{"queued without endpoint", func(h *harness) {
			h.replaceList(balancer.Endpoint{ID: "a", State: balancer.Draining})
			h.request("q", idempotent)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, settings(), 1, endpoints(1))
			tt.submit(h)
			attempts := len(h.sent["q"])
			if finalAnswer("q", h.actions) != "" || h.balancer.StateSize() == 0 {
				t.Fatalf("got actions %v, want the request to wait", h.actions)
			}
			h.step(balancer.Abandoned{Request: "q"})
			if n := h.balancer.StateSize(); n != 0 {
				t.Errorf("after the client disconnected: got state size %d, want 0", n)
			}
			h.replaceList(endpoints(1)...)
			if h.advance(3 * time.Second); len(h.sent["q"]) != attempts {
				t.Error("an attempt was sent after the client disconnected")
			}
		})
	}
}

// A request that is abandoned in the step in which its backoff ends gets no retry.
func TestAbandonedWhenBackoffEnds(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	h.failOnce("q")
	h.now += time.Second
	timer := balancer.TimerFired{Token: h.timers[len(h.timers)-1].token}
	if actions := h.step(timer, balancer.Abandoned{Request: "q"}); len(actions) != 0 {
		t.Errorf("after the client disconnected: got actions %v, want none", actions)
	}
}

// A request whose response is being streamed is not retried and gets no other answer.
func TestNoRetryWhileStreaming(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	h.request("q", idempotent)
	h.step(balancer.StreamStarted{Request: "q"})
	h.now += 10 * ms
	reset := balancer.Outcome{Request: "q", Endpoint: h.firstEndpoint("q"), Result: balancer.Reset, Done: true}
	actions := h.step(reset)
	actions = append(actions, h.advance(3*time.Second)...)
	if len(actions) != 0 || len(h.sent["q"]) != 1 {
		t.Errorf("after the stream broke: got actions %v, want none", actions)
	}
}

// The same settings, seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	run := func(seed uint64) (actions []string) {
		h := newHarness(t, settings(), seed, endpoints(6))
		for i := range 400 {
			id := fmt.Sprint("q", i)
			actions = append(actions, fmt.Sprint(h.request(id, i%5)))
			h.now += 3 * ms
			if i%3 != 0 && len(h.sent[id]) > 0 {
				actions = append(actions, fmt.Sprint(h.outcome(id, balancer.Result(i%6), 3*ms)))
			}
			actions = append(actions, fmt.Sprint(h.advance(2*ms)))
		}
		return actions
	}
	if !slices.Equal(run(11), run(11)) {
		t.Error("two runs with the same seed differ")
	}
	if slices.Equal(run(11), run(12)) {
		t.Error("two runs with different seeds are equal")
	}
}
