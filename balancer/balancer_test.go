package balancer_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Events about unknown things, late and repeated ones have no effect.
func TestStrayEvents(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	h.request("done", idempotent)
	h.now += 10 * ms
	h.outcome("done", balancer.Served, 10*ms)
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
	for _, e := range stray {
		if acts := h.step(e); len(acts) != 0 {
			t.Errorf("%#v: %v, want no action", e, acts)
		}
	}
	h.now += 10 * ms
	if acts := h.outcome("open", balancer.ServerError, 10*ms); finalAnswer("open", acts) != "fail" {
		t.Errorf("the open request: %v, want its one failure", acts)
	}
	if acts := h.outcome("open", balancer.ServerError, 10*ms); len(acts) != 0 {
		t.Errorf("a repeated outcome: %v, want no action", acts)
	}
}

// An abandoned request gets no further action, though its attempt still counts as in flight.
func TestAbandoned(t *testing.T) {
	t.Run("attempt out", func(t *testing.T) {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.request("q", idempotent)
		h.step(balancer.Abandoned{Request: "q"})
		h.now += 10 * ms
		acts := h.outcome("q", balancer.ServerError, 10*ms)
		acts = append(acts, h.advance(3*time.Second)...)
		if len(acts) != 0 || h.balancer.StateSize() != 0 {
			t.Errorf("after the client left: %v, %d kept", acts, h.balancer.StateSize())
		}
	})
	// Nothing may be kept for it until a timer fires.
	for name, wait := range map[string]func(h *harness){
		"backoff": func(h *harness) {
			h.request("q", idempotent)
			h.now += 10 * ms
			h.outcome("q", balancer.ServerError, 10*ms)
		},
		"no place": func(h *harness) {
			h.step(balancer.EndpointList{Kind: balancer.ListComplete,
				Endpoints: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}})
			h.request("q", idempotent)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, settings(), 1, endpoints(1))
			wait(h)
			sent := len(h.sent["q"])
			if finalAnswer("q", h.actions) != "" || h.balancer.StateSize() == 0 {
				t.Fatalf("it does not wait: %v", h.actions)
			}
			h.step(balancer.Abandoned{Request: "q"})
			if n := h.balancer.StateSize(); n != 0 {
				t.Errorf("%d things are kept of it", n)
			}
			h.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(1)})
			if h.advance(3 * time.Second); len(h.sent["q"]) != sent {
				t.Error("sent on after the client left")
			}
		})
	}
	t.Run("with its timer in one step", func(t *testing.T) {
		h := newHarness(t, settings(), 1, endpoints(2))
		h.request("q", idempotent)
		h.now += 10 * ms
		h.outcome("q", balancer.ServerError, 10*ms)
		h.now += time.Second
		if acts := h.step(h.timers[len(h.timers)-1], balancer.Abandoned{Request: "q"}); len(acts) != 0 {
			t.Errorf("its backoff was over as the client left: %v", acts)
		}
	})
}

// Once a response is being streamed the request is not retried and gets no other answer.
func TestStream(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(2))
	h.request("q", idempotent)
	h.step(balancer.StreamStarted{Request: "q"})
	h.now += 10 * ms
	acts := h.step(balancer.Outcome{Request: "q", Endpoint: h.sent["q"][0], Result: balancer.Reset,
		Done: true})
	acts = append(acts, h.advance(3*time.Second)...)
	if len(acts) != 0 || len(h.sent["q"]) != 1 {
		t.Errorf("after a broken stream: %v", acts)
	}
}

// The same seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func(seed uint64) (log []string) {
		h := newHarness(t, settings(), seed, endpoints(6))
		for i := range 400 {
			id := fmt.Sprint("q", i)
			log = append(log, fmt.Sprint(h.request(id, i%5)))
			h.now += 3 * ms
			if i%3 != 0 && len(h.sent[id]) > 0 {
				log = append(log, fmt.Sprint(h.outcome(id, balancer.Result(i%6), 3*ms)))
			}
			log = append(log, fmt.Sprint(h.advance(2*ms)))
		}
		return log
	}
	if !reflect.DeepEqual(play(11), play(11)) {
		t.Error("two runs with one seed differ")
	}
	if reflect.DeepEqual(play(11), play(12)) {
		t.Error("two seeds give the same run")
	}
}
