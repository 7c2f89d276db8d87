package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const pollSpreadPerAgent = 1.0 / 128 // of PollWithin: what one call may take of discovery's capacity

// endpoint is an entry of the list and what was learnt of it.
type endpoint struct {
	Endpoint
	hash       uint64
	preference float64    // its place in this agent's own order if all were alike, the least first
	inFlight   []*attempt // oldest first
	touched    bool       // it is not, or no longer, among the untouched ones

	connected                 bool // as far as is known, and not rejecting requests
	connectionUsedAt          time.Duration
	hasServed                 bool // since it started
	lastServedAt              time.Duration
	latestAnsweredSend        time.Duration // when the latest of its attempts that were answered was sent
	slowness, slownessSamples float64       // mean of its latency over the expected one

	consecutiveFailures     int
	firstFailureAt          time.Duration // of these
	unreachable             bool          // connections failed or broke since it last served
	ejectionLevel           float64       // each ejection raises it, each served attempt lowers it
	ejectedAt, ejectedUntil time.Duration
	rejectingUntil          time.Duration
	classEjections          []classEjection // by class

	warmingUp bool
	startedAt time.Duration // when its latest start became known
	permitAt  time.Duration // when it may get its next request while it warms up
}

// fleetSummary sums up the endpoints, in each step anew.
type fleetSummary struct {
	serving  int     // endpoints that the list says are serving
	warm     int     // of these, not warming up
	capacity float64 // endpoints that can be used, each counted by its warm-up fraction
	stalled  int     // attempts in flight that are overdue, or at endpoints that cannot be used
}

func (b *Balancer) onEndpointList(list EndpointList) {
	failed := list.Kind == ListFailed || list.Kind == ListRefused
	if b.listFailures++; !failed {
		b.listFailures = 0
	}
	if b.settings.Subscribe && (failed || list.Kind == ListCached) {
		b.scheduleSubscribe(list.Kind == ListRefused)
	}
	if failed {
		return
	}
	for _, entry := range list.Endpoints {
		b.applyEntry(entry)
	}
	if list.Kind != ListDelta {
		b.removeUnlisted(list.Endpoints)
	}
}

// removeUnlisted removes the endpoints that a complete list does not name.
func (b *Balancer) removeUnlisted(entries []Endpoint) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for _, ep := range b.endpoints {
		if listed[ep.ID] {
			continue
		}
		b.touch(ep)
		ep.State = Removed
		if ep.isGone() {
			delete(b.endpointByID, ep.ID)
		}
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, (*endpoint).isGone)
	b.touched = slices.DeleteFunc(b.touched, (*endpoint).isGone)
}

func (b *Balancer) applyEntry(entry Endpoint) {
	ep := b.endpointByID[entry.ID]
	if ep == nil && entry.State == Removed {
		return
	}
	if ep == nil {
		ep = b.addEndpoint(entry)
	}
	if entry.State != Serving {
		b.touch(ep)
	}
	if entry.StartedAt > ep.StartedAt {
		b.startWarmUp(ep, min(max(entry.StartedAt, ep.startedAt), b.now))
		ep.ejectionLevel, ep.ejectedUntil, ep.unreachable = 0, 0, false
	}
	b.relist(ep, entry)
	if ep.isGone() {
		b.forget(ep)
	}
}

// addEndpoint adds an endpoint of which nothing is known but that it is listed.
func (b *Balancer) addEndpoint(entry Endpoint) *endpoint {
	ep := &endpoint{Endpoint: entry, hash: xxhash.Sum64String(entry.ID), preference: b.rng.ExpFloat64()}
	ep.StartedAt = 0 // applyEntry compares
	ep.classEjections = make([]classEjection, len(b.classes))
	b.endpointByID[entry.ID] = ep
	b.endpoints = append(b.endpoints, ep)
	b.addUntouched(ep)
	return ep
}

func (ep *endpoint) isGone() bool { return ep.State == Removed && len(ep.inFlight) == 0 }

// forget drops an endpoint that is gone.
func (b *Balancer) forget(ep *endpoint) {
	b.endpoints = deleteEndpoint(b.endpoints, ep)
	b.touched = deleteEndpoint(b.touched, ep)
	delete(b.endpointByID, ep.ID)
}

func deleteEndpoint(endpoints []*endpoint, ep *endpoint) []*endpoint {
	i := slices.Index(endpoints, ep)
	if i < 0 {
		return endpoints
	}
	return slices.Delete(endpoints, i, i+1)
}

// scheduleSubscribe asks for the list after a fully jittered wait, which grows with the number of agents.
func (b *Balancer) scheduleSubscribe(refused bool) {
	firstSpread := min(pollSpreadPerAgent*float64(b.settings.Agents), 0.25)
	spread := firstSpread * math.Exp2(float64(min(b.listFailures, 4)))
	longest := b.settings.PollSpread
	if refused { // discovery could not be reached any sooner
		longest = b.settings.RefusedPollSpread
	}
	longest = min(cmp.Or(longest, b.settings.PollWithin), b.settings.PollWithin)
	wait := b.rng.Float64() * min(spread*float64(b.settings.PollWithin), float64(longest))
	b.subscribeTimer = b.setTimer(time.Duration(wait))
}

func (b *Balancer) measureFleet() {
	untouched := b.untouched.count()
	b.fleet = fleetSummary{serving: untouched, warm: untouched, capacity: float64(untouched)}
	for _, ep := range b.touched {
		if ep.State == Serving {
			b.fleet.serving++
			if !ep.warmingUp {
				b.fleet.warm++
			}
		}
		usable := ep.State == Serving && !ep.unreachable && !b.isEjected(ep) && !b.isUnresponsive(ep)
		if usable {
			b.fleet.capacity += b.warmUpFraction(ep)
		}
		for _, a := range ep.inFlight {
			if !usable || a.isOverdue(b.now) {
				b.fleet.stalled++
			}
		}
	}
}

func (b *Balancer) activeInFlight() float64 { return float64(b.inFlight - b.fleet.stalled) }
