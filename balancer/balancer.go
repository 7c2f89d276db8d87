package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Balancer is the load balancing policy of one agent. See the package comment for its use.
//
// Each component (the queue, the limiter, the picker and so on) owns its state. Balancer passes the events to
// the components, updates the requests and collects the actions. All random numbers come from one generator
// and are drawn in the order of the events. The same settings, seed and events therefore give the same
// actions.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // time of the current step
	actions  []Action      // actions of the current step

	requests         map[string]*request // by ID: open requests, and finished ones with attempts in flight
	openRequestCount int                 // requests that are not in phaseFinished
	inFlightCount    int                 // attempts without an outcome
	timers           timerTable

	classes   classList
	endpoints endpointSet
	fleet     fleetSummary // updated at the start of each step and after each endpoint list

	queue        admissionQueue
	keyQueues    keyQueues
	traffic      trafficStats
	limiter      concurrencyLimiter
	picker       picker
	attemptRules attemptRules
	retryTokens  tokenBucket
	reuse        connectionReuse
	hedger       hedger
	outliers     outlierDetector
	slowStart    slowStart
	subscriber   subscriber
}

// New returns a Balancer without requests and endpoints. It seeds the generator of all random numbers with
// seed. Any error is a *SettingError.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
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
	b.reuse = newConnectionReuse()
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

// Step handles the events that occurred up to now, in order. It returns the actions, which the agent must
// carry out in order. now should not be less than in the previous step; if it is, the time of the previous
// step applies.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now = max(now, b.now)
	b.actions = nil
	b.keyQueues.expire(b.now)
	b.traffic.decay(b.now)
	b.updateFleet()
	for _, event := range events {
		b.handleEvent(event)
	}
	b.processQueue()
	return b.actions
}

// handleEvent handles one event. It ignores health check results and gossip, because Balancer requests
// neither.
func (b *Balancer) handleEvent(event Event) {
	switch event := event.(type) {
	case Request:
		b.handleRequest(event)
	case Outcome:
		b.handleOutcome(event)
	case TimerFired:
		b.handleTimerFired(event.Token)
	case EndpointList:
		b.handleEndpointList(event)
		b.updateFleet()
	case StreamStarted:
		b.handleStreamStarted(event)
	case Abandoned:
		b.handleAbandoned(event)
	case UnrequestedBytes:
		b.reuse.recordUnrequestedBytes(b.now, event.After)
	case ConnectionLost:
		b.handleConnectionLost(event)
	}
}

// handleConnectionLost records that the process of an endpoint may have ended. Endpoints also close idle
// connections for other reasons, so that only repeats that depend on the process are affected.
func (b *Balancer) handleConnectionLost(event ConnectionLost) {
	if ep := b.endpoints.byID[event.Endpoint]; ep != nil {
		ep.connection.recordBroken(b.now)
	}
}

// addAction adds an action to the result of the current step.
func (b *Balancer) addAction(action Action) { b.actions = append(b.actions, action) }

// handleRequest queues a new request. It ignores a request whose class is unknown or whose ID is in use.
func (b *Balancer) handleRequest(event Request) {
	if event.Class < 0 || event.Class >= len(b.classes) || b.requests[event.ID] != nil {
		return
	}
	class := b.classes[event.Class]
	r := &request{
		id:            event.ID,
		class:         class,
		objectiveAt:   b.now - event.Delay + min(class.Objective, event.Timeout),
		deadline:      b.now - event.Delay + event.Timeout,
		isClientRetry: event.ClientRetry,
		workNs:        float64(event.Work),
	}
	if event.Key != "" {
		r.keyHash = xxhash.Sum64String(event.Key)
	}
	if b.updateClassStats(r, event) {
		elapsed := class.Deadline - event.Timeout // time that the client's earlier tries took
		r.isClientRetry = true
		r.objectiveAt -= max(0, elapsed)
	}
	b.requests[r.id] = r
	b.openRequestCount++
	if event.Key != "" && class.Ordered {
		b.keyQueues.add(r, event.Key)
	}
	b.queue.add(r)
}

// updateClassStats updates the statistics of the class of a new request. It reports whether the request's
// timeout identifies it as a client's retry.
func (b *Balancer) updateClassStats(r *request, event Request) (isRetry bool) {
	isRetry = r.class.updateTimeout(event.Timeout, b.settings.Tick, event.ClientRetry)
	r.class.updateWork(r.workNs)
	b.classes.recordArrival(r.class)
	return isRetry
}

// handleStreamStarted records that part of the response has reached the client.
func (b *Balancer) handleStreamStarted(event StreamStarted) {
	if r := b.requests[event.Request]; r != nil && !r.isFinished() {
		r.isStreaming = true
	}
}

// handleAbandoned finishes a request that needs no answer.
func (b *Balancer) handleAbandoned(event Abandoned) {
	if r := b.requests[event.Request]; r != nil {
		b.finishRequest(r)
	}
}
