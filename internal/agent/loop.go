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
	cutMargin = 20 * time.Millisecond
	netMargin = 5 * time.Millisecond
	// After a stop was asked for, the process may be killed as soon as the longest deadline, which counts as
	// longestWait at most, and killAfter are over. All is answered stopMargin before that.
	longestWait = 3 * time.Second
	killAfter   = 700 * time.Millisecond
	stopMargin  = 300 * time.Millisecond
)

// drainFor is how long after a stop was asked for all that is still open is answered.
func drainFor(s balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, longestWait) + killAfter - stopMargin
}

// decider is the decision module; in service a *balancer.Balancer.
type decider interface {
	Step(now time.Duration, events []balancer.Event) []balancer.Action
}

// Loop is the one goroutine that owns the Balancer. What happens comes to it through post; it never
// waits for I/O.
type Loop struct {
	clock clock.Clock
	s     balancer.Settings
	bal   decider
	log   *slog.Logger

	table     *endpoint.Table
	upstream  *upstream.Client
	discovery *discovery.Client

	in    chan any
	done  chan struct{} // closed when Run returns
	ready chan struct{} // closed after the first step

	ctx     context.Context
	last    time.Duration // time of the last step
	pending []balancer.Event
	timers  timers
	seq     int // of timers
	open    map[string]*request
	taken   int           // requests without a final answer
	until   time.Duration // when draining: no answer comes later; 0: not draining
}

// request is one in the table: from its arrival until it is answered and its attempts are in.
type request struct {
	client   *frontend.Request
	q        *upstream.Request
	cut      time.Duration // as told to the module: attempts end then
	ended    bool
	stop     context.CancelFunc   // tells attempts that it has ended
	attempts []context.CancelFunc // by number; nil once its outcome is in
	out      int
	risky    bool   // some attempt may have run
	net      *timer // the safety net, until it has ended
}

// What reaches the loop besides the module's own events:
type (
	arrival   struct{ r *frontend.Request }
	departure struct{ r *frontend.Request } // its client has left
	outcome   struct {
		r      *request
		event  balancer.Outcome
		answer upstream.Response
	}
	drain  struct{}
	reload struct{ discovery string }
)

func newLoop(c *config.Config, clock clock.Clock, log *slog.Logger) (*Loop, error) {
	settings := c.Settings
	settings.MaxOpen, settings.PollSpread, settings.RefusedPollSpread = c.OpenRequests(), discovery.PollSpread,
		discovery.RefusedPollSpread
	bal, err := balancer.New(settings, c.Seed)
	if err != nil {
		return nil, err
	}
	table := endpoint.NewTable()
	l := &Loop{clock: clock, s: c.Settings, bal: bal, log: log, table: table, in: make(chan any, 1024),
		done: make(chan struct{}), ready: make(chan struct{}), open: map[string]*request{}, last: clock.Now() - c.Settings.Tick}
	l.upstream = upstream.New(upstreamOptions(c, table, log))
	l.discovery = discovery.New(l.discoveryOptions(c))
	l.pending = append(l.pending, l.discovery.Known())
	return l, nil
}

func upstreamOptions(c *config.Config, table *endpoint.Table, log *slog.Logger) upstream.Options {
	return upstream.Options{Table: table, LoadReports: c.Settings.LoadReports, ConnectTimeout: c.Settings.ConnectTimeout,
		IdleClose: c.Settings.IdleClose, MaxConnections: c.EndpointConnections(), Log: log}
}

func (l *Loop) discoveryOptions(c *config.Config) discovery.Options {
	return discovery.Options{Addr: c.Discovery, Known: c.Known, Table: l.table, Retire: l.upstream.Retire,
		OnList: func(e balancer.EndpointList) { l.post(e) }, Zones: c.Names.Zones, Kinds: c.Names.Kinds, Clock: l.clock,
		Log: l.log, KeepWatch: !c.Settings.Subscribe, ConnectTimeout: c.Settings.ConnectTimeout,
		DrainGrace: c.Settings.DrainGrace, Seed: c.Seed}
}

// post hands something to the loop; once that has ended it comes to nothing.
func (l *Loop) post(m any) {
	select {
	case l.in <- m:
	case <-l.done:
	}
}

// Submit implements frontend.EventLoop.
func (l *Loop) Submit(r *frontend.Request) { l.post(arrival{r: r}) }

// Abandon implements frontend.EventLoop.
func (l *Loop) Abandon(r *frontend.Request) { l.post(departure{r: r}) }

// Ready implements frontend.EventLoop.
func (l *Loop) Ready() <-chan struct{} { return l.ready }

// Done implements frontend.EventLoop.
func (l *Loop) Done() <-chan struct{} { return l.done }

// HasServingEndpoint implements frontend.EventLoop.
func (l *Loop) HasServingEndpoint() bool { return l.table.AnyServing() }

// Run steps the module until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	l.discovery.Start(ctx)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := l.clock.Now()
		l.fire(now)
		next := l.last + l.s.Tick // steps come a tick apart; what happens meanwhile makes one batch
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
		case m := <-l.in:
			l.take(m)
		}
		for more := true; more; {
			select {
			case m := <-l.in:
				l.take(m)
			default:
				more = false
			}
		}
	}
}

// take notes what happened; the module hears of it in the next step.
func (l *Loop) take(m any) {
	switch m := m.(type) {
	case arrival:
		l.arrive(m)
	case departure:
		l.abandon(m.r)
	case outcome:
		l.finish(m)
	case drain:
		l.until = l.clock.Now() + drainFor(l.s)
		for _, r := range l.open {
			l.guard(r)
		}
	case reload:
		l.discovery.Move(l.ctx, m.discovery)
	case balancer.Event:
		l.pending = append(l.pending, m)
	}
}

func (l *Loop) arrive(m arrival) {
	// What is not taken is over: should its client leave before it reads that, another one of this id is not meant.
	id := m.r.Event.ID
	if l.open[id] != nil {
		m.r.Respond(frontend.Response{Status: http.StatusBadRequest, Body: []byte("this id is open already\n")})
		return
	}
	if l.s.MaxOpen > 0 && l.taken >= l.s.MaxOpen {
		m.r.Respond(frontend.Response{Status: http.StatusServiceUnavailable})
		return
	}
	r := &request{client: m.r, q: &upstream.Request{ID: id, IdempotencyKey: m.r.IdempotencyKey, Method: m.r.Method,
		Host: m.r.Host, Target: m.r.Target, Body: m.r.Body, ClientGone: m.r.ClientGone}}
	r.q.Done, r.stop = context.WithCancel(context.Background())
	l.open[id] = r
	l.taken++
	l.guard(r)
	l.pending = append(l.pending, m.r.Event)
}

func (l *Loop) abandon(client *frontend.Request) {
	r := l.open[client.Event.ID]
	if r == nil || r.client != client || r.ended {
		return
	}
	l.end(r)
	l.pending = append(l.pending, balancer.Abandoned{Request: r.q.ID})
}

// guard sets the safety net of a request, or sets it anew.
func (l *Loop) guard(r *request) {
	if r.ended {
		return
	}
	at := r.client.Deadline - netMargin
	if l.until > 0 {
		at = min(at, l.until)
	}
	l.unguard(r)
	r.net = &timer{at: at, net: r}
	l.push(r.net)
}

// unguard takes the safety net out, which would hold the request and its body until its deadline.
func (l *Loop) unguard(r *request) {
	if r.net != nil && r.net.place >= 0 {
		heap.Remove(&l.timers, r.net.place)
	}
	r.net = nil
}

// end marks a request as answered. From here on nothing goes out for it.
func (l *Loop) end(r *request) {
	r.ended = true
	r.stop()
	l.unguard(r)
	l.taken--
	l.forget(r)
}

func (l *Loop) forget(r *request) {
	if r.ended && r.out == 0 && l.open[r.q.ID] == r {
		delete(l.open, r.q.ID)
	}
}

func (l *Loop) reply(r *request, a frontend.Response) {
	r.client.Respond(a)
	l.end(r)
}

// finish takes the outcome of an attempt. The first OK goes to the client by itself.
func (l *Loop) finish(m outcome) {
	r := m.r
	r.attempts[m.event.Attempt]()
	r.attempts[m.event.Attempt] = nil
	r.out--
	r.risky = r.risky || !m.event.Result.NeverRan() || l.s.RejectedMayHaveRun && m.event.Result == balancer.Rejected
	if m.event.Result == balancer.Served && !r.ended {
		l.reply(r, frontend.Response{Status: http.StatusOK, Body: m.answer.Body})
	}
	m.event.Done = r.ended
	l.forget(r)
	l.pending = append(l.pending, m.event)
}

// fire brings the timers that are due.
func (l *Loop) fire(now time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		t := heap.Pop(&l.timers).(*timer)
		if t.net == nil {
			l.pending = append(l.pending, balancer.TimerFired{Token: t.token})
			continue
		}
		r := t.net
		if r.ended {
			continue
		}
		if l.until == 0 {
			l.log.Error("bug: no final answer by the deadline", "id", r.q.ID, "attempts", len(r.attempts), "out", r.out)
		}
		l.reply(r, frontend.Response{Status: http.StatusBadGateway})
		for _, cancel := range r.attempts {
			if cancel != nil {
				cancel()
			}
		}
		l.pending = append(l.pending, balancer.Abandoned{Request: r.q.ID})
	}
}

// step runs the module once and carries out what it says.
func (l *Loop) step(now time.Duration) {
	events := l.pending
	l.pending = nil
	for i, e := range events {
		if q, ok := e.(balancer.Request); ok && l.open[q.ID] != nil {
			r := l.open[q.ID]
			// A step comes within a tick of an arrival. When the machine is late with it, the module must
			// not take the delay for a client with less patience, which it reads as one that tries again.
			q.Timeout = r.client.Deadline - cutMargin - r.client.Arrived - min(now-r.client.Arrived, l.s.Tick)
			// An attempt that times out with the request must not do so before the module's deadline for
			// that: the module would wait for another try that can't come, until the safety net answers.
			r.cut = min(now+q.Timeout, r.client.Deadline-2*netMargin)
			events[i] = q
		}
	}
	l.last = now
	for _, a := range l.decide(now, events) {
		l.perform(now, a)
	}
	select {
	case <-l.ready:
	default:
		close(l.ready)
	}
}

// decide steps the module. A panic there costs a step and no more: the safety net answers.
func (l *Loop) decide(now time.Duration, events []balancer.Event) (actions []balancer.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("bug: the decision module panicked", "panic", fmt.Sprint(p),
				"stack", strings.ReplaceAll(string(debug.Stack()), "\n", " | "))
		}
	}()
	return l.bal.Step(now, events)
}

// perform carries out one action.
func (l *Loop) perform(now time.Duration, a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		l.send(now, a)
	case balancer.Cancel:
		if r := l.open[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && r.attempts[a.Attempt] != nil {
			r.attempts[a.Attempt]()
		}
	case balancer.Reject:
		l.refuse(a)
	case balancer.Fail:
		if r := l.open[a.Request]; r != nil && !r.ended {
			l.reply(r, frontend.Response{Status: http.StatusBadGateway})
		}
	case balancer.SetTimer:
		l.push(&timer{at: now + max(0, a.After), token: a.Token})
	case balancer.HealthCheck:
		l.probe(a.Endpoint)
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

func (l *Loop) refuse(a balancer.Reject) {
	r := l.open[a.Request]
	if r == nil || r.ended {
		return
	}
	// Once an attempt may have run, a refusal would invite a repeat of its effect.
	if c := l.s.Classes[r.client.Event.Class]; (r.risky || r.out > 0) && c.Idempotency != balancer.Idempotent &&
		!(c.Idempotency == balancer.IdempotentWithKey && c.DedupScope == balancer.DedupEverywhere) {
		l.log.Error("bug: refusal of a request that may have run", "id", a.Request)
		l.reply(r, frontend.Response{Status: http.StatusBadGateway})
		return
	}
	l.reply(r, frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter})
}

// send starts an attempt. Every Send takes a number and gets exactly one outcome.
func (l *Loop) send(now time.Duration, a balancer.Send) {
	r := l.open[a.Request]
	if r == nil {
		l.log.Error("bug: a send for a request that is not open", "id", a.Request)
		return
	}
	no := len(r.attempts)
	ctx, cancel := context.WithCancel(l.ctx)
	r.attempts = append(r.attempts, cancel)
	r.out++
	event := balancer.Outcome{Request: a.Request, Attempt: no, Endpoint: a.Endpoint, Result: balancer.NotSent}
	cut := r.cut
	if l.until > 0 {
		cut = min(cut, l.until-cutMargin)
	}
	if a.Timeout > 0 {
		cut = min(cut, now+a.Timeout)
	}
	if r.ended || no >= max(1, l.s.MaxAttempts) || now >= cut {
		l.finish(outcome{r: r, event: event})
		return
	}
	until := l.clock.Time(cut)
	go func() {
		res, rep := l.upstream.Attempt(ctx, r.q, a.Endpoint, until)
		event.Result, event.Latency, event.LoadReport = res, l.clock.At(rep.EndedAt)-now, rep.LoadReport()
		l.post(outcome{r: r, event: event, answer: rep})
	}()
}

func (l *Loop) probe(backend string) {
	start := l.clock.Now()
	go func() {
		res, rep := l.upstream.HealthCheck(l.ctx, backend)
		l.post(balancer.HealthCheckResult{Endpoint: backend, Result: res, Latency: l.clock.At(rep.EndedAt) - start,
			LoadReport: rep.LoadReport()})
	}()
}

// timer is one of the module's, or the safety net of a request.
type timer struct {
	at    time.Duration
	seq   int
	token int64
	net   *request
	place int // in the heap; -1 once it has left that
}

func (l *Loop) push(t *timer) {
	l.seq++
	t.seq = l.seq
	heap.Push(&l.timers, t)
}

// timers is a heap: the earliest first, of two at one time the one set first.
type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).place = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.place = -1
	return x
}
