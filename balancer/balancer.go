package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Balancer decides for one agent. See the package comment for its use.
//
// It holds the parts that decide, one for each concern. A part owns its state, which its own methods change;
// Balancer passes the events to the parts, changes the requests, and collects the actions. All random choices
// come from one generator, in the order of the events, so that the same settings, seed and events give the
// same actions.
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
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	settings = settings.withDefaults()
	b := &Balancer{
		settings:  settings,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		requests:  map[string]*request{},
		timers:    newTimerTable(),
		endpoints: newEndpointSet(settings.Zone),
		keyQueues: newKeyQueues(),
	}
	for i, class := range settings.Classes {
		b.classes = append(b.classes, newClassStats(class, i))
	}
	b.traffic = newTrafficStats(b.classes.reference().Objective)
	b.limiter = newConcurrencyLimiter(settings.Agents)
	b.retryTokens = newTokenBucket()
	b.hedger = newHedger()
	b.attemptRules = attemptRules{
		maxAttempts:    settings.MaxAttempts,
		allowHedging:   settings.AllowHedging,
		connectTimeout: settings.ConnectTimeout,
	}
	b.outliers = outlierDetector{rng: b.rng, connectTimeout: settings.ConnectTimeout, classes: b.classes}
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
	b.updateFleet()
	for _, event := range events {
		b.apply(event)
	}
	b.processQueue()
	return b.actions
}

// apply applies one event. Health check results and gossip are ignored, since the balancer asks for
// neither.
func (b *Balancer) apply(event Event) {
	switch event := event.(type) {
	case Request:
		b.onRequest(event)
	case Outcome:
		b.handleOutcome(event)
	case TimerFired:
		b.onTimer(event.Token)
	case EndpointList:
		b.handleEndpointList(event)
		b.updateFleet()
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
	if b.observeArrival(r, event) {
		spent := class.Deadline - event.Timeout // by the client's earlier tries
		r.isClientRetry = true
		r.objectiveAt -= max(0, spent)
	}
	b.requests[r.id] = r
	b.openRequests++
	if event.Key != "" && class.Ordered {
		b.keyQueues.join(r, event.Key)
	}
	b.queue.push(r)
}

// observeArrival lets the request's class learn from it, and reports whether the request is a client's retry
// by its timeout.
func (b *Balancer) observeArrival(r *request, event Request) (isRetry bool) {
	isRetry = r.class.observeTimeout(event.Timeout, b.settings.Tick, event.ClientRetry)
	r.class.observeWork(r.workNs)
	b.classes.observeArrival(r.class)
	return isRetry
}

// onStreamStarted notes that part of a response has reached the client.
func (b *Balancer) onStreamStarted(event StreamStarted) {
	if r := b.requests[event.Request]; r != nil && !r.hasEnded() {
		r.isStreaming = true
	}
}

// onAbandoned ends a request whose client has disconnected.
func (b *Balancer) onAbandoned(event Abandoned) {
	if r := b.requests[event.Request]; r != nil {
		b.closeRequest(r)
	}
}
