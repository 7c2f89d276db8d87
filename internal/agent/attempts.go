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

// startAttempt starts an attempt. Every Send takes the request's next attempt number and gets exactly one outcome,
// also where nothing may be sent.
func (l *eventLoop) startAttempt(ctx context.Context, now time.Duration, action balancer.Send) {
	r := l.requests.find(action.Request)
	if r == nil {
		l.log.Error(telemetry.MsgAttemptForUnknownRequest, telemetry.Request(action.Request))
		return
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	outcome := balancer.Outcome{
		Request:  action.Request,
		Attempt:  r.addAttempt(cancel),
		Endpoint: action.Endpoint,
		Result:   balancer.NotSent,
	}
	deadline := l.attemptDeadline(now, r, action.Timeout)
	if r.isFinished() || r.attemptCount() > l.maxAttempts() || now >= deadline {
		l.handleOutcome(r, outcome, nil)
		return
	}
	go l.runAttempt(attemptCtx, r, outcome, now, l.attemptBounds(deadline, action.NotAfter)) // ends by the deadline
}

// maxAttempts is the number of attempts that a request may have.
func (l *eventLoop) maxAttempts() int { return max(1, l.settings.MaxAttempts) }

// attemptDeadline is when an attempt that starts now has to end, on the agent's clock: the end of the request's
// attempts, unless a shutdown or timeout, the decision module's own bound, ends it earlier. A timeout of 0 sets none.
func (l *eventLoop) attemptDeadline(now time.Duration, r *openRequest, timeout time.Duration) time.Duration {
	deadline := r.attemptsUntil
	if l.isShuttingDown() {
		deadline = min(deadline, l.shutdownDeadline-attemptMargin)
	}
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	return deadline
}

// attemptBounds translates times on the agent's clock for the upstream client. A notAfter of 0 means none.
func (l *eventLoop) attemptBounds(deadline, notAfter time.Duration) upstream.Bounds {
	bounds := upstream.Bounds{Deadline: l.clock.ToTime(deadline)}
	if notAfter > 0 {
		bounds.NotAfter = l.clock.ToTime(notAfter)
	}
	return bounds
}

// runAttempt makes an attempt that starts at a time on the agent's clock, and posts its outcome. It runs on a goroutine
// of its own, and reads nothing of the request that changes.
func (l *eventLoop) runAttempt(ctx context.Context, r *openRequest, outcome balancer.Outcome, startedAt time.Duration,
	bounds upstream.Bounds) {
	result, response := l.upstream.Attempt(ctx, r.upstream, outcome.Endpoint, bounds)
	outcome.Result = result
	outcome.Latency = l.clock.FromTime(response.EndedAt) - startedAt
	outcome.LoadReport = response.LoadReport()
	l.post(attemptFinished{request: r, outcome: outcome, response: response})
}

// cancelAttempt cancels an attempt for the decision module. Its outcome follows.
func (l *eventLoop) cancelAttempt(action balancer.Cancel) {
	if r := l.requests.find(action.Request); r != nil {
		r.cancelAttempt(action.Attempt)
	}
}

// handleOutcome notes the outcome of an attempt and passes it to the decision module. The first response that was
// served goes to the client at once, without a decision.
func (l *eventLoop) handleOutcome(r *openRequest, outcome balancer.Outcome, body []byte) {
	r.finishAttempt(outcome.Attempt, l.settings.MayHaveRun(outcome.Result))
	if outcome.Result == balancer.Served && !r.isFinished() {
		l.answer(r, frontend.Response{Status: http.StatusOK, Body: body})
	}
	outcome.Done = r.isFinished()
	l.requests.removeIfComplete(r)
	l.addEvent(outcome)
}

// startHealthCheck checks an endpoint outside any request.
func (l *eventLoop) startHealthCheck(ctx context.Context, endpointID string) {
	startedAt := l.clock.Now()
	go func() { // ends with the health check, which has a timeout of its own
		result, response := l.upstream.HealthCheck(ctx, endpointID)
		l.post(moduleEvent{balancer.HealthCheckResult{
			Endpoint:   endpointID,
			Result:     result,
			Latency:    l.clock.FromTime(response.EndedAt) - startedAt,
			LoadReport: response.LoadReport(),
		}})
	}()
}
