package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
)

// auditor verifies that a balancer keeps the rules, given only its settings, events and actions. It has no
// model of the endpoints.
type auditor struct {
	settings      balancer.Settings
	now           time.Duration
	requests      map[string]*auditedRequest
	endpoints     map[string]*auditedEndpoint
	requestsByKey map[string][]*auditedRequest // ordered requests of each key, in the order of their arrival
	workByClass   map[int]expectedWork         // expected work of each class
	violations    []string
}

// expectedWork counts the requests that state their expected work, and sums up that work.
type expectedWork struct{ requests, sum float64 }

// auditedRequest is the state of a request and its attempts.
type auditedRequest struct {
	class        balancer.Class
	deadline     time.Duration
	relativeWork float64 // expected work as a multiple of the mean of the class; 1 if unknown
	attempts     []auditedAttempt
	isFinished   bool
	abandonedAt  time.Duration // time of an Abandoned, whose step may still return actions; 0: none
	isStreaming  bool
	key          string        // key of an ordered request; "": not ordered
	quietUntil   time.Duration // end of the quiet period that the request causes for its key
}

// auditedAttempt is the state of one attempt.
type auditedAttempt struct {
	endpoint   string
	sentAt     time.Duration
	isInFlight bool
	mayHaveRun bool
}

// auditedEndpoint is the latest list entry of an endpoint, and the work that was sent to it since its start.
type auditedEndpoint struct {
	balancer.Endpoint
	notServingSince time.Duration // time at which the list reported it as draining or removed; 0: serving
	warmUpStartedAt time.Duration // start of the process according to the list; 0: warm
	sends           []sentWork
}

// sentWork is the work of one attempt, as a multiple of the mean work of a request.
type sentWork struct {
	sentAt time.Duration
	work   float64
}

func newAuditor(s balancer.Settings) *auditor {
	return &auditor{
		settings:      s,
		requests:      map[string]*auditedRequest{},
		endpoints:     map[string]*auditedEndpoint{},
		requestsByKey: map[string][]*auditedRequest{},
		workByClass:   map[int]expectedWork{},
	}
}

func (a *auditor) recordViolation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf("at %v: ", a.now)+fmt.Sprintf(format, args...))
}

// firstViolations returns the first three violations.
func (a *auditor) firstViolations() string {
	return strings.Join(a.violations[:min(3, len(a.violations))], "\n")
}

func (a *auditor) handleEvent(e balancer.Event) {
	switch e := e.(type) {
	case balancer.Request:
		a.handleRequest(e)
	case balancer.Outcome:
		a.handleOutcome(e)
	case balancer.StreamStarted:
		if r := a.requests[e.Request]; r != nil {
			r.isStreaming = true
		}
	case balancer.Abandoned:
		if r := a.requests[e.Request]; r != nil && !r.isFinished {
			r.isFinished, r.abandonedAt = true, a.now
		}
	case balancer.EndpointList:
		a.handleEndpointList(e)
	}
}

func (a *auditor) handleRequest(e balancer.Request) {
	if e.Class < 0 || e.Class >= len(a.settings.Classes) || a.requests[e.ID] != nil {
		return
	}
	r := &auditedRequest{class: a.settings.Classes[e.Class], deadline: a.now + e.Timeout, relativeWork: 1}
	if work := float64(e.Work); work > 0 {
		total := a.workByClass[e.Class]
		total.requests++
		total.sum += work
		a.workByClass[e.Class] = total
		r.relativeWork = work / (total.sum / total.requests)
	}
	a.requests[e.ID] = r
	if r.class.Ordered && e.Key != "" {
		r.key = e.Key
		a.requestsByKey[e.Key] = append(a.requestsByKey[e.Key], r)
	}
}

func (a *auditor) handleOutcome(e balancer.Outcome) {
	r := a.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].isInFlight {
		return
	}
	attempt := &r.attempts[e.Attempt]
	attempt.isInFlight = false
	rejectedMayHaveRun := e.Result == balancer.Rejected && a.settings.RejectedMayHaveRun
	attempt.mayHaveRun = !e.Result.NeverRan() || rejectedMayHaveRun
	if e.Result == balancer.TimedOut || e.Result == balancer.Reset || e.Result == balancer.Cancelled {
		r.quietUntil = a.now + a.settings.KeyQuietPeriod
	}
	r.isFinished = r.isFinished || e.Done
}

func (a *auditor) handleEndpointList(e balancer.EndpointList) {
	if e.Kind == balancer.ListFailed {
		return
	}
	listed := map[string]bool{}
	for _, entry := range e.Endpoints {
		listed[entry.ID] = true
		a.handleListEntry(entry)
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

func (a *auditor) handleListEntry(entry balancer.Endpoint) {
	ep := a.endpoints[entry.ID]
	if ep == nil {
		ep = &auditedEndpoint{}
		a.endpoints[entry.ID] = ep
	}
	if entry.StartedAt > ep.StartedAt {
		ep.warmUpStartedAt, ep.sends = entry.StartedAt, nil
	}
	if entry.State == balancer.Serving {
		ep.notServingSince = 0
	} else if ep.State == balancer.Serving || ep.notServingSince == 0 {
		ep.notServingSince = a.now
	}
	ep.Endpoint = entry
}

func (a *auditor) handleAction(act balancer.Action) {
	switch act := act.(type) {
	case balancer.Send:
		a.handleSend(act)
	case balancer.Reject:
		a.handleReject(act)
	case balancer.Fail:
		a.handleFinalAnswer(act.Request)
	case balancer.SetTimer:
		if act.After < 0 {
			a.recordViolation("timer in the past: after %v", act.After)
		}
	case balancer.Gossip:
		if !a.settings.AllowGossip || len(act.Data) > 256 {
			a.recordViolation("%d bytes of gossip are not allowed", len(act.Data))
		}
	}
}

func (a *auditor) handleReject(act balancer.Reject) {
	r := a.handleFinalAnswer(act.Request)
	if r == nil {
		return
	}
	mayBeRepeated := r.class.Idempotency == balancer.Idempotent ||
		r.class.Idempotency == balancer.IdempotentWithKey && r.class.DedupScope == balancer.DedupEverywhere
	for _, attempt := range r.attempts {
		if (attempt.mayHaveRun || attempt.isInFlight) && !mayBeRepeated {
			a.recordViolation("%s was rejected although an attempt may have run", act.Request)
		}
	}
}

// handleFinalAnswer records a final answer and returns its request, or nil if that is unknown.
func (a *auditor) handleFinalAnswer(id string) *auditedRequest {
	r := a.requests[id]
	switch {
	case r == nil:
		a.recordViolation("final answer for unknown request %s", id)
		return nil
	case r.isFinished && r.abandonedAt != a.now:
		a.recordViolation("%s got a second final answer", id)
	case a.now > r.deadline+a.settings.ResponseGrace && !r.isStreaming:
		a.recordViolation("%s got its final answer after its deadline", id)
	}
	r.isFinished, r.abandonedAt = true, 0
	return r
}

func (a *auditor) handleSend(act balancer.Send) {
	r, ep := a.requests[act.Request], a.endpoints[act.Endpoint]
	if r == nil || ep == nil {
		a.recordViolation("request %q was sent to endpoint %q, and at least one of the two is unknown",
			act.Request, act.Endpoint)
		return
	}
	if r.isFinished && r.abandonedAt != a.now {
		a.recordViolation("%s was sent after it was finished", act.Request)
	}
	if len(r.attempts) >= max(1, a.settings.MaxAttempts) {
		a.recordViolation("%s was sent more often than the attempt limit allows", act.Request)
	}
	if ep.notServingSince > 0 && a.now > ep.notServingSince+a.settings.DrainGrace {
		a.recordViolation("%s was sent to %s, which has been draining or removed for %v",
			act.Request, act.Endpoint, a.now-ep.notServingSince)
	}
	a.auditKeyOrder(act.Request, r)
	a.auditRepeat(act.Request, r, ep)
	r.attempts = append(r.attempts, auditedAttempt{endpoint: act.Endpoint, sentAt: a.now, isInFlight: true})
	ep.sends = append(ep.sends, sentWork{a.now, r.relativeWork})
	a.auditSlowStart(ep)
}

// auditKeyOrder records a violation if a request is sent before all earlier requests of its key are finished,
// or in the quiet period of the key.
func (a *auditor) auditKeyOrder(id string, r *auditedRequest) {
	for _, earlier := range a.requestsByKey[r.key] {
		if earlier == r {
			break
		}
		open := !earlier.isFinished
		for _, attempt := range earlier.attempts {
			open = open || attempt.isInFlight
		}
		if open {
			a.recordViolation("%s was sent before an earlier request of its key finished", id)
		} else if a.now < earlier.quietUntil {
			a.recordViolation("%s was sent in the quiet period of its key", id)
		}
	}
}

// auditRepeat records a violation if a further attempt may have a further effect.
func (a *auditor) auditRepeat(id string, r *auditedRequest, ep *auditedEndpoint) {
	var first *auditedAttempt // first attempt that may have run
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if attempt.isInFlight && !a.settings.AllowHedging {
			a.recordViolation("%s has two attempts in flight", id)
		}
		if first == nil && (attempt.isInFlight || attempt.mayHaveRun) {
			first = attempt
		}
	}
	if first == nil || r.class.Idempotency == balancer.Idempotent {
		return
	}
	firstEndpoint := a.endpoints[first.endpoint]
	switch {
	case r.class.Idempotency == balancer.NotIdempotent:
		a.recordViolation("%s was sent again, but is not idempotent and may have run", id)
	case a.now-first.sentAt > r.class.DedupWindow:
		a.recordViolation("%s was sent again after its deduplication window", id)
	case r.class.DedupScope == balancer.DedupInZone && firstEndpoint.Zone != ep.Zone,
		r.class.DedupScope == balancer.DedupInCell && firstEndpoint.Cell != ep.Cell:
		a.recordViolation("%s was sent again outside its deduplication scope", id)
	}
}

// auditSlowStart records a violation if this agent sends too much to an endpoint that is warming up. The
// capacity of endpoints is unknown. The work sent to the busiest warm endpoint within three windows is an
// upper bound for the rate that a balancer may assume for a warm endpoint. That work, times the warm-up
// fraction, times the overload multiple, is the allowed load. The tolerance is the work of three mean
// requests: one mean request, and one of twice the mean work that uses the last permit.
func (a *auditor) auditSlowStart(ep *auditedEndpoint) {
	if a.isWarm(ep) || a.settings.SlowStartDuration == 0 {
		return
	}
	window := max(a.settings.SlowStartOverloadWindow, 1)
	maxWork, hasWarm := 0.0, false
	for _, other := range a.endpoints {
		if other != ep && a.isWarm(other) {
			maxWork = max(maxWork, other.workWithin(a.now, 3*window))
			hasWarm = hasWarm || other.notServingSince == 0
		}
	}
	if !hasWarm {
		return // no warm endpoint to compare with: a balancer uses its share of the minimum limit
	}
	age := max(0, float64(a.now-ep.warmUpStartedAt)/float64(a.settings.SlowStartDuration))
	fraction := a.settings.SlowStartMinCapacity + (1-a.settings.SlowStartMinCapacity)*age
	if got := ep.workWithin(a.now, window); got > a.settings.SlowStartOverloadMultiple*fraction*maxWork+3 {
		a.recordViolation("%s is warming up (for %v so far) and got the work of %.1f mean requests within %v; "+
			"the busiest warm endpoint got that of %.1f within three times that window",
			ep.ID, a.now-ep.warmUpStartedAt, got, window, maxWork)
	}
}

func (a *auditor) isWarm(ep *auditedEndpoint) bool {
	return ep.warmUpStartedAt == 0 || a.now-ep.warmUpStartedAt >= a.settings.SlowStartDuration
}

func (ep *auditedEndpoint) workWithin(now, span time.Duration) (sum float64) {
	for _, sent := range ep.sends {
		if now-sent.sentAt < span {
			sum += sent.work
		}
	}
	return sum
}

// auditDeadlines records a violation for each request without a final answer after its deadline.
func (a *auditor) auditDeadlines() {
	for id, r := range a.requests {
		if !r.isFinished && !r.isStreaming && a.now > r.deadline+a.settings.ResponseGrace {
			a.recordViolation("%s got no final answer by its deadline", id)
			r.isFinished = true
		}
	}
}

// runAuditor submits a request of a class and then passes the events and actions of the script to an auditor.
// A duration in the script advances the clock.
func runAuditor(class int, script []any) *auditor {
	a := newAuditor(settings())
	a.now = time.Hour
	a.handleEvent(balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(4)})
	a.handleEvent(balancer.Request{ID: "q", Class: class, Timeout: 2000 * ms})
	for _, item := range script {
		switch item := item.(type) {
		case time.Duration:
			a.now += item
		case balancer.Event:
			a.handleEvent(item)
		case balancer.Action:
			a.handleAction(item)
		}
	}
	a.auditDeadlines()
	return a
}

// The auditor detects each kind of violation. Each script violates a rule.
func TestAuditorDetectsViolations(t *testing.T) {
	send := func(endpoint string) balancer.Action { return balancer.Send{Request: "q", Endpoint: endpoint} }
	outcome := func(attempt int, result balancer.Result) balancer.Event {
		return balancer.Outcome{Request: "q", Attempt: attempt, Result: result, Done: result == balancer.Served}
	}
	reject, fail := balancer.Reject{Request: "q"}, balancer.Fail{Request: "q"}
	draining := balancer.EndpointList{Kind: balancer.ListDelta,
		Endpoints: []balancer.Endpoint{{ID: "a", State: balancer.Draining}}}
	empty := balancer.EndpointList{Kind: balancer.ListComplete}
	restarted := balancer.EndpointList{Kind: balancer.ListDelta,
		Endpoints: []balancer.Endpoint{{ID: "a", StartedAt: time.Hour}}}
	tests := []struct {
		name   string
		class  int
		script []any // events, actions, and durations by which the clock advances
		want   string
	}{
		{"no answer", idempotent, []any{2021 * ms}, "got no final answer by its deadline"},
		{"two answers", idempotent, []any{fail, fail}, "got a second final answer"},
		{"answer after being served", idempotent, []any{send("a"), outcome(0, balancer.Served), reject},
			"got a second final answer"},
		{"late answer", idempotent, []any{2020*ms + 1, fail}, "got its final answer after its deadline"},
		{"send after the answer", idempotent, []any{fail, send("a")}, "was sent after it was finished"},
		{"unknown endpoint", idempotent, []any{send("zz")}, "is unknown"},
		{"too many attempts", idempotent, []any{send("a"), outcome(0, balancer.ServerError),
			send("b"), outcome(1, balancer.ServerError), send("a"), outcome(2, balancer.ServerError),
			send("b"), outcome(3, balancer.ServerError), send("a")}, "more often than the attempt limit allows"},
		{"hedged request", idempotent, []any{send("a"), send("b")}, "two attempts in flight"},
		{"not idempotent, repeated", notIdempotent, []any{send("a"), outcome(0, balancer.TimedOut), send("b")},
			"is not idempotent"},
		{"not idempotent, rejected", notIdempotent, []any{send("a"), outcome(0, balancer.Reset), reject},
			"rejected although"},
		{"not idempotent, rejected while in flight", notIdempotent, []any{send("a"), reject},
			"rejected although"},
		{"zone rejected", keyedInZone, []any{send("a"), outcome(0, balancer.ServerError), reject},
			"rejected although"},
		{"outside the zone", keyedInZone, []any{send("a"), outcome(0, balancer.ServerError), send("c")},
			"outside its deduplication scope"},
		{"outside the cell", keyedInCell, []any{send("a"), outcome(0, balancer.ServerError), send("d")},
			"outside its deduplication scope"},
		{"after the window", keyedEverywhere, []any{send("a"), 301 * ms, outcome(0, balancer.ServerError),
			send("b")}, "after its deduplication window"},
		{"draining", idempotent, []any{draining, 501 * ms, send("a")}, "draining or removed"},
		{"removed from the list", idempotent, []any{empty, 501 * ms, send("b")}, "draining or removed"},
		{"slow start", idempotent, []any{restarted, send("a"), outcome(0, balancer.Rejected),
			send("a"), outcome(1, balancer.Rejected),
			send("a"), outcome(2, balancer.Rejected), send("a")}, "is warming up"},
		{"gossip although not allowed", idempotent, []any{balancer.Gossip{Data: []byte{1}}},
			"bytes of gossip"},
		{"timer in the past", idempotent, []any{balancer.SetTimer{After: -1}}, "timer in the past"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := strings.Join(runAuditor(tt.class, tt.script).violations, "; ")
			if !strings.Contains(got, tt.want) {
				t.Errorf("got violations %q, want one with %q", got, tt.want)
			}
		})
	}
}
