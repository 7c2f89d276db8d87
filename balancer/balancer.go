package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Balancer decides for one agent. See the package comment for its use.
//
// It holds the parts that decide, one for each concern. A part owns its state, which its own methods change;
// Balancer dispatches the events to the parts and collects the actions. All random choices come from one
// generator, in the order of the events, so that the same settings, seed and events give the same actions.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // of the current step
	actions  []Action      // of the current step

	requests         map[string]*request // those that are open or have attempts in flight, by ID
	openRequests     int                 // requests without a final answer
	attemptsInFlight int                 // attempts without an outcome
	timers           timerTable

	classes   classList
	endpoints endpointSet
	fleet     fleetSummary

	queue        admissionQueue
	keyQueues    keyQueues
	traffic      trafficStats
	limiter      concurrencyLimiter
	picker       picker
	attemptRules attemptRules
	retryTokens  tokenBucket
	hedger       hedger
	outliers     outlierDetector
	slowStart    slowStart
	subscriber   subscriber
}

// New returns a balancer with no state. All its random choices come from seed. The error is a *SettingError.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:  s.withDefaults(),
		rng:       rand.New(rand.NewPCG(seed, 0)),
		requests:  map[string]*request{},
		timers:    newTimerTable(),
		endpoints: newEndpointSet(s.Zone),
		keyQueues: newKeyQueues(),
	}
	for i, class := range s.Classes {
		b.classes = append(b.classes, newClassStats(class, i))
	}
	b.traffic = newTrafficStats(b.classes.reference().Objective)
	b.limiter = newConcurrencyLimiter(s.Agents)
	b.retryTokens = newTokenBucket()
	b.hedger = newHedger()
	b.attemptRules = attemptRules{
		maxAttempts:    b.settings.MaxAttempts,
		allowHedging:   s.AllowHedging,
		connectTimeout: s.ConnectTimeout,
	}
	b.outliers = outlierDetector{rng: b.rng, connectTimeout: s.ConnectTimeout, classes: b.classes}
	b.slowStart = newSlowStart(&b.settings, b.rng)
	b.subscriber = subscriber{settings: &b.settings, rng: b.rng}
	b.picker = picker{
		settings:  &b.settings,
		rng:       b.rng,
		rules:     &b.attemptRules,
		limiter:   &b.limiter,
		traffic:   &b.traffic,
		slowStart: &b.slowStart,
		endpoints: &b.endpoints,
	}
	return b, nil
}

// Step applies the events that have happened by now, in their order, and returns the actions, in the order in
// which they must be carried out. now must not run backwards.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now = max(now, b.now)
	b.actions = nil
	b.keyQueues.expire(b.now)
	b.traffic.decay(b.now)
	b.measureFleet()
	for _, event := range events {
		b.dispatch(event)
	}
	b.dispatchQueue()
	return b.actions
}

// dispatch applies one event. Health check results and gossip are ignored, since the balancer asks for
// neither.
func (b *Balancer) dispatch(event Event) {
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
		b.onStreamStarted(event)
	case Abandoned:
		b.onAbandoned(event)
	}
}

// act adds an action to those of the current step.
func (b *Balancer) act(action Action) { b.actions = append(b.actions, action) }

// onRequest adds a new request. One with an unknown class, or whose ID is in use, is ignored.
func (b *Balancer) onRequest(event Request) {
	if event.Class < 0 || event.Class >= len(b.classes) || b.requests[event.ID] != nil {
		return
	}
	class := b.classes[event.Class]
	r := &request{
		id:            event.ID,
		class:         class,
		objectiveAt:   b.now + min(class.Objective, event.Timeout),
		deadline:      b.now + event.Timeout,
		isClientRetry: event.ClientRetry,
		workNs:        float64(event.Work),
	}
	if event.Key != "" {
		r.keyHash = xxhash.Sum64String(event.Key)
	}
	b.observeArrival(r, event)
	b.requests[r.id] = r
	b.openRequests++
	if event.Key != "" && class.Ordered {
		b.keyQueues.join(r, event.Key)
	}
	b.queue.push(r)
}

// observeArrival lets the request's class learn from it.
func (b *Balancer) observeArrival(r *request, event Request) {
	class := r.class
	if class.observeTimeout(event.Timeout, b.settings.Tick, event.ClientRetry) {
		r.isClientRetry = true
		r.objectiveAt -= max(0, class.Deadline-event.Timeout)
	}
	class.observeWork(r.workNs)
	b.classes.observeArrival(class)
}

func (b *Balancer) onStreamStarted(event StreamStarted) {
	if r := b.requests[event.Request]; r != nil && !r.hasEnded() {
		r.isStreaming = true
	}
}

func (b *Balancer) onAbandoned(event Abandoned) {
	if r := b.requests[event.Request]; r != nil {
		b.closeRequest(r)
	}
}

// pick chooses the endpoint of a request's next attempt; nil: none may be used now.
func (b *Balancer) pick(r *request) *endpoint {
	b.traffic.observeInFlight(b.activeInFlight())
	return b.picker.pick(r, b.now, b.fleet)
}
