package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
)

// auditor checks all rules from events and actions alone. It models no endpoint: it only remembers what the
// balancer was notified of and what it did.
type auditor struct {
	settings   balancer.Settings
	now        time.Duration
	requests   map[string]*auditedRequest
	endpoints  map[string]*auditedEndpoint
	keys       map[string][]*auditedRequest // ordered requests by key, in the order taken
	work       map[int][2]float64           // by class: requests that told their work, and the sum of it
	violations []string
}

type auditedRequest struct {
	class       balancer.Class
	deadline    time.Duration
	work        float64 // its told work over the mean told for its class; 1 where none is told
	attempts    []auditedAttempt
	ended       bool
	abandonedAt time.Duration // when the client was told to have left; answers of that step do no harm
	streaming   bool
	key         string        // where order is kept
	quietUntil  time.Duration // its key rests until then
}

type auditedAttempt struct {
	endpoint   string
	at         time.Duration
	inFlight   bool
	mayHaveRun bool // may have run
}

type auditedEndpoint struct {
	balancer.Endpoint
	notServingSince time.Duration // when it was told to drain or to be gone
	started         time.Duration // when it was told to have started; 0: warm
	sends           []sentWork
}

type sentWork struct {
	at   time.Duration
	work float64
}

func newAuditor(s balancer.Settings) *auditor {
	return &auditor{settings: s, requests: map[string]*auditedRequest{}, endpoints: map[string]*auditedEndpoint{},
		keys: map[string][]*auditedRequest{}, work: map[int][2]float64{}}
}

func (a *auditor) violation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf("at %v: ", a.now)+fmt.Sprintf(format, args...))
}

func (a *auditor) event(e balancer.Event) {
	switch e := e.(type) {
	case balancer.Request:
		if e.Class >= 0 && e.Class < len(a.settings.Classes) && a.requests[e.ID] == nil {
			r := &auditedRequest{class: a.settings.Classes[e.Class], deadline: a.now + e.Timeout, work: 1}
			if w := float64(e.Work); w > 0 {
				told := a.work[e.Class]
				told[0], told[1] = told[0]+1, told[1]+w
				a.work[e.Class] = told
				r.work = w / (told[1] / told[0])
			}
			a.requests[e.ID] = r
			if r.class.Ordered && e.Key != "" {
				r.key = e.Key
				a.keys[e.Key] = append(a.keys[e.Key], r)
			}
		}
	case balancer.Outcome:
		r := a.requests[e.Request]
		if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].inFlight {
			return
		}
		r.attempts[e.Attempt].inFlight = false
		r.attempts[e.Attempt].mayHaveRun = !e.Result.NeverRan() || e.Result == balancer.Rejected && a.settings.RejectedMayHaveRun
		switch e.Result {
		case balancer.TimedOut, balancer.Reset, balancer.Cancelled:
			r.quietUntil = a.now + a.settings.KeyQuietPeriod
		}
		r.ended = r.ended || e.Done
	case balancer.StreamStarted:
		if r := a.requests[e.Request]; r != nil {
			r.streaming = true
		}
	case balancer.Abandoned:
		if r := a.requests[e.Request]; r != nil && !r.ended {
			r.ended, r.abandonedAt = true, a.now
		}
	case balancer.EndpointList:
		if e.Kind == balancer.ListFailed {
			return
		}
		listed := map[string]bool{}
		for _, n := range e.Endpoints {
			listed[n.ID] = true
			b := a.endpoints[n.ID]
			if b == nil {
				b = &auditedEndpoint{}
				a.endpoints[n.ID] = b
			}
			if n.Started > b.Started {
				b.started, b.sends = n.Started, nil
			}
			if n.State == balancer.Serving {
				b.notServingSince = 0
			} else if b.Endpoint.State == balancer.Serving || b.notServingSince == 0 {
				b.notServingSince = a.now
			}
			b.Endpoint = n
		}
		if e.Kind != balancer.ListDelta {
			for id, b := range a.endpoints {
				if !listed[id] && b.notServingSince == 0 {
					b.notServingSince = a.now
					b.State = balancer.Removed
				}
			}
		}
	}
}

func (a *auditor) action(act balancer.Action) {
	switch act := act.(type) {
	case balancer.Send:
		a.send(act)
	case balancer.Reject:
		r := a.finalAnswer(act.Request)
		if r == nil {
			return
		}
		for _, s := range r.attempts {
			free := r.class.Idempotency == balancer.Idempotent ||
				r.class.Idempotency == balancer.IdempotentWithKey && r.class.DedupScope == balancer.DedupEverywhere
			if (s.mayHaveRun || s.inFlight) && !free {
				a.violation("%s rejected though an attempt may have run", act.Request)
			}
		}
	case balancer.Fail:
		a.finalAnswer(act.Request)
	case balancer.SetTimer:
		if act.After < 0 {
			a.violation("a timer in the past: %v", act.After)
		}
	case balancer.Gossip:
		if !a.settings.AllowGossip || len(act.Data) > 256 {
			a.violation("%d bytes of gossip", len(act.Data))
		}
	}
}

func (a *auditor) finalAnswer(id string) *auditedRequest {
	r := a.requests[id]
	switch {
	case r == nil:
		a.violation("answer for the unknown request %s", id)
		return nil
	case r.ended && r.abandonedAt != a.now:
		a.violation("%s answered twice", id)
	case a.now > r.deadline+a.settings.ResponseGrace && !r.streaming:
		a.violation("%s answered late", id)
	}
	r.ended, r.abandonedAt = true, 0
	return r
}

func (a *auditor) send(act balancer.Send) {
	r, b := a.requests[act.Request], a.endpoints[act.Endpoint]
	if r == nil || b == nil {
		a.violation("send of %q to %q, one of which is unknown", act.Request, act.Endpoint)
		return
	}
	if r.ended && r.abandonedAt != a.now {
		a.violation("%s sent after its end", act.Request)
	}
	if len(r.attempts) >= max(1, a.settings.MaxAttempts) {
		a.violation("%s sent past the attempt limit", act.Request)
	}
	if b.notServingSince > 0 && a.now > b.notServingSince+a.settings.DrainGrace {
		a.violation("%s sent to %s, which was draining or removed %v ago", act.Request, act.Endpoint, a.now-b.notServingSince)
	}
	for _, e := range a.keys[r.key] {
		if e == r {
			break
		}
		out := !e.ended
		for _, s := range e.attempts {
			out = out || s.inFlight
		}
		if out {
			a.violation("%s sent out of turn", act.Request)
		} else if a.now < e.quietUntil {
			a.violation("%s sent in the quiet period of its key", act.Request)
		}
	}
	var anchor *auditedAttempt
	for i := range r.attempts {
		s := &r.attempts[i]
		if s.inFlight && !a.settings.AllowHedging {
			a.violation("%s has two attempts in flight", act.Request)
		}
		if anchor == nil && (s.inFlight || s.mayHaveRun) {
			anchor = s
		}
	}
	if anchor != nil {
		from := a.endpoints[anchor.endpoint]
		switch {
		case r.class.Idempotency == balancer.NotIdempotent:
			a.violation("%s is not idempotent and may have run, sent again", act.Request)
		case r.class.Idempotency == balancer.IdempotentWithKey && a.now-anchor.at > r.class.DedupWindow:
			a.violation("%s sent again after its window", act.Request)
		case r.class.Idempotency == balancer.IdempotentWithKey && r.class.DedupScope == balancer.DedupInZone && from.Zone != b.Zone,
			r.class.Idempotency == balancer.IdempotentWithKey && r.class.DedupScope == balancer.DedupInCell && from.Cell != b.Cell:
			a.violation("%s sent again outside its scope", act.Request)
		}
	}
	r.attempts = append(r.attempts, auditedAttempt{endpoint: act.Endpoint, at: a.now, inFlight: true})
	b.sends = append(b.sends, sentWork{a.now, r.work})
	a.checkSlowStart(b)
}

// checkSlowStart checks this agent's part of the load of an endpoint that warms up. The capacity of endpoints
// is unknown: the work that the busiest warm one was sent within three windows bounds what a balancer may take
// for the rate of a warm one, and the allowed multiple of the warm-up fraction of that bounds the other. The
// slack is one mean request, and one of twice the mean that may go out on the last permit.
func (a *auditor) checkSlowStart(b *auditedEndpoint) {
	if b.started == 0 || a.now-b.started >= a.settings.SlowStart || a.settings.SlowStart == 0 {
		return
	}
	span := max(a.settings.ColdOverloadWindow, 1)
	count := func(b *auditedEndpoint, span time.Duration) (sum float64) {
		for _, s := range b.sends {
			if a.now-s.at < span {
				sum += s.work
			}
		}
		return sum
	}
	most, warm := 0.0, false
	for _, o := range a.endpoints {
		if o != b && (o.started == 0 || a.now-o.started >= a.settings.SlowStart) {
			most = max(most, count(o, 3*span))
			warm = warm || o.notServingSince == 0
		}
	}
	if !warm {
		return // there is no measure: a balancer goes by its part of the least limit
	}
	warmth := a.settings.ColdCapacity + (1-a.settings.ColdCapacity)*max(0, float64(a.now-b.started)/float64(a.settings.SlowStart))
	if got := count(b, span); got > a.settings.ColdOverloadMultiple*warmth*most+3 {
		a.violation("%s is warming up (%v) and got the work of %.1f mean requests in %v, the busiest warm one %.1f in three times that",
			b.ID, a.now-b.started, got, span, most)
	}
}

// checkOverdue checks that no request is without its final answer after its deadline.
func (a *auditor) checkOverdue() {
	for id, r := range a.requests {
		if !r.ended && !r.streaming && a.now > r.deadline+a.settings.ResponseGrace {
			a.violation("%s got no answer in time", id)
			r.ended = true
		}
	}
}

// Each check of the auditor must be able to fail: these recorded actions violate a rule.
func TestAuditorRejects(t *testing.T) {
	send := func(b string) balancer.Action { return balancer.Send{Request: "q", Endpoint: b} }
	ended := func(n int, res balancer.Result) balancer.Event {
		return balancer.Outcome{Request: "q", Attempt: n, Result: res, Done: res == balancer.Served}
	}
	reject, fail := balancer.Reject{Request: "q"}, balancer.Fail{Request: "q"}
	off := balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}}
	empty := balancer.EndpointList{Kind: balancer.ListComplete}
	cold := balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{{ID: "a", Started: time.Hour}}}
	tests := []struct {
		name  string
		class int
		play  []any // events, actions, and durations that pass
		want  string
	}{
		{"no answer", idempotent, []any{2021 * ms}, "got no answer in time"},
		{"two answers", idempotent, []any{fail, fail}, "answered twice"},
		{"answer after being served", idempotent, []any{send("a"), ended(0, balancer.Served), reject}, "answered twice"},
		{"late answer", idempotent, []any{2020*ms + 1, fail}, "answered late"},
		{"send after the answer", idempotent, []any{fail, send("a")}, "sent after its end"},
		{"unknown endpoint", idempotent, []any{send("zz")}, "is unknown"},
		{"past the limit", idempotent, []any{send("a"), ended(0, balancer.ServerError), send("b"), ended(1, balancer.ServerError),
			send("a"), ended(2, balancer.ServerError), send("b"), ended(3, balancer.ServerError), send("a")}, "past the attempt limit"},
		{"hedged request", idempotent, []any{send("a"), send("b")}, "two attempts in flight"},
		{"not idempotent, repeated", notIdempotent, []any{send("a"), ended(0, balancer.TimedOut), send("b")}, "is not idempotent"},
		{"not idempotent, rejected", notIdempotent, []any{send("a"), ended(0, balancer.Reset), reject}, "rejected though"},
		{"not idempotent, rejected while in flight", notIdempotent, []any{send("a"), reject}, "rejected though"},
		{"zone rejected", keyedInZone, []any{send("a"), ended(0, balancer.ServerError), reject}, "rejected though"},
		{"outside the zone", keyedInZone, []any{send("a"), ended(0, balancer.ServerError), send("c")}, "outside its scope"},
		{"outside the cell", keyedInCell, []any{send("a"), ended(0, balancer.ServerError), send("d")}, "outside its scope"},
		{"after the window", keyedEverywhere, []any{send("a"), 301 * ms, ended(0, balancer.ServerError), send("b")}, "after its window"},
		{"draining", idempotent, []any{off, 501 * ms, send("a")}, "draining or removed"},
		{"removed from the list", idempotent, []any{empty, 501 * ms, send("b")}, "draining or removed"},
		{"slow start", idempotent, []any{cold, send("a"), ended(0, balancer.Rejected), send("a"), ended(1, balancer.Rejected),
			send("a"), ended(2, balancer.Rejected), send("a")}, "is warming up"},
		{"gossip where none is allowed", idempotent, []any{balancer.Gossip{Data: []byte{1}}}, "bytes of gossip"},
		{"timer in the past", idempotent, []any{balancer.SetTimer{After: -1}}, "timer in the past"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAuditor(settings())
			a.now = time.Hour
			a.event(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(4)})
			a.event(balancer.Request{ID: "q", Class: tt.class, Timeout: 2000 * ms})
			for _, p := range tt.play {
				switch p := p.(type) {
				case time.Duration:
					a.now += p
				case balancer.Event:
					a.event(p)
				case balancer.Action:
					a.action(p)
				}
			}
			a.checkOverdue()
			if got := strings.Join(a.violations, "; "); !strings.Contains(got, tt.want) {
				t.Errorf("faults %q, want one with %q", got, tt.want)
			}
		})
	}
}
