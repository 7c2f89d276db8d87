package balancer

import "time"

// attemptRules decides which endpoints may get a first or further attempt of a request. The rules apply to
// every attempt, including retries and hedges.
type attemptRules struct {
	maxAttempts    int
	allowHedging   bool
	connectTimeout time.Duration
}

// allows reports whether an attempt of r may be sent to an endpoint now.
func (rules *attemptRules) allows(r *request, ep *endpoint, now time.Duration) bool {
	if r.isFinished() || r.isStreaming || len(r.attempts) >= rules.maxAttempts {
		return false
	}
	if r.inFlightCount > 0 && !rules.allowHedging {
		return false
	}
	return r.mayHaveRunCount == 0 || rules.allowsRepeat(r, ep, now)
}

// allowsHedge reports whether a request with an attempt in flight may be hedged, regardless of the endpoint.
func (rules *attemptRules) allowsHedge(r *request) bool {
	if !rules.allowHedging || r.class.Idempotency == NotIdempotent {
		return false
	}
	return r.inFlightCount == 1 && len(r.attempts) < rules.maxAttempts
}

// allowsRepeat reports whether a request that may have run can be repeated at an endpoint without a second
// effect.
func (rules *attemptRules) allowsRepeat(r *request, ep *endpoint, now time.Duration) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return rules.isWithinDedupWindow(r, now) && r.isInDedupScope(ep) &&
			(!r.isBoundToScope() || !ep.mayHaveBeenReplaced(now))
	case NotIdempotent:
		return false
	}
	return false
}

// isWithinDedupWindow reports whether a repeat that is sent now arrives before the deduplication window of
// the request ends. Establishing its connection may take up to the connect timeout.
func (rules *attemptRules) isWithinDedupWindow(r *request, now time.Duration) bool {
	return now-r.firstMayHaveRun.sentAt < r.class.DedupWindow-rules.connectTimeout
}

// isBoundToScope reports whether the next attempt of r is a repeat that only a part of the endpoints drops.
func (r *request) isBoundToScope() bool {
	isRepeat := r.mayHaveRunCount > 0
	return isRepeat && r.class.Idempotency == IdempotentWithKey && r.class.DedupScope != DedupEverywhere
}

// isInDedupScope reports whether an endpoint drops a repeat of the first attempt that may have run.
func (r *request) isInDedupScope(ep *endpoint) bool {
	first := r.firstMayHaveRun.endpoint
	switch r.class.DedupScope {
	case DedupInZone:
		return ep.Zone == first.Zone
	case DedupInCell:
		return ep.Cell == first.Cell
	case DedupEverywhere:
		return true
	}
	return false
}

// dedupWindowEnd returns the time after which endpoints no longer drop the next attempt of r as a repeat. It
// returns 0 if that attempt repeats nothing, or may be repeated at any time.
func (r *request) dedupWindowEnd() time.Duration {
	if r.class.Idempotency != IdempotentWithKey || r.mayHaveRunCount == 0 {
		return 0
	}
	return r.firstMayHaveRun.sentAt + r.class.DedupWindow
}
