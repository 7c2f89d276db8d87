package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// of the time within which all must ask: what one call may take of discovery
	pollSpreadPerAgent = 1.0 / 128
	// answers that the mean of all counts for in a backend's slowness at the start
	priorSamples = 2.0
	// one sample says at most that a backend is so many times slower than the mean
	maxSlownessSample = 8.0
)

type endpoint struct {
	Endpoint
	hash                uint64
	preference          float64    // its place in this balancer's own order, if all were alike: drawn once
	inFlight            []*attempt // oldest first
	hasServed           bool       // has answered this balancer since it started
	slowness            float64    // running mean of its latency over the mean of all
	slownessSamples     float64    // answers that slow rests on
	ejectionLevel       float64
	ejectedUntil        time.Duration // no traffic before this time
	ejectedAt           time.Duration
	rejectingUntil      time.Duration
	classEjections      []classEjection // by class
	lastServedAt        time.Duration
	latestAnsweredSend  time.Duration // when the latest of its attempts that were answered was sent
	unreachable         bool          // connections failed or broke since the last answer
	consecutiveFailures int           // failures of any kind since the last answer ...
	firstFailureAt      time.Duration // ... and when the first of them was
	// in the working set: connected as far as can be told, and not turning work away
	connected        bool
	connectionUsedAt time.Duration // when that was last used
	startedAt        time.Duration // when its latest start became known or seen
	warmingUp        bool
	permitAt         time.Duration // when it may get a request while it is cold
}

func (b *Balancer) onEndpointList(e EndpointList) {
	failed := e.Kind == ListFailed || e.Kind == ListRefused
	if b.listFailures++; !failed {
		b.listFailures = 0
	}
	if b.settings.Subscribe && (failed || e.Kind == ListCached) {
		b.scheduleSubscribe(e.Kind == ListRefused)
	}
	if failed {
		return
	}
	full := e.Kind != ListDelta
	listed := map[string]bool{}
	for _, n := range e.Endpoints {
		listed[n.ID] = true
		t := b.endpointByID[n.ID]
		if t == nil && n.State == Removed {
			continue
		}
		if t == nil {
			t = &endpoint{Endpoint: n, hash: hash(n.ID), preference: b.rng.ExpFloat64()}
			t.classEjections = make([]classEjection, len(b.classes))
			b.endpointByID[n.ID] = t
			b.endpoints = append(b.endpoints, t)
			if n.Started > 0 {
				b.startWarmUp(t, n.Started)
			}
			continue
		}
		if n.Started > t.Started {
			b.startWarmUp(t, max(n.Started, t.startedAt))
			t.ejectionLevel, t.ejectedUntil, t.unreachable = 0, 0, false
		}
		t.Endpoint = n
	}
	for _, t := range b.endpoints {
		if full && !listed[t.ID] {
			t.State = Removed
		}
	}
	b.dropRemoved()
}

// askLater asks for the list after a fully jittered wait, so that agents that start or lose their lists
// together do not overload discovery. The spread grows with the number of agents and with each failure.
func (b *Balancer) scheduleSubscribe(refused bool) {
	spread := min(pollSpreadPerAgent*float64(b.settings.Agents), 0.25) *
		math.Exp2(float64(min(b.listFailures, 4)))
	most := b.settings.PollSpread
	if refused { // by then it could not be reached
		most = b.settings.RefusedPollSpread
	}
	most = min(cmp.Or(most, b.settings.PollWithin), b.settings.PollWithin)
	b.subscribeToken = b.setTimer(time.Duration(b.rng.Float64() *
		min(spread*float64(b.settings.PollWithin), float64(most))))
}

// dropRemoved forgets the endpoints that are gone, once none of their attempts is in flight.
func (b *Balancer) dropRemoved() {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(t *endpoint) bool {
		over := t.State == Removed && len(t.inFlight) == 0
		if over {
			delete(b.endpointByID, t.ID)
		}
		return over
	})
}

// measure sums up what the backends that are up, and not ejected or down, can do.
func (b *Balancer) measureFleet() {
	b.serving, b.warm, b.capacity, b.stalled = 0, 0, 0, 0
	for _, t := range b.endpoints {
		if t.State == Serving {
			b.serving++
			if !t.warmingUp {
				b.warm++
			}
		}
		usable := t.State == Serving && !t.unreachable && b.now >= t.ejectedUntil && !b.isUnresponsive(t)
		if usable {
			b.capacity += b.warmUpFraction(t)
		}
		for _, a := range t.inFlight {
			if !usable || b.now-a.sentAt > a.unresponsiveAfter {
				b.stalled++
			}
		}
	}
}

// slowness is how much longer this backend takes than the mean, by its answers or
// by the wait of its oldest attempt if that is worse (a stall shows before any answer).
func (b *Balancer) slowness(t *endpoint) float64 {
	s := cmp.Or(t.slowness, 1)
	for _, a := range t.inFlight {
		if a.sentAt > t.latestAnsweredSend || t.warmingUp {
			return max(s, float64(b.now-a.sentAt)/a.expectedLatency/2)
		}
	}
	return s
}

// learnSpeed takes one latency, as a multiple of the expected, into a backend's slowness.
// The first few weigh more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) updateSlowness(t *endpoint, sample float64) {
	t.slownessSamples++
	t.slowness = cmp.Or(t.slowness, 1)
	t.slowness += max(smoothing, 1/(t.slownessSamples+priorSamples)) * (min(sample,
		maxSlownessSample) - t.slowness)
}

// load is what t has to do for this balancer: its attempts out, less those whose answer seems lost, since it
// is overdue and what was sent after it has been answered. Not for cold ones: all is overdue there.
func (b *Balancer) load(t *endpoint) float64 {
	n := len(t.inFlight)
	for _, a := range t.inFlight {
		if a.sentAt > t.latestAnsweredSend || t.warmingUp {
			break
		}
		if b.now-a.sentAt > a.unresponsiveAfter {
			n--
		}
	}
	return float64(n)
}
