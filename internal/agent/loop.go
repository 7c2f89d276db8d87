package agent

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/discovery"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/frontend"
	"ashshunt/internal/upstream"
)

const (
	// cutMargin before a request's deadline its attempts end and its time is up for the module too;
	// netMargin before it the safety net answers. So the last byte is written in time.
	attemptMargin = 20 * time.Millisecond
	guardMargin   = 5 * time.Millisecond
	// After a stop was asked for, the process may be killed as soon as the longest deadline, which counts as
	// longestWait at most, and killAfter are over. All is answered stopMargin before that.
	maxShutdownWait = 3 * time.Second
	killDelay       = 700 * time.Millisecond
	shutdownMargin  = 300 * time.Millisecond
)

// drainFor is how long after a stop was asked for all that is still open is answered.
func shutdownTimeout(s balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxShutdownWait) + killDelay - shutdownMargin
}

// decider is the decision module; in service a *balancer.Balancer.
type decisionModule interface {
	Step(now time.Duration, events []balancer.Event) []balancer.Action
}

// Loop is the one goroutine that owns the Balancer. What happens comes to it through post; it never
// waits for I/O.
type eventLoop struct {
	clock    clock.Clock
	settings balancer.Settings
	module   decisionModule
	log      *slog.Logger

	table     *endpoint.Table
	upstream  *upstream.Client
	discovery *discovery.Client

	messages chan any
	done     chan struct{} // closed when Run returns
	ready    chan struct{} // closed after the first step

	ctx              context.Context
	lastStep         time.Duration // time of the last step
	pending          []balancer.Event
	timers           timerHeap
	seq              int // of timers
	requests         map[string]*openRequest
	unanswered       int           // requests without a final answer
	shutdownDeadline time.Duration // when draining: no answer comes later; 0: not draining
}

// request is one in the table: from its arrival until it is answered and its attempts are in.
type openRequest struct {
	client          *frontend.Request
	upstream        *upstream.Request
	attemptDeadline time.Duration // as told to the module: attempts end then
	answered        bool
	endUpstream     context.CancelFunc   // tells attempts that it has ended
	attemptCancels  []context.CancelFunc // by number; nil once its outcome is in
	inFlight        int
	mayHaveRun      bool   // some attempt may have run
	deadlineGuard   *timer // the safety net, until it has ended
}

// What reaches the loop besides the module's own events:
type (
	requestSubmitted struct{ request *frontend.Request }
	requestAbandoned struct{ request *frontend.Request } // its client has left
	attemptFinished  struct {
		request  *openRequest
		outcome  balancer.Outcome
		response upstream.Response
	}
	shutdownStarted struct{}
	discoveryMoved  struct{ addr string }
)

func newEventLoop(c *config.Config, clock clock.Clock, log *slog.Logger) (*eventLoop, error) {
	settings := c.Settings
	settings.MaxOpen, settings.PollSpread, settings.RefusedPollSpread = c.OpenRequests(), discovery.PollSpread,
		discovery.RefusedPollSpread
	bal, err := balancer.New(settings, c.Seed)
	if err != nil {
		return nil, err
	}
	table := endpoint.NewTable()
	l := &eventLoop{clock: clock, settings: c.Settings, module: bal, log: log, table: table, messages: make(chan any, 1024),
		done: make(chan struct{}), ready: make(chan struct{}), requests: map[string]*openRequest{}, lastStep: clock.Now() - c.Settings.Tick}
	l.upstream = upstream.New(upstreamOptions(c, table, log))
	l.discovery = discovery.New(l.discoveryOptions(c))
	l.pending = append(l.pending, l.discovery.Known())
	return l, nil
}

func upstreamOptions(c *config.Config, table *endpoint.Table, log *slog.Logger) upstream.Options {
	return upstream.Options{Table: table, LoadReports: c.Settings.LoadReports, ConnectTimeout: c.Settings.ConnectTimeout,
		IdleClose: c.Settings.IdleClose, MaxConnections: c.EndpointConnections(), Log: log}
}

func (l *eventLoop) discoveryOptions(c *config.Config) discovery.Options {
	return discovery.Options{Addr: c.Discovery, Known: c.Known, Table: l.table, Retire: l.upstream.Retire,
		OnList: func(e balancer.EndpointList) { l.post(e) }, Zones: c.Names.Zones, Kinds: c.Names.Kinds, Clock: l.clock,
		Log: l.log, KeepWatch: !c.Settings.Subscribe, ConnectTimeout: c.Settings.ConnectTimeout,
		DrainGrace: c.Settings.DrainGrace, Seed: c.Seed}
}

// post hands something to the loop; once that has ended it comes to nothing.
func (l *eventLoop) post(m any) {
	select {
	case l.messages <- m:
	case <-l.done:
	}
}

// Submit implements frontend.EventLoop.
func (l *eventLoop) Submit(r *frontend.Request) { l.post(requestSubmitted{request: r}) }

// Abandon implements frontend.EventLoop.
func (l *eventLoop) Abandon(r *frontend.Request) { l.post(requestAbandoned{request: r}) }

// Ready implements frontend.EventLoop.
func (l *eventLoop) Ready() <-chan struct{} { return l.ready }

// Done implements frontend.EventLoop.
func (l *eventLoop) Done() <-chan struct{} { return l.done }

// HasServingEndpoint implements frontend.EventLoop.
func (l *eventLoop) HasServingEndpoint() bool { return l.table.AnyServing() }

// Run steps the module until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	l.discovery.Start(ctx)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := l.clock.Now()
		l.fireTimers(now)
		next := l.lastStep + l.settings.Tick // steps come a tick apart; what happens meanwhile makes one batch
		if len(l.pending) > 0 && now >= next {
			l.step(now)
			continue
		}
		if len(l.pending) == 0 {
			next = now + time.Minute
		}
		if len(l.timers) > 0 {
			next = min(next, l.timers[0].at)
		}
		wake.Reset(max(0, next-now))
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
		case m := <-l.messages:
			l.handle(m)
		}
		for more := true; more; {
			select {
			case m := <-l.messages:
				l.handle(m)
			default:
				more = false
			}
		}
	}
}

// take notes what happened; the module hears of it in the next step.
func (l *eventLoop) handle(m any) {
	switch m := m.(type) {
	case requestSubmitted:
		l.admit(m)
	case requestAbandoned:
		l.abandon(m.request)
	case attemptFinished:
		l.finishAttempt(m)
	case shutdownStarted:
		l.shutdownDeadline = l.clock.Now() + shutdownTimeout(l.settings)
		for _, r := range l.requests {
			l.setDeadlineGuard(r)
		}
	case discoveryMoved:
		l.discovery.Move(l.ctx, m.addr)
	case balancer.Event:
		l.pending = append(l.pending, m)
	}
}

func (l *eventLoop) admit(m requestSubmitted) {
	// What is not taken is over: should its client leave before it reads that, another one of this id is not meant.
	id := m.request.Event.ID
	if l.requests[id] != nil {
		m.request.Respond(frontend.Response{Status: http.StatusBadRequest, Body: []byte("this id is open already\n")})
		return
	}
	if l.settings.MaxOpen > 0 && l.unanswered >= l.settings.MaxOpen {
		m.request.Respond(frontend.Response{Status: http.StatusServiceUnavailable})
		return
	}
	r := &openRequest{client: m.request, upstream: &upstream.Request{ID: id, IdempotencyKey: m.request.IdempotencyKey, Method: m.request.Method,
		Host: m.request.Host, Target: m.request.Target, Body: m.request.Body, ClientGone: m.request.ClientGone}}
	r.upstream.Done, r.endUpstream = context.WithCancel(context.Background())
	l.requests[id] = r
	l.unanswered++
	l.setDeadlineGuard(r)
	l.pending = append(l.pending, m.request.Event)
}

func (l *eventLoop) abandon(client *frontend.Request) {
	r := l.requests[client.Event.ID]
	if r == nil || r.client != client || r.answered {
		return
	}
	l.markAnswered(r)
	l.pending = append(l.pending, balancer.Abandoned{Request: r.upstream.ID})
}

// guard sets the safety net of a request, or sets it anew.
func (l *eventLoop) setDeadlineGuard(r *openRequest) {
	if r.answered {
		return
	}
	at := r.client.Deadline - guardMargin
	if l.shutdownDeadline > 0 {
		at = min(at, l.shutdownDeadline)
	}
	l.removeDeadlineGuard(r)
	r.deadlineGuard = &timer{at: at, request: r}
	l.push(r.deadlineGuard)
}

// unguard takes the safety net out, which would hold the request and its body until its deadline.
func (l *eventLoop) removeDeadlineGuard(r *openRequest) {
	if r.deadlineGuard != nil && r.deadlineGuard.index >= 0 {
		heap.Remove(&l.timers, r.deadlineGuard.index)
	}
	r.deadlineGuard = nil
}

// end marks a request as answered. From here on nothing goes out for it.
func (l *eventLoop) markAnswered(r *openRequest) {
	r.answered = true
	r.endUpstream()
	l.removeDeadlineGuard(r)
	l.unanswered--
	l.removeIfComplete(r)
}

func (l *eventLoop) removeIfComplete(r *openRequest) {
	if r.answered && r.inFlight == 0 && l.requests[r.upstream.ID] == r {
		delete(l.requests, r.upstream.ID)
	}
}

func (l *eventLoop) respond(r *openRequest, a frontend.Response) {
	r.client.Respond(a)
	l.markAnswered(r)
}

// finish takes the outcome of an attempt. The first OK goes to the client by itself.
func (l *eventLoop) finishAttempt(m attemptFinished) {
	r := m.request
	r.attemptCancels[m.outcome.Attempt]()
	r.attemptCancels[m.outcome.Attempt] = nil
	r.inFlight--
	r.mayHaveRun = r.mayHaveRun || !m.outcome.Result.NeverRan() || l.settings.RejectedMayHaveRun && m.outcome.Result == balancer.Rejected
	if m.outcome.Result == balancer.Served && !r.answered {
		l.respond(r, frontend.Response{Status: http.StatusOK, Body: m.response.Body})
	}
	m.outcome.Done = r.answered
	l.removeIfComplete(r)
	l.pending = append(l.pending, m.outcome)
}

// fire brings the timers that are due.
func (l *eventLoop) fireTimers(now time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		t := heap.Pop(&l.timers).(*timer)
		if t.request == nil {
			l.pending = append(l.pending, balancer.TimerFired{Token: t.token})
			continue
		}
		r := t.request
		if r.answered {
			continue
		}
		if l.shutdownDeadline == 0 {
			l.log.Error("bug: no final answer by the deadline", "id", r.upstream.ID, "attempts", len(r.attemptCancels), "out", r.inFlight)
		}
		l.respond(r, frontend.Response{Status: http.StatusBadGateway})
		for _, cancel := range r.attemptCancels {
			if cancel != nil {
				cancel()
			}
		}
		l.pending = append(l.pending, balancer.Abandoned{Request: r.upstream.ID})
	}
}

// step runs the module once and carries out what it says.
func (l *eventLoop) step(now time.Duration) {
	events := l.pending
	l.pending = nil
	for i, e := range events {
		if q, ok := e.(balancer.Request); ok && l.requests[q.ID] != nil {
			r := l.requests[q.ID]
			// A step comes within a tick of an arrival. When the machine is late with it, the module must
			// not take the delay for a client with less patience, which it reads as one that tries again.
			q.Timeout = r.client.Deadline - attemptMargin - r.client.Arrived - min(now-r.client.Arrived, l.settings.Tick)
			// An attempt that times out with the request must not do so before the module's deadline for
			// that: the module would wait for another try that can't come, until the safety net answers.
			r.attemptDeadline = min(now+q.Timeout, r.client.Deadline-2*guardMargin)
			events[i] = q
		}
	}
	l.lastStep = now
	for _, a := range l.stepModule(now, events) {
		l.perform(now, a)
	}
	select {
	case <-l.ready:
	default:
		close(l.ready)
	}
}

// decide steps the module. A panic there costs a step and no more: the safety net answers.
func (l *eventLoop) stepModule(now time.Duration, events []balancer.Event) (actions []balancer.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("bug: the decision module panicked", "panic", fmt.Sprint(p),
				"stack", strings.ReplaceAll(string(debug.Stack()), "\n", " | "))
		}
	}()
	return l.module.Step(now, events)
}

// perform carries out one action.
func (l *eventLoop) perform(now time.Duration, a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		l.startAttempt(now, a)
	case balancer.Cancel:
		if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attemptCancels) && r.attemptCancels[a.Attempt] != nil {
			r.attemptCancels[a.Attempt]()
		}
	case balancer.Reject:
		l.reject(a)
	case balancer.Fail:
		if r := l.requests[a.Request]; r != nil && !r.answered {
			l.respond(r, frontend.Response{Status: http.StatusBadGateway})
		}
	case balancer.SetTimer:
		l.push(&timer{at: now + max(0, a.After), token: a.Token})
	case balancer.HealthCheck:
		l.startHealthCheck(a.Endpoint)
	case balancer.Subscribe:
		l.discovery.Subscribe(l.ctx)
	case balancer.Unsubscribe:
		l.discovery.Unsubscribe()
	case balancer.PollEndpoints:
		l.discovery.Poll(l.ctx)
	case balancer.CloseIdle:
		l.upstream.CloseIdle(a.Endpoint)
	case balancer.LogMessage:
		l.log.Info(a.Text)
	default:
		l.log.Error("bug: an action that this agent does not carry out", "action", fmt.Sprintf("%T", a))
	}
}

func (l *eventLoop) reject(a balancer.Reject) {
	r := l.requests[a.Request]
	if r == nil || r.answered {
		return
	}
	// Once an attempt may have run, a refusal would invite a repeat of its effect.
	if c := l.settings.Classes[r.client.Event.Class]; (r.mayHaveRun || r.inFlight > 0) && c.Idempotency != balancer.Idempotent &&
		!(c.Idempotency == balancer.IdempotentWithKey && c.DedupScope == balancer.DedupEverywhere) {
		l.log.Error("bug: refusal of a request that may have run", "id", a.Request)
		l.respond(r, frontend.Response{Status: http.StatusBadGateway})
		return
	}
	l.respond(r, frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter})
}

// send starts an attempt. Every Send takes a number and gets exactly one outcome.
func (l *eventLoop) startAttempt(now time.Duration, a balancer.Send) {
	r := l.requests[a.Request]
	if r == nil {
		l.log.Error("bug: a send for a request that is not open", "id", a.Request)
		return
	}
	no := len(r.attemptCancels)
	ctx, cancel := context.WithCancel(l.ctx)
	r.attemptCancels = append(r.attemptCancels, cancel)
	r.inFlight++
	event := balancer.Outcome{Request: a.Request, Attempt: no, Endpoint: a.Endpoint, Result: balancer.NotSent}
	cut := r.attemptDeadline
	if l.shutdownDeadline > 0 {
		cut = min(cut, l.shutdownDeadline-attemptMargin)
	}
	if a.Timeout > 0 {
		cut = min(cut, now+a.Timeout)
	}
	if r.answered || no >= max(1, l.settings.MaxAttempts) || now >= cut {
		l.finishAttempt(attemptFinished{request: r, outcome: event})
		return
	}
	until := l.clock.Time(cut)
	go func() {
		res, rep := l.upstream.Attempt(ctx, r.upstream, a.Endpoint, until)
		event.Result, event.Latency, event.LoadReport = res, l.clock.At(rep.EndedAt)-now, rep.LoadReport()
		l.post(attemptFinished{request: r, outcome: event, response: rep})
	}()
}

func (l *eventLoop) startHealthCheck(backend string) {
	start := l.clock.Now()
	go func() {
		res, rep := l.upstream.HealthCheck(l.ctx, backend)
		l.post(balancer.HealthCheckResult{Endpoint: backend, Result: res, Latency: l.clock.At(rep.EndedAt) - start,
			LoadReport: rep.LoadReport()})
	}()
}

// timer is one of the module's, or the safety net of a request.
type timer struct {
	at       time.Duration
	sequence int
	token    int64
	request  *openRequest
	index    int // in the heap; -1 once it has left that
}

func (l *eventLoop) push(t *timer) {
	l.seq++
	t.sequence = l.seq
	heap.Push(&l.timers, t)
}

// timers is a heap: the earliest first, of two at one time the one set first.
type timerHeap []*timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timerHeap) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.index = -1
	return x
}
