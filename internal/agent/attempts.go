package agent

import (
	"context"
	"net/http"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/frontend"
	"ashshunt/internal/telemetry"
	"ashshunt/internal/upstream"
)

// startAttempt executes a Send. Each Send of a request in the table gets the request's next attempt number and exactly
// one outcome. The outcome is NotSent if the request is finished, has used up its attempts or has no time left.
func (l *eventLoop) startAttempt(ctx context.Context, now time.Duration, action balancer.Send) {
	r := l.requests.find(action.Request)
	if r == nil {
		l.log.Error(telemetry.MsgAttemptForUnknownRequest, telemetry.Request(action.Request))
		return
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	outcome := balancer.Outcome{
		Request:  action.Request,
		Attempt:  r.addAttempt(now, cancel),
		Endpoint: action.Endpoint,
		Result:   balancer.NotSent,
	}
	deadline := l.attemptDeadline(now, r, action.Timeout)
	if r.isFinished() || r.attemptCount() > l.maxAttempts() || now >= deadline {
		l.handleOutcome(r, outcome, nil)
		return
	}
	options := l.attemptOptions(outcome.Attempt, deadline, action)
	go l.runAttempt(attemptCtx, r, outcome, now, options) // returns by the deadline
}

// maxAttempts returns the maximum number of attempts of a request. It is at least 1.
func (l *eventLoop) maxAttempts() int { return max(1, l.settings.MaxAttempts) }

// attemptDeadline returns the deadline, on the agent's clock, of an attempt that starts at now. It is the earliest of
// r.attemptsUntil, the end of timeout, which the decision module sets (0: no limit), and, during a shutdown,
// attemptMargin before the shutdown deadline.
func (l *eventLoop) attemptDeadline(now time.Duration, r *trackedRequest, timeout time.Duration) time.Duration {
	deadline := r.attemptsUntil
	if l.isShuttingDown() {
		deadline = min(deadline, l.shutdownDeadline-attemptMargin)
	}
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	return deadline
}

// attemptOptions returns the options of an attempt. deadline is on the agent's clock.
func (l *eventLoop) attemptOptions(number int, deadline time.Duration, action balancer.Send) upstream.AttemptOptions {
	options := upstream.AttemptOptions{
		Number:   number,
		Deadline: l.clock.ToTime(deadline),
		Reuse:    action.Reuse,

		SameProcess: action.SameProcess,
	}
	if action.NotAfter > 0 {
		options.NotAfter = l.clock.ToTime(action.NotAfter)
	}
	return options
}

// runAttempt executes an attempt and posts its outcome. startedAt is the start of the attempt on the agent's clock.
// runAttempt runs on its own goroutine and reads only the immutable fields of the request.
func (l *eventLoop) runAttempt(ctx context.Context, r *trackedRequest, outcome balancer.Outcome,
	startedAt time.Duration, options upstream.AttemptOptions) {
	result, response := l.upstream.Attempt(ctx, r.upstream, outcome.Endpoint, options)
	outcome.Result = result
	outcome.Latency = l.clock.FromTime(response.EndedAt) - startedAt
	outcome.LoadReport = response.LoadReport()
	outcome.TooEarly = response.IsTooEarly()
	l.post(attemptFinished{request: r, outcome: outcome, response: response})
}

// cancelAttempt executes a Cancel. The attempt's outcome follows as a message.
func (l *eventLoop) cancelAttempt(action balancer.Cancel) {
	if r := l.requests.find(action.Request); r != nil {
		r.cancelAttempt(action.Attempt)
	}
}

// handleOutcome records the outcome of an attempt and queues it for the decision module. The body of the first served
// attempt is sent to the client at once, without a step of the module.
func (l *eventLoop) handleOutcome(r *trackedRequest, outcome balancer.Outcome, body []byte) {
	r.finishAttempt(outcome.Attempt, l.settings.MayHaveRun(outcome.Result))
	if outcome.Result == balancer.Served && !r.isFinished() {
		l.answer(r, frontend.Response{Status: http.StatusOK, Body: body})
	}
	outcome.Done = r.isFinished()
	l.requests.removeIfComplete(r)
	l.addEvent(outcome)
}

// startHealthCheck starts a health check of an endpoint. Its result is posted as an event for the decision module.
func (l *eventLoop) startHealthCheck(ctx context.Context, action balancer.HealthCheck) {
	startedAt := l.clock.Now()
	go func() { // returns with the health check, which has its own timeout
		result, response := l.upstream.HealthCheck(ctx, action.Endpoint, action.Reuse)
		l.post(moduleEvent{balancer.HealthCheckResult{
			Endpoint:   action.Endpoint,
			Result:     result,
			Latency:    l.clock.FromTime(response.EndedAt) - startedAt,
			LoadReport: response.LoadReport(),
		}})
	}()
}
