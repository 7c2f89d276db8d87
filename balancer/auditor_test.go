package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
)

// auditor checks all rules from events and actions alone. It does not model endpoints: it remembers what the balancer
// was notified of and what it did.
type auditor struct {
	settings   balancer.Settings
	now        time.Duration
	requests   map[string]*auditedRequest
	endpoints  map[string]*auditedEndpoint
	keys       map[string][]*auditedRequest // ordered requests by key, in the order of their arrival
	work       map[int]expectedWork         // by class
	violations []string
}

// expectedWork sums up the requests that came with their expected work.
type expectedWork struct{ requests, sum float64 }

// auditedRequest is a request and its attempts.
type auditedRequest struct {
	class       balancer.Class
	deadline    time.Duration
	work        float64 // its expected work over the mean of its class; 1 if unknown
	attempts    []auditedAttempt
	ended       bool
	abandonedAt time.Duration // actions in the same step are allowed
	streaming   bool
	key         string        // of an ordered request
	quietUntil  time.Duration // the quiet period of its key
}

// auditedAttempt is one attempt of a request.
type auditedAttempt struct {
	endpoint   string
	at         time.Duration
	inFlight   bool
	mayHaveRun bool
}

// auditedEndpoint is an endpoint by what the lists said of it, and the work that was sent to it since its start.
type auditedEndpoint struct {
	balancer.Endpoint
	notServingSince time.Duration // when the list said that it was draining or removed; 0: serving
	started         time.Duration // when the list said that it started; 0: warm
	sends           []sentWork
}

// sentWork is the work of one attempt, in mean requests.
type sentWork struct {
	at   time.Duration
	work float64
}

func newAuditor(s balancer.Settings) *auditor {
	return &auditor{
		settings:  s,
		requests:  map[string]*auditedRequest{},
		endpoints: map[string]*auditedEndpoint{},
		keys:      map[string][]*auditedRequest{},
		work:      map[int]expectedWork{},
	}
}

func (a *auditor) violation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf("at %v: ", a.now)+fmt.Sprintf(format, args...))
}

// firstViolations is a text of the first three.
func (a *auditor) firstViolations() string {
	return strings.Join(a.violations[:min(3, len(a.violations))], "\n")
}

func (a *auditor) event(e balancer.Event) {
	switch e := e.(type) {
	case balancer.Request:
		a.request(e)
	case balancer.Outcome:
		a.outcome(e)
	case balancer.StreamStarted:
		if r := a.requests[e.Request]; r != nil {
			r.streaming = true
		}
	case balancer.Abandoned:
		if r := a.requests[e.Request]; r != nil && !r.ended {
			r.ended, r.abandonedAt = true, a.now
		}
	case balancer.EndpointList:
		a.endpointList(e)
	}
}

func (a *auditor) request(e balancer.Request) {
	if e.Class < 0 || e.Class >= len(a.settings.Classes) || a.requests[e.ID] != nil {
		return
	}
	r := &auditedRequest{class: a.settings.Classes[e.Class], deadline: a.now + e.Timeout, work: 1}
	if work := float64(e.Work); work > 0 {
		total := a.work[e.Class]
		total.requests++
		total.sum += work
		a.work[e.Class] = total
		r.work = work / (total.sum / total.requests)
	}
	a.requests[e.ID] = r
	if r.class.Ordered && e.Key != "" {
		r.key = e.Key
		a.keys[e.Key] = append(a.keys[e.Key], r)
	}
}

func (a *auditor) outcome(e balancer.Outcome) {
	r := a.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].inFlight {
		return
	}
	attempt := &r.attempts[e.Attempt]
	attempt.inFlight = false
	rejectedMayHaveRun := e.Result == balancer.Rejected && a.settings.RejectedMayHaveRun
	attempt.mayHaveRun = !e.Result.NeverRan() || rejectedMayHaveRun
	if e.Result == balancer.TimedOut || e.Result == balancer.Reset || e.Result == balancer.Cancelled {
		r.quietUntil = a.now + a.settings.KeyQuietPeriod
	}
	r.ended = r.ended || e.Done
}

func (a *auditor) endpointList(e balancer.EndpointList) {
	if e.Kind == balancer.ListFailed {
		return
	}
	listed := map[string]bool{}
	for _, entry := range e.Endpoints {
		listed[entry.ID] = true
		a.listEntry(entry)
	}
	if e.Kind == balancer.ListDelta {
		return
	}
	for id, ep := range a.endpoints {
		if !listed[id] && ep.notServingSince == 0 {
			ep.notServingSince = a.now
			ep.State = balancer.Removed
		}
	}
}

func (a *auditor) listEntry(entry balancer.Endpoint) {
	ep := a.endpoints[entry.ID]
	if ep == nil {
		ep = &auditedEndpoint{}
		a.endpoints[entry.ID] = ep
	}
	if entry.StartedAt > ep.StartedAt {
		ep.started, ep.sends = entry.StartedAt, nil
	}
	if entry.State == balancer.Serving {
		ep.notServingSince = 0
	} else if ep.State == balancer.Serving || ep.notServingSince == 0 {
		ep.notServingSince = a.now
	}
	ep.Endpoint = entry
}

func (a *auditor) action(act balancer.Action) {
	switch act := act.(type) {
	case balancer.Send:
		a.send(act)
	case balancer.Reject:
		a.reject(act)
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

func (a *auditor) reject(act balancer.Reject) {
	r := a.finalAnswer(act.Request)
	if r == nil {
		return
	}
	mayBeRepeated := r.class.Idempotency == balancer.Idempotent ||
		r.class.Idempotency == balancer.IdempotentWithKey && r.class.DedupScope == balancer.DedupEverywhere
	for _, attempt := range r.attempts {
		if (attempt.mayHaveRun || attempt.inFlight) && !mayBeRepeated {
			a.violation("%s rejected though an attempt may have run", act.Request)
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
	r, ep := a.requests[act.Request], a.endpoints[act.Endpoint]
	if r == nil || ep == nil {
		a.violation("send of %q to %q, one of which is unknown", act.Request, act.Endpoint)
		return
	}
	if r.ended && r.abandonedAt != a.now {
		a.violation("%s sent after its end", act.Request)
	}
	if len(r.attempts) >= max(1, a.settings.MaxAttempts) {
		a.violation("%s sent past the attempt limit", act.Request)
	}
	if ep.notServingSince > 0 && a.now > ep.notServingSince+a.settings.DrainGrace {
		a.violation("%s sent to %s, which was draining or removed %v ago",
			act.Request, act.Endpoint, a.now-ep.notServingSince)
	}
	a.checkOrder(act.Request, r)
	a.checkRepeat(act.Request, r, ep)
	r.attempts = append(r.attempts, auditedAttempt{endpoint: act.Endpoint, at: a.now, inFlight: true})
	ep.sends = append(ep.sends, sentWork{a.now, r.work})
	a.checkSlowStart(ep)
}

// checkOrder checks that all earlier requests of its key have ended before a request is sent.
func (a *auditor) checkOrder(id string, r *auditedRequest) {
	for _, earlier := range a.keys[r.key] {
		if earlier == r {
			break
		}
		open := !earlier.ended
		for _, attempt := range earlier.attempts {
			open = open || attempt.inFlight
		}
		if open {
			a.violation("%s sent out of turn", id)
		} else if a.now < earlier.quietUntil {
			a.violation("%s sent in the quiet period of its key", id)
		}
	}
}

// checkRepeat checks that a further attempt has no further effect.
func (a *auditor) checkRepeat(id string, r *auditedRequest, ep *auditedEndpoint) {
	var first *auditedAttempt // of the attempts that may have run
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if attempt.inFlight && !a.settings.AllowHedging {
			a.violation("%s has two attempts in flight", id)
		}
		if first == nil && (attempt.inFlight || attempt.mayHaveRun) {
			first = attempt
		}
	}
	if first == nil || r.class.Idempotency == balancer.Idempotent {
		return
	}
	from := a.endpoints[first.endpoint]
	switch {
	case r.class.Idempotency == balancer.NotIdempotent:
		a.violation("%s is not idempotent and may have run, sent again", id)
	case a.now-first.at > r.class.DedupWindow:
		a.violation("%s sent again after its window", id)
	case r.class.DedupScope == balancer.DedupInZone && from.Zone != ep.Zone,
		r.class.DedupScope == balancer.DedupInCell && from.Cell != ep.Cell:
		a.violation("%s sent again outside its scope", id)
	}
}

// checkSlowStart checks this agent's part of the load of an endpoint that warms up. The capacity of endpoints is
// unknown. The work that the busiest warm one was sent within three windows bounds the rate that a balancer may assume
// of a warm one; the allowed multiple of the warm-up fraction of that bounds the load of the other. The slack is one
// mean request, and one of twice the mean that may be sent on the last permit.
func (a *auditor) checkSlowStart(ep *auditedEndpoint) {
	if a.isWarm(ep) || a.settings.SlowStartDuration == 0 {
		return
	}
	window := max(a.settings.SlowStartOverloadWindow, 1)
	most, warm := 0.0, false
	for _, other := range a.endpoints {
		if other != ep && a.isWarm(other) {
			most = max(most, other.workWithin(a.now, 3*window))
			warm = warm || other.notServingSince == 0
		}
	}
	if !warm {
		return // nothing to compare with: a balancer goes by its part of the least limit
	}
	age := max(0, float64(a.now-ep.started)/float64(a.settings.SlowStartDuration))
	fraction := a.settings.SlowStartMinCapacity + (1-a.settings.SlowStartMinCapacity)*age
	if got := ep.workWithin(a.now, window); got > a.settings.SlowStartOverloadMultiple*fraction*most+3 {
		a.violation("%s is warming up (%v) and got the work of %.1f mean requests in %v, "+
			"the busiest warm one %.1f in three times that", ep.ID, a.now-ep.started, got, window, most)
	}
}

func (a *auditor) isWarm(ep *auditedEndpoint) bool {
	return ep.started == 0 || a.now-ep.started >= a.settings.SlowStartDuration
}

func (ep *auditedEndpoint) workWithin(now, span time.Duration) (sum float64) {
	for _, sent := range ep.sends {
		if now-sent.at < span {
			sum += sent.work
		}
	}
	return sum
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

// audit plays events, actions and durations that pass, after a request of a class.
func audit(class int, play []any) *auditor {
	a := newAuditor(settings())
	a.now = time.Hour
	a.event(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(4)})
	a.event(balancer.Request{ID: "q", Class: class, Timeout: 2000 * ms})
	for _, p := range play {
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
	return a
}

// Each check of the auditor can fail: these recorded actions violate a rule.
func TestAuditorRejects(t *testing.T) {
	send := func(endpoint string) balancer.Action { return balancer.Send{Request: "q", Endpoint: endpoint} }
	ended := func(attempt int, result balancer.Result) balancer.Event {
		return balancer.Outcome{Request: "q", Attempt: attempt, Result: result, Done: result == balancer.Served}
	}
	reject, fail := balancer.Reject{Request: "q"}, balancer.Fail{Request: "q"}
	draining := balancer.EndpointList{Kind: balancer.ListDelta,
		Endpoints: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}}
	empty := balancer.EndpointList{Kind: balancer.ListComplete}
	restarted := balancer.EndpointList{Kind: balancer.ListDelta,
		Endpoints: []balancer.Endpoint{{ID: "a", StartedAt: time.Hour}}}
	tests := []struct {
		name  string
		class int
		play  []any // events, actions, and durations that pass
		want  string
	}{
		{"no answer", idempotent, []any{2021 * ms}, "got no answer in time"},
		{"two answers", idempotent, []any{fail, fail}, "answered twice"},
		{"answer after being served", idempotent, []any{send("a"), ended(0, balancer.Served), reject},
			"answered twice"},
		{"late answer", idempotent, []any{2020*ms + 1, fail}, "answered late"},
		{"send after the answer", idempotent, []any{fail, send("a")}, "sent after its end"},
		{"unknown endpoint", idempotent, []any{send("zz")}, "is unknown"},
		{"past the limit", idempotent, []any{send("a"), ended(0, balancer.ServerError),
			send("b"), ended(1, balancer.ServerError), send("a"), ended(2, balancer.ServerError),
			send("b"), ended(3, balancer.ServerError), send("a")}, "past the attempt limit"},
		{"hedged request", idempotent, []any{send("a"), send("b")}, "two attempts in flight"},
		{"not idempotent, repeated", notIdempotent, []any{send("a"), ended(0, balancer.TimedOut), send("b")},
			"is not idempotent"},
		{"not idempotent, rejected", notIdempotent, []any{send("a"), ended(0, balancer.Reset), reject},
			"rejected though"},
		{"not idempotent, rejected while in flight", notIdempotent, []any{send("a"), reject},
			"rejected though"},
		{"zone rejected", keyedInZone, []any{send("a"), ended(0, balancer.ServerError), reject},
			"rejected though"},
		{"outside the zone", keyedInZone, []any{send("a"), ended(0, balancer.ServerError), send("c")},
			"outside its scope"},
		{"outside the cell", keyedInCell, []any{send("a"), ended(0, balancer.ServerError), send("d")},
			"outside its scope"},
		{"after the window", keyedEverywhere, []any{send("a"), 301 * ms, ended(0, balancer.ServerError),
			send("b")}, "after its window"},
		{"draining", idempotent, []any{draining, 501 * ms, send("a")}, "draining or removed"},
		{"removed from the list", idempotent, []any{empty, 501 * ms, send("b")}, "draining or removed"},
		{"slow start", idempotent, []any{restarted, send("a"), ended(0, balancer.Rejected),
			send("a"), ended(1, balancer.Rejected),
			send("a"), ended(2, balancer.Rejected), send("a")}, "is warming up"},
		{"gossip where none is allowed", idempotent, []any{balancer.Gossip{Data: []byte{1}}},
			"bytes of gossip"},
		{"timer in the past", idempotent, []any{balancer.SetTimer{After: -1}}, "timer in the past"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := strings.Join(audit(tt.class, tt.play).violations, "; ")
			if !strings.Contains(got, tt.want) {
				t.Errorf("violations %q, want one with %q", got, tt.want)
			}
		})
	}
}
