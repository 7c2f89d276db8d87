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
	"ashshunt/internal/telemetry"
	"ashshunt/internal/upstream"
)

const (
	// maxQueuedMessages is how many messages may wait for the event loop. Beyond it, senders block until the loop has taken
	// one.
	maxQueuedMessages = 1024
	// maxTick bounds the gap between two steps. Longer ones make sense in a simulation only, since requests wait for
	// them.
	maxTick = 10 * time.Millisecond
	// maxSleep is the longest that the event loop sleeps when nothing is due.
	maxSleep = time.Minute
)

// decisionModule turns events into actions. In service it is a *balancer.Balancer.
type decisionModule interface {
	Step(now time.Duration, events []balancer.Event) []balancer.Action
}

// eventLoop is the one goroutine that owns the decision module, the request table and the timers. What happens
// elsewhere reaches it as messages. It never waits for I/O.
type eventLoop struct {
	// Not changed once run is called, and safe for concurrent use.
	clock     clock.Clock
	settings  balancer.Settings // MaxOpen is the limit of the settings alone
	tick      time.Duration     // the least time between two steps
	log       *slog.Logger
	endpoints *endpoint.Table
	upstream  *upstream.Client
	discovery *discovery.Client
	messages  chan message
	done      chan struct{} // closed when run returns
	ready     chan struct{} // closed after the first step

	// Used by run's goroutine alone.
	module           decisionModule
	lastStepAt       time.Duration    // when the module was last stepped, on the agent's clock
	pending          []balancer.Event // for the next step
	timers           timerQueue
	requests         requestTable
	shutdownDeadline time.Duration // all requests are answered by then, on the agent's clock; 0: not shutting down
}

func newEventLoop(c *config.Config, agentClock clock.Clock, log *slog.Logger) (*eventLoop, error) {
	// The module sheds queued requests before either limit is reached, that of the settings or what the descriptors
	// allow. The loop itself rejects by the limit of the settings alone.
	moduleSettings := c.Settings
	moduleSettings.MaxOpen = c.MaxOpenRequests()
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
		upstream:   upstream.New(upstreamOptions(c, endpoints, log)),
		messages:   make(chan message, maxQueuedMessages),
		done:       make(chan struct{}),
		ready:      make(chan struct{}),
		lastStepAt: agentClock.Now() - maxTick, // the first step is due at once
		requests:   newRequestTable(),
	}
	l.discovery = discovery.New(l.discoveryOptions(c))
	l.pending = append(l.pending, l.discovery.CachedList())
	return l, nil
}

func upstreamOptions(c *config.Config, endpoints *endpoint.Table, log *slog.Logger) upstream.Options {
	return upstream.Options{
		Table:               endpoints,
		LoadReports:         c.Settings.LoadReports,
		ConnectTimeout:      c.Settings.ConnectTimeout,
		EndpointIdleTimeout: c.Settings.IdleClose,
		MaxConnections:      c.MaxEndpointConnections(),
		Log:                 log,
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

// run steps the module until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.done)
	l.discovery.Start(ctx)
	wakeTimer := time.NewTimer(0)
	defer wakeTimer.Stop()
	for {
		now := l.clock.Now()
		l.handleDueTimers(now)
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
		l.handleQueuedMessages(ctx)
	}
}

// nextStepAt is when the module may be stepped again. Steps come a tick apart, and one step takes all events between.
func (l *eventLoop) nextStepAt() time.Duration { return l.lastStepAt + l.tick }

// nextWakeAt is when the loop has something to do, unless a message comes first.
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

// handleQueuedMessages applies the messages that have come already, so that they share one step.
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

// step steps the module once and carries out its actions.
func (l *eventLoop) step(ctx context.Context, now time.Duration) {
	events := l.pending
	l.pending = nil
	l.prepareRequests(now, events)
	l.lastStepAt = now
	for _, action := range l.stepModule(now, events) {
		l.perform(ctx, now, action)
	}
	l.closeReady()
}

// prepareRequests prepares the requests among the events of a step, in place.
func (l *eventLoop) prepareRequests(now time.Duration, events []balancer.Event) {
	for i, event := range events {
		if request, ok := event.(balancer.Request); ok {
			events[i] = l.prepareRequest(now, request)
		}
	}
}

// closeReady closes ready, once.
func (l *eventLoop) closeReady() {
	select {
	case <-l.ready:
	default:
		close(l.ready)
	}
}

// stepModule steps the module. A panic there loses the actions of one step; the deadline guards answer the requests
// that it leaves open.
func (l *eventLoop) stepModule(now time.Duration, events []balancer.Event) (actions []balancer.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error(telemetry.MsgModulePanicked, "panic", fmt.Sprint(p),
				"stack", strings.ReplaceAll(string(debug.Stack()), "\n", " | "))
		}
	}()
	return l.module.Step(now, events)
}

// addEvent notes an event for the next step.
func (l *eventLoop) addEvent(event balancer.Event) { l.pending = append(l.pending, event) }
