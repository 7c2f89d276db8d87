package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// endpoint is an entry of the endpoint list and what has been learned of it.
type endpoint struct {
	Endpoint
	hash       uint64     // of its ID
	rank       float64    // exponential random number of mean 1: its place in this agent's order
	inFlight   []*attempt // oldest first
	isObserved bool       // it has had attempts, a start or a change of state since it was listed

	connection connectionState
	responses  responseStats
	ejection   ejectionState
	warmUp     warmUp
}

// newEndpoint returns an endpoint that has just been listed.
func newEndpoint(entry Endpoint, rank float64, classes int) *endpoint {
	ep := &endpoint{Endpoint: entry, hash: xxhash.Sum64String(entry.ID), rank: rank}
	ep.StartedAt = 0 // the start that the list has, if any, is still to be applied
	ep.ejection.byClass = make([]classEjection, classes)
	return ep
}

// isUnused reports whether it was removed and none of its attempts is in flight.
func (ep *endpoint) isUnused() bool { return ep.State == Removed && len(ep.inFlight) == 0 }

// markRemoved notes that it is no longer listed.
func (ep *endpoint) markRemoved() { ep.State = Removed }

// addAttempt notes an attempt that is being sent to it.
func (ep *endpoint) addAttempt(a *attempt) { ep.inFlight = append(ep.inFlight, a) }

// removeAttempt notes the end of one of its attempts.
func (ep *endpoint) removeAttempt(a *attempt) {
	ep.inFlight = slices.DeleteFunc(ep.inFlight, func(other *attempt) bool { return other == a })
}

// demote moves it back in this agent's order. increase is in units of the mean rank.
func (ep *endpoint) demote(increase float64) { ep.rank += increase }

// size is the listed size; without sizes all endpoints are alike.
func (ep *endpoint) size() float64 { return cmp.Or(max(0, ep.Weight), 1) }

// isConnected reports whether the agent probably has a connection to it, in use or idle.
func (ep *endpoint) isConnected(now, idleClose time.Duration) bool {
	return len(ep.inFlight) > 0 || ep.connection.mayBeOpen(now, idleClose)
}

// isUnresponsive reports whether it has served nothing since its oldest attempt, which is overdue, was sent.
func (ep *endpoint) isUnresponsive(now time.Duration) bool {
	if len(ep.inFlight) == 0 {
		return false
	}
	oldest := ep.inFlight[0]
	return ep.responses.lastServedAt < oldest.sentAt && oldest.isOverdue(now)
}

// hasProbablyRestartedBefore reports whether an endpoint that serves an attempt was probably restarted before
// the attempt was sent, though the list has not said so yet: it was unreachable, its failures began before
// the attempt, and no later start is known.
func (ep *endpoint) hasProbablyRestartedBefore(a *attempt) bool {
	return ep.ejection.isUnreachable && ep.warmUp.startedAt < a.sentAt && ep.ejection.firstFailureAt < a.sentAt
}

// isUsable reports whether its capacity counts as part of the fleet's.
func (ep *endpoint) isUsable(now time.Duration) bool {
	isHealthy := !ep.ejection.isUnreachable && !ep.ejection.isEjected(now) && !ep.isUnresponsive(now)
	return ep.State == Serving && isHealthy
}

// connectionState is what is known of the agent's connections to an endpoint.
type connectionState struct {
	isConnected        bool // the latest attempt left a connection that may be used again
	lastUsedAt         time.Duration
	lastAnsweredSentAt time.Duration // send time of the latest attempt that was answered
}

// mayBeOpen reports whether an idle connection is probably still open.
func (c *connectionState) mayBeOpen(now, idleClose time.Duration) bool {
	return c.isConnected && (idleClose == 0 || now-c.lastUsedAt < idleClose)
}

// markDisconnected notes that the connections may be stuck, or are gone with the endpoint's process.
func (c *connectionState) markDisconnected() { c.isConnected = false }

// recordResult learns from the end of an attempt.
func (c *connectionState) recordResult(now time.Duration, a *attempt, isAnswered bool) {
	c.isConnected = isAnswered
	c.lastUsedAt = now
	if isAnswered {
		c.lastAnsweredSentAt = max(c.lastAnsweredSentAt, a.sentAt)
	}
}

const (
	// latencyRatioPriorSamples is the number of responses that the ratio of 1 counts for at a new endpoint.
	latencyRatioPriorSamples = 2.0
	// maxLatencyRatioSample is the largest latency ratio that one response counts with.
	maxLatencyRatioSample = 8.0
)

// responseStats are the statistics of an endpoint's responses.
type responseStats struct {
	hasServed    bool // since it started
	lastServedAt time.Duration
	latencyRatio float64 // mean of its latencies over the expected ones; 0: none observed
	sampleCount  float64 // latencies that the mean rests on
}

// ratio is how many times the expected latency it takes.
func (s *responseStats) ratio() float64 { return cmp.Or(s.latencyRatio, 1) }

// recordServed notes a response.
func (s *responseStats) recordServed(now time.Duration) {
	s.lastServedAt, s.hasServed = now, true
}

// updateLatencyRatio learns from one latency over the expected one.
func (s *responseStats) updateLatencyRatio(sample float64) {
	s.sampleCount++
	s.latencyRatio = s.ratio()
	weight := max(smoothing, 1/(s.sampleCount+latencyRatioPriorSamples))
	s.latencyRatio += weight * (min(sample, maxLatencyRatioSample) - s.latencyRatio)
}

// recordNoResponse lets the next responses count for more, and forgets that the endpoint was faster than
// others.
func (s *responseStats) recordNoResponse() {
	s.latencyRatio, s.sampleCount = max(s.latencyRatio, 1), 0
}

// resetOnRestart drops the statistics of the process before, but for the time of its last response.
func (s *responseStats) resetOnRestart() {
	s.hasServed, s.latencyRatio, s.sampleCount = false, 0, 0
}
