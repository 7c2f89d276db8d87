package agent

import (
	"context"
	"fmt"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/telemetry"
)

// perform executes one action of the decision module. A balancer.Balancer returns no HealthCheck, Unsubscribe,
// PollEndpoints, CloseIdle, LogMessage or Gossip. The agent does not support Gossip.
func (l *eventLoop) perform(ctx context.Context, now time.Duration, action balancer.Action) {
	switch action := action.(type) {
	case balancer.Send:
		l.startAttempt(ctx, now, action)
	case balancer.Cancel:
		l.cancelAttempt(action)
	case balancer.Reject:
		l.reject(action)
	case balancer.Fail:
		l.fail(action)
	case balancer.SetTimer:
		l.timers.add(&timer{dueAt: now + max(0, action.After), token: action.Token})
	case balancer.HealthCheck:
		l.startHealthCheck(ctx, action)
	case balancer.Subscribe:
		l.discovery.Subscribe(ctx)
	case balancer.Unsubscribe:
		l.discovery.Unsubscribe()
	case balancer.PollEndpoints:
		l.discovery.Poll(ctx)
	case balancer.CloseIdle:
		l.upstream.CloseIdle(action.Endpoint)
	case balancer.LogMessage:
		l.log.Info(action.Text)
	default:
		l.log.Error(telemetry.MsgUnknownAction, "action", fmt.Sprintf("%T", action))
	}
}
