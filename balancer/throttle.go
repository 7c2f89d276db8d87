package balancer

// maxSentPerOnTime is the ratio of requests sent to requests served on time at which the throttle closes.
// Further requests would mostly add work on late responses.
const maxSentPerOnTime = 1.3

// isThrottled reports whether requests must wait because too few of those sent recently were served on time.
// The throttle applies if this agent's share of the minimum concurrency limit is below one attempt. It is the
// only bound for an agent without a limit.
func isThrottled(limiter *concurrencyLimiter, traffic *trafficStats, fleet fleetSummary) bool {
	return limiter.isMinLimitBelow(1, fleet) && traffic.excessRequests(maxSentPerOnTime) >= 0
}
