package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer decides for one agent. See the package comment for its use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	endpoints    []*endpoint // in the order in which they were first listed
	endpointByID map[string]*endpoint
	requests     map[string]*request
	peakInFlight float64              // the most attempts out lately, decayed
	candidates   []candidate          // of one pick; kept for its memory alone
	openRequests int                  // requests that have no final answer yet
	queue        []*request           // waiting for room, oldest first
	keyQueues    map[string]*keyQueue // of ordered requests, by key
	quietKeys    []*keyQueue          // lines whose key rests or has rested, in the order of its end
	timers       map[int64]*request
	lastToken    int64 // last timer token given out

	retryTokens      float64 // the retry bucket
	classes          []classState
	inFlight         int
	stalled          int     // of these, on backends that are not counted in capacity
	limitPerEndpoint float64 // attempts that all agents may have in flight together, per backend that is up
	serving          int     // backends that the list says are up
	warm             int     // of these, not cold
	capacity         float64 // their number, each counted by its warmth
	latencyRatio     float64 // running mean of latency over aim
	latencyDeviation float64 // running mean deviation of latency from the mean of its class, over that mean
	latencySamples   float64 // that delay rests on
	failureRate      float64 // share of attempts that lately ended by an error or a broken connection
	baseLatencyRatio float64 // its low: what it is without queues
	limitCutAt       time.Duration
	sentRecently     float64 // requests sent lately ...
	onTimeRecently   float64 // ... and those answered within their aim
	decayedAt        time.Duration

	warmWork       float64       // decayed work that a warm backend served, in the mean of them ...
	warmWorkAt     time.Duration // ... by then
	listFailures   int
	subscribeToken int64
}

// New returns a balancer with no state. All its random choices come from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s, rng: rand.New(rand.NewPCG(seed, 0)), retryTokens: retryTokenCapacity,
		latencyDeviation: 1,
		baseLatencyRatio: targetRatio / targetRise, limitPerEndpoint: minLimitPerEndpoint,
		endpointByID: map[string]*endpoint{},
		requests:     map[string]*request{}, timers: map[int64]*request{}, keyQueues: map[string]*keyQueue{}}
	b.settings.MaxAttempts = max(1, s.MaxAttempts)
	if s.ColdCapacity == 0 {
		b.settings.ColdCapacity = 1
	}
	for _, c := range s.Classes {
		b.classes = append(b.classes, classState{Class: c, meanLatency: float64(c.Objective) / 4,
			newOnTime: 1, connectedOnTime: 1})
	}
	return b, nil
}

// Step takes what has happened by now, in order, and returns what to do.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	b.expireQuietKeys()
	f := math.Exp(-float64(b.now-b.decayedAt) / (trafficWindow * float64(b.classes[0].Objective)))
	b.sentRecently, b.onTimeRecently, b.peakInFlight, b.decayedAt = b.sentRecently*f, b.onTimeRecently*f,
		b.peakInFlight*f, b.now
	b.measureFleet()
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			b.onRequest(e)
		case Outcome:
			b.onOutcome(e)
		case TimerFired:
			b.onTimer(e.Token)
		case EndpointList:
			b.onEndpointList(e)
			b.measureFleet()
		case StreamStarted:
			if r := b.requests[e.Request]; r != nil && !r.ended {
				r.streaming = true
			}
		case Abandoned:
			if r := b.requests[e.Request]; r != nil {
				b.closeRequest(r)
			}
		}
	}
	b.dispatchQueue()
	return b.actions
}

func (b *Balancer) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(b.classes) || b.requests[e.ID] != nil {
		return
	}
	c := &b.classes[e.Class]
	r := &request{id: e.ID, class: e.Class, objectiveAt: b.now + min(c.Objective, e.Timeout),
		deadline: b.now + e.Timeout, clientRetry: e.ClientRetry}
	// A client gives its tries a usual patience, its last one all that is left of its deadline.
	// A try with any other patience therefore tells how long ago the client began.
	if c.usualTimeout == 0 {
		c.usualTimeout = e.Timeout
	}
	off := e.Timeout - c.usualTimeout
	if off > 2*b.settings.Tick || off < -2*b.settings.Tick {
		r.clientRetry = true
		r.objectiveAt -= max(0, c.Deadline-e.Timeout)
	}
	if !e.ClientRetry {
		c.usualTimeout += min(max(off, -b.settings.Tick/4), b.settings.Tick/4) // towards the median
	}
	if r.work = float64(e.Work); r.work > 0 {
		c.meanWork = movingAverage(c.meanWork, r.work)
	}
	for i := range b.classes { // decay by arrivals: the last few hundred requests count
		b.classes[i].arrived *= 1 - smoothing/20
		b.classes[i].onTime *= 1 - smoothing/20
	}
	c.arrived++
	b.requests[e.ID] = r
	b.openRequests++
	if e.Key != "" {
		r.keyHash = hash(e.Key)
	}
	b.joinKeyQueue(r, e.Key)
	b.enqueue(r)
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].inFlight {
		return
	}
	a := r.attempts[e.Attempt]
	a.inFlight = false
	r.inFlight--
	b.inFlight--
	a.endpoint.inFlight = slices.DeleteFunc(a.endpoint.inFlight, func(o *attempt) bool { return o == a })
	if e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled {
		r.quietUntil = b.now + b.settings.KeyQuietPeriod
	}
	if e.Result.NeverRan() && !(e.Result == Rejected && b.settings.RejectedMayHaveRun) {
		if r.mayHaveRun--; r.mayHaveRun == 0 {
			r.firstMayHaveRun = nil
		}
	}
	c := &b.classes[r.class]
	b.observeOutcome(r, a, e)
	if e.Result == Served && !r.ended {
		b.retryTokens = min(retryTokenCapacity, b.retryTokens+successTokenRefill)
		if b.now <= r.objectiveAt {
			c.onTime++
			b.onTimeRecently++
		}
		for i, o := range r.attempts {
			if o.inFlight && b.settings.AllowCancel {
				b.actions = append(b.actions, Cancel{Request: r.id, Attempt: i})
			}
		}
	}
	if a.endpoint.State == Removed && len(a.endpoint.inFlight) == 0 {
		b.dropRemoved()
	}
	if e.Done || e.Result == Served || r.ended {
		b.closeRequest(r)
		return
	}
	r.lastFailed = a.endpoint
	if r.inFlight == 0 && !r.backingOff && !r.queued {
		b.retry(r, e.Result)
	}
}

func (b *Balancer) onTimer(token int64) {
	if token == b.subscribeToken && token != 0 {
		b.subscribeToken = 0
		b.actions = append(b.actions, Subscribe{})
		return
	}
	r := b.timers[token]
	delete(b.timers, token)
	if r == nil || r.ended || token != r.timerToken {
		return
	}
	r.timerToken = 0 // a held request that may stay longer than it seemed sets another one: lost otherwise
	switch {
	case r.backingOff:
		r.backingOff = false
		b.enqueue(r)
	case r.inFlight > 0 && !r.queued && !r.streaming:
		b.hedge(r)
	}
}

func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	r.timerToken = b.setTimer(at - b.now)
	b.timers[r.timerToken] = r
}

func (b *Balancer) setTimer(wait time.Duration) int64 {
	b.lastToken++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.lastToken})
	return b.lastToken
}
