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

// startAttempt starts an attempt. Every Send takes the request's next attempt number and gets exactly one outcome.
func (l *eventLoop) startAttempt(ctx context.Context, now time.Duration, action balancer.Send) {
	r := l.requests[action.Request]
	if r == nil {
		l.log.Error(telemetry.MsgAttemptNotOpen, telemetry.Request(action.Request))
		return
	}
	number := len(r.attemptCancels)
	attemptCtx, cancel := context.WithCancel(ctx)
	r.attemptCancels = append(r.attemptCancels, cancel)
	r.inFlight++
	outcome := balancer.Outcome{
		Request:  action.Request,
		Attempt:  number,
		Endpoint: action.Endpoint,
		Result:   balancer.NotSent,
	}
	end := l.attemptEnd(now, r, action.Timeout)
	if r.answered || number >= max(1, l.settings.MaxAttempts) || now >= end {
		l.finishAttempt(r, outcome, nil)
		return
	}
	bounds := upstream.Bounds{Deadline: l.clock.Time(end)}
	if action.NotAfter > 0 {
		bounds.NotAfter = l.clock.Time(action.NotAfter)
	}
	go func() { // ends with the attempt, at the deadline at the latest
		result, response := l.upstream.Attempt(attemptCtx, r.upstream, action.Endpoint, bounds)
		outcome.Result = result
		outcome.Latency = l.clock.At(response.EndedAt) - now
		outcome.LoadReport = response.LoadReport()
		l.post(attemptFinished{request: r, outcome: outcome, response: response})
	}()
}

// attemptEnd is when an attempt that starts now has to end. timeout is the module's own bound; 0: it sets none.
func (l *eventLoop) attemptEnd(now time.Duration, r *openRequest, timeout time.Duration) time.Duration {
	end := r.attemptDeadline
	if l.shutdownDeadline > 0 {
		end = min(end, l.shutdownDeadline-attemptMargin)
	}
	if timeout > 0 {
		end = min(end, now+timeout)
	}
	return end
}

// cancelAttempt gives up an attempt that is in flight.
func (l *eventLoop) cancelAttempt(action balancer.Cancel) {
	r := l.requests[action.Request]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attemptCancels) {
		return
	}
	if cancel := r.attemptCancels[action.Attempt]; cancel != nil {
		cancel()
	}
}

// finishAttempt takes the outcome of an attempt. The first response that was served goes to the client without the
// module's word.
func (l *eventLoop) finishAttempt(r *openRequest, outcome balancer.Outcome, body []byte) {
	r.attemptCancels[outcome.Attempt]()
	r.attemptCancels[outcome.Attempt] = nil
	r.inFlight--
	r.mayHaveRun = r.mayHaveRun || l.mayHaveRun(outcome.Result)
	if outcome.Result == balancer.Served && !r.answered {
		l.respond(r, frontend.Response{Status: http.StatusOK, Body: body})
	}
	outcome.Done = r.answered
	l.removeIfComplete(r)
	l.addEvent(outcome)
}

// mayHaveRun reports whether an attempt that ended so may have had an effect.
func (l *eventLoop) mayHaveRun(result balancer.Result) bool {
	return !result.NeverRan() || l.settings.RejectedMayHaveRun && result == balancer.Rejected
}

// startHealthCheck examines an endpoint outside any request.
func (l *eventLoop) startHealthCheck(ctx context.Context, endpointID string) {
	start := l.clock.Now()
	go func() { // ends with the health check, which has a timeout of its own
		result, response := l.upstream.HealthCheck(ctx, endpointID)
		l.post(moduleEvent{balancer.HealthCheckResult{
			Endpoint:   endpointID,
			Result:     result,
			Latency:    l.clock.At(response.EndedAt) - start,
			LoadReport: response.LoadReport(),
		}})
	}()
}
