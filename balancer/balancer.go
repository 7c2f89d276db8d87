package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Balancer decides for one agent. See the package comment for its use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // of the current step

	classes      []*classState
	requests     map[string]*request
	timers       map[int64]*request // by token
	lastTimer    int64              // the last token given out
	openRequests int                // requests without a final answer
	inFlight     int                // attempts without an outcome
	queue        []*request         // the admission queue, oldest first
	keyQueues    map[string]*keyQueue
	quietKeys    []*keyQueue // those in a quiet period, which may be over, in the order of its end

	endpoints      []*endpoint // in the order in which they were first listed
	touched        []*endpoint // those that are looked at one by one
	untouched      untouchedEndpoints
	endpointByID   map[string]*endpoint
	fleet          fleetSummary
	subscribeTimer int64 // its token
	listFailures   int   // in a row

	// Of one pick; kept for their memory alone.
	candidates      []candidate
	connectedOthers []candidate // outside the subset
	others          []otherCandidate

	retryTokens      float64
	limit            concurrencyLimit
	traffic          recentTraffic
	warmWork         float64 // work that a warm endpoint lately did for this agent, ns
	warmWorkAt       time.Duration
	latencyDeviation float64 // mean deviation of latency from its class's mean, over that mean
	failureRate      float64 // share of recent attempts that ended by an error or a broken connection
}

// New returns a balancer with no state. All its random choices come from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s.withDefaults(), rng: rand.New(rand.NewPCG(seed, 0)),
		endpointByID: map[string]*endpoint{}, requests: map[string]*request{},
		keyQueues: map[string]*keyQueue{}, timers: map[int64]*request{},
		limit:       concurrencyLimit{perEndpoint: minLimitPerEndpoint, baseRatio: targetRatio / targetRise},
		retryTokens: retryTokenCapacity, latencyDeviation: 1}
	for _, class := range s.Classes {
		b.classes = append(b.classes, &classState{Class: class, index: len(b.classes),
			meanLatency: float64(class.Objective) / 4, newOnTime: 1, connectedOnTime: 1})
	}
	return b, nil
}

// Step takes what has happened by now, in order, and returns what to do.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now = max(now, b.now)
	b.actions = nil
	b.expireQuietKeys()
	b.decayTraffic()
	b.measureFleet()
	for _, event := range events {
		switch event := event.(type) {
		case Request:
			b.onRequest(event)
		case Outcome:
			b.onOutcome(event)
		case TimerFired:
			b.onTimer(event.Token)
		case EndpointList:
			b.onEndpointList(event)
			b.measureFleet()
		case StreamStarted:
			if r := b.requests[event.Request]; r != nil && !r.ended {
				r.streaming = true
			}
		case Abandoned:
			if r := b.requests[event.Request]; r != nil {
				b.closeRequest(r)
			}
		}
	}
	b.dispatchQueue()
	return b.actions
}

func (b *Balancer) onRequest(event Request) {
	if event.Class < 0 || event.Class >= len(b.classes) || b.requests[event.ID] != nil {
		return
	}
	class := b.classes[event.Class]
	r := &request{id: event.ID, class: class, objectiveAt: b.now + min(class.Objective, event.Timeout),
		deadline: b.now + event.Timeout, clientRetry: event.ClientRetry, work: float64(event.Work)}
	if event.Key != "" {
		r.keyHash = xxhash.Sum64String(event.Key)
	}
	b.observeArrival(r, event)
	b.requests[r.id] = r
	b.openRequests++
	b.joinKeyQueue(r, event.Key)
	b.enqueue(r)
}

func (b *Balancer) onOutcome(event Outcome) {
	r, n := b.requests[event.Request], event.Attempt
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].inFlight {
		return
	}
	a := r.attempts[n]
	b.endAttempt(r, a, event.Result)
	b.observeOutcome(r, a, event)
	if event.Result == Served && !r.ended {
		b.onServed(r)
	}
	if a.endpoint.isGone() {
		b.forget(a.endpoint)
	}
	if event.Done || event.Result == Served || r.ended {
		b.closeRequest(r)
		return
	}
	r.lastFailed = a.endpoint
	if r.inFlight == 0 && !r.backingOff && !r.queued {
		b.retry(r, event.Result)
	}
}

func (b *Balancer) endAttempt(r *request, a *attempt, result Result) {
	a.inFlight = false
	r.inFlight--
	b.inFlight--
	a.endpoint.inFlight = slices.DeleteFunc(a.endpoint.inFlight, func(o *attempt) bool { return o == a })
	if result == TimedOut || result == Reset || result == Cancelled {
		r.quietUntil = b.now + b.settings.KeyQuietPeriod
	}
	if result.NeverRan() && (result != Rejected || !b.settings.RejectedMayHaveRun) {
		if r.mayHaveRun--; r.mayHaveRun == 0 {
			r.firstMayHaveRun = nil
		}
	}
}

func (b *Balancer) onServed(r *request) {
	b.retryTokens = min(retryTokenCapacity, b.retryTokens+successTokenRefill)
	if b.now <= r.objectiveAt {
		r.class.onTime++
		b.traffic.onTime++
	}
	for i, other := range r.attempts {
		if other.inFlight && b.settings.AllowCancel {
			b.actions = append(b.actions, Cancel{Request: r.id, Attempt: i})
		}
	}
}

func (b *Balancer) onTimer(token int64) {
	if token == b.subscribeTimer && token != 0 {
		b.subscribeTimer = 0
		b.actions = append(b.actions, Subscribe{})
		return
	}
	r := b.timers[token]
	delete(b.timers, token)
	if r == nil || r.ended || token != r.timer {
		return
	}
	r.timer = 0 // a request that stays queued for longer than was expected gets another one
	switch {
	case r.backingOff:
		r.backingOff = false
		b.enqueue(r)
	case r.inFlight > 0 && !r.queued && !r.streaming:
		b.hedge(r)
	}
}

func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	r.timer = b.setTimer(at - b.now)
	b.timers[r.timer] = r
}

func (b *Balancer) setTimer(wait time.Duration) int64 {
	b.lastTimer++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.lastTimer})
	return b.lastTimer
}
