package agent

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"strings"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/discovery"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/frontend"
	"ashshunt/internal/membudget"
	"ashshunt/internal/telemetry"
	"ashshunt/internal/upstream"
)

const (
	// maxQueuedMessages is the capacity of the event loop's message queue. Senders block while it is full.
	maxQueuedMessages = 1024
	// maxTick limits the tick of the settings. Requests wait for the next step, so that a longer tick is useful only in
	// simulations.
	maxTick = 10 * time.Millisecond
	// maxSleep is the maximum time that the event loop sleeps without a message or a due timer.
	maxSleep = time.Minute
)

// decisionModule converts events to actions. It is a *balancer.Balancer, except in tests.
type decisionModule interface {
	Step(now time.Duration, events []balancer.Event) []balancer.Action
}

// eventLoop owns the decision module, the request table and the timers, and runs them on a single goroutine. Other
// goroutines communicate with it by messages. It never blocks on I/O.
type eventLoop struct {
	// These fields are immutable once run is called, and safe for concurrent use.
	clock     clock.Clock
	settings  balancer.Settings // as configured: MaxOpen does not include the limit by descriptors
	tick      time.Duration     // minimum time between two steps
	log       *slog.Logger
	endpoints *endpoint.Table
	upstream  *upstream.Client
	discovery *discovery.Client
	messages  chan message
	done      chan struct{} // closed when run returns
	ready     chan struct{} // closed after the first step

	// These fields are used by run's goroutine only. Times are on the agent's clock.
	module           decisionModule
	lastStepAt       time.Duration
	pending          []balancer.Event // events for the next step
	timers           timerQueue
	requests         requestTable
	recent           recentRequests
	shutdownDeadline time.Duration // all requests are answered by this time; 0: not shutting down
}

func newEventLoop(c *config.Config, agentClock clock.Clock, budget *membudget.Budget,
	log *slog.Logger) (*eventLoop, error) {
	// The module sheds queued requests before the number of open requests reaches the limit of the settings, the limit
	// by descriptors or the limit by memory, whichever is lowest. The loop itself enforces only the limit of the
	// settings, and the frontend that by memory.
	moduleSettings := c.Settings
	moduleSettings.MaxOpen = frontend.MaxRequests(budget)
	if limit := c.MaxOpenRequests(); limit > 0 {
		moduleSettings.MaxOpen = min(limit, moduleSettings.MaxOpen)
	}
	moduleSettings.SubscribeSpread = discovery.SubscribeSpread
	moduleSettings.RefusedSubscribeSpread = discovery.RefusedSubscribeSpread
	module, err := balancer.New(moduleSettings, c.Seed)
	if err != nil {
		return nil, err
	}
	endpoints := endpoint.NewTable()
	l := &eventLoop{
		clock:      agentClock,
		settings:   c.Settings,
		tick:       min(c.Settings.Tick, maxTick),
		module:     module,
		log:        log,
		endpoints:  endpoints,
		messages:   make(chan message, maxQueuedMessages),
		done:       make(chan struct{}),
		ready:      make(chan struct{}),
		lastStepAt: agentClock.Now() - maxTick, // makes the first step due immediately
		recent:     newRecentRequests(recentRequestsPerMB * c.MemoryMB()),
	}
	l.requests = newRequestTable(l.handleRemoved)
	l.upstream = upstream.New(l.upstreamOptions(c))
	l.discovery = discovery.New(l.discoveryOptions(c))
	l.pending = append(l.pending, l.discovery.CachedList())
	return l, nil
}

func (l *eventLoop) upstreamOptions(c *config.Config) upstream.Options {
	return upstream.Options{
		Table:               l.endpoints,
		LoadReports:         c.Settings.LoadReports,
		ConnectTimeout:      c.Settings.ConnectTimeout,
		EndpointIdleTimeout: c.Settings.IdleClose,
		MaxConnections:      c.MaxEndpointConnections(),
		OnEvent:             func(event balancer.Event) { l.post(moduleEvent{event}) },
		Log:                 l.log,
	}
}

func (l *eventLoop) discoveryOptions(c *config.Config) discovery.Options {
	return discovery.Options{
		Addr:               c.Discovery,
		CachedList:         c.CachedList,
		Table:              l.endpoints,
		OnStaleConnections: l.upstream.DrainConnections,
		OnList:             func(list balancer.EndpointList) { l.post(moduleEvent{list}) },
		Zones:              c.Names.Zones,
		Kinds:              c.Names.Kinds,
		Clock:              l.clock,
		Log:                l.log,
		AutoWatch:          !c.Settings.Subscribe,
		ConnectTimeout:     c.Settings.ConnectTimeout,
		DrainGrace:         c.Settings.DrainGrace,
		Seed:               c.Seed,
		SlowStart: discovery.SlowStart{
			Duration:    c.Settings.SlowStartDuration,
			MinCapacity: c.Settings.SlowStartMinCapacity,
		},
	}
}

// run handles messages and timers and steps the module until ctx is done.
func (l *eventLoop) run(ctx context.Context) {
	defer l.releaseMemory()
	defer close(l.done)
	l.discovery.Start(ctx)
	wakeTimer := time.NewTimer(0)
	defer wakeTimer.Stop()
	for {
		now := l.handleDue(ctx)
		if len(l.pending) > 0 && now >= l.nextStepAt() {
			l.step(ctx, now)
			continue
		}
		wakeTimer.Reset(max(0, l.nextWakeAt(now)-now))
		select {
		case <-ctx.Done():
			return
		case <-wakeTimer.C:
		case m := <-l.messages:
			m.handle(ctx, l)
		}
	}
}

// handleDue handles the messages in the queue and the timers that are due, and returns the time of that. Messages come
// first: if the loop was delayed, a response may wait whose deadline guard is due.
func (l *eventLoop) handleDue(ctx context.Context) (now time.Duration) {
	l.handleQueuedMessages(ctx)
	now = l.clock.Now()
	l.handleDueTimers(ctx, now)
	return now
}

// releaseMemory releases the memory of the requests that are in the table when the loop stops.
func (l *eventLoop) releaseMemory() {
	for _, r := range l.requests.byID {
		r.inbound.Memory.Release()
	}
}

// nextStepAt returns the earliest time of the next step. Steps are at least a tick apart, except for those that precede
// a deadline guard (handleDueTimers). A step handles all events queued since the previous one.
func (l *eventLoop) nextStepAt() time.Duration { return l.lastStepAt + l.tick }

// nextWakeAt returns the time until which the loop may sleep if no message arrives.
func (l *eventLoop) nextWakeAt(now time.Duration) time.Duration {
	next := now + maxSleep
	if len(l.pending) > 0 {
		next = l.nextStepAt()
	}
	if at, ok := l.timers.nextAt(); ok {
		next = min(next, at)
	}
	return next
}

// handleQueuedMessages handles the messages that are in the queue, so that one step covers their events.
func (l *eventLoop) handleQueuedMessages(ctx context.Context) {
	for {
		select {
		case m := <-l.messages:
			m.handle(ctx, l)
		default:
			return
		}
	}
}

// step steps the module once and executes its actions.
func (l *eventLoop) step(ctx context.Context, now time.Duration) {
	events := l.pending
	l.pending = nil
	l.setRequestTimeouts(now, events)
	l.lastStepAt = now
	for _, action := range l.stepModule(now, events) {
		l.perform(ctx, now, action)
	}
	l.closeReady()
}

// setRequestTimeouts replaces each request among the events of a step by the result of setRequestTimeout.
func (l *eventLoop) setRequestTimeouts(now time.Duration, events []balancer.Event) {
	for i, event := range events {
		if request, ok := event.(balancer.Request); ok {
			events[i] = l.setRequestTimeout(now, request)
		}
	}
}

// closeReady closes ready, unless an earlier step has closed it.
func (l *eventLoop) closeReady() {
	select {
	case <-l.ready:
	default:
		close(l.ready)
	}
}

// stepModule steps the module. It recovers from a panic of the module: the actions of that step are lost, and the
// deadline guards answer the requests that stay open because of it.
func (l *eventLoop) stepModule(now time.Duration, events []balancer.Event) (actions []balancer.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error(telemetry.MsgModulePanicked, "panic", fmt.Sprint(p),
				"stack", strings.ReplaceAll(string(debug.Stack()), "\n", " | "))
		}
	}()
	return l.module.Step(now, events)
}

// addEvent queues an event for the next step.
func (l *eventLoop) addEvent(event balancer.Event) { l.pending = append(l.pending, event) }
