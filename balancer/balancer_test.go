package balancer_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"ashshunt/balancer"
)

// Events about things unknown, late or repeated do nothing.
func TestStrayEvents(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("done", safe)
	r.now += 10 * ms
	r.outcome("done", balancer.Served, 10*ms)
	r.request("open", unsafe)
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
		balancer.Request{ID: "open", Class: safe, Timeout: time.Second},
	}
	for _, e := range stray {
		if acts := r.step(e); len(acts) != 0 {
			t.Errorf("%#v: %v, want no action", e, acts)
		}
	}
	r.now += 10 * ms
	if acts := r.outcome("open", balancer.ServerError, 10*ms); final("open", acts) != "fail" {
		t.Errorf("the open request: %v, want its one failure", acts)
	}
	if acts := r.outcome("open", balancer.ServerError, 10*ms); len(acts) != 0 {
		t.Errorf("a repeated outcome: %v, want no action", acts)
	}
}

// An abandoned request gets nothing more, though its attempt is still counted.
func TestAbandoned(t *testing.T) {
	t.Run("attempt out", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(2))
		r.request("q", safe)
		r.step(balancer.Abandoned{Request: "q"})
		r.now += 10 * ms
		acts := r.outcome("q", balancer.ServerError, 10*ms)
		acts = append(acts, r.advance(3*time.Second)...)
		if len(acts) != 0 || r.b.StateSize() != 0 {
			t.Errorf("after the client left: %v, %d kept", acts, r.b.StateSize())
		}
	})
	// Guards against what is kept for a client that left, until a timer comes that nobody waits for.
	for name, wait := range map[string]func(r *rig){
		"backoff": func(r *rig) {
			r.request("q", safe)
			r.now += 10 * ms
			r.outcome("q", balancer.ServerError, 10*ms)
		},
		"no place": func(r *rig) {
			r.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}})
			r.request("q", safe)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, settings(), 1, backends(1))
			wait(r)
			sent := len(r.sent["q"])
			if final("q", r.actions) != "" || r.b.StateSize() == 0 {
				t.Fatalf("it does not wait: %v", r.actions)
			}
			r.step(balancer.Abandoned{Request: "q"})
			if n := r.b.StateSize(); n != 0 {
				t.Errorf("%d things are kept of it", n)
			}
			r.step(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: backends(1)})
			if r.advance(3 * time.Second); len(r.sent["q"]) != sent {
				t.Error("sent on after the client left")
			}
		})
	}
	t.Run("with its timer in one step", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(2))
		r.request("q", safe)
		r.now += 10 * ms
		r.outcome("q", balancer.ServerError, 10*ms)
		r.now += time.Second
		if acts := r.step(r.timers[len(r.timers)-1], balancer.Abandoned{Request: "q"}); len(acts) != 0 {
			t.Errorf("its backoff was over as the client left: %v", acts)
		}
	})
}

// Once an answer has begun to stream the request is the client's.
func TestStream(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", safe)
	r.step(balancer.StreamStarted{Request: "q"})
	r.now += 10 * ms
	acts := r.step(balancer.Outcome{Request: "q", Endpoint: r.sent["q"][0], Result: balancer.Reset, Done: true})
	acts = append(acts, r.advance(3*time.Second)...)
	if len(acts) != 0 || len(r.sent["q"]) != 1 {
		t.Errorf("after a broken stream: %v", acts)
	}
}

// The same seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func(seed uint64) (log []string) {
		r := newRig(t, settings(), seed, backends(6))
		for i := range 400 {
			id := fmt.Sprint("q", i)
			log = append(log, fmt.Sprint(r.request(id, i%5)))
			r.now += 3 * ms
			if i%3 != 0 && len(r.sent[id]) > 0 {
				log = append(log, fmt.Sprint(r.outcome(id, balancer.Result(i%6), 3*ms)))
			}
			log = append(log, fmt.Sprint(r.advance(2*ms)))
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
