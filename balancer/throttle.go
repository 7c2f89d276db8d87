package balancer

// maxSentPerOnTime is the number of requests sent for each one served on time above which the throttle
// closes: more would mostly add work on responses that are late.
const maxSentPerOnTime = 1.3

// isThrottled reports whether requests have to wait since too few of those sent recently were served on time.
// It acts where this agent's part of the least concurrency limit is under one attempt, and alone where the
// agent has no limit.
func isThrottled(limiter *concurrencyLimiter, traffic *trafficStats, fleet fleetSummary) bool {
	return limiter.isMinLimitBelow(1, fleet) && traffic.excessRequests(maxSentPerOnTime) >= 0
}
