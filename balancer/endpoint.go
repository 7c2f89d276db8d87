package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// endpoint is an entry of the endpoint list with the state that the agent keeps for it.
type endpoint struct {
	Endpoint
	hash       uint64     // of the ID
	rank       float64    // exponential random number of mean 1; lower ranks come first in this agent's order
	inFlight   []*attempt // oldest first
	isObserved bool       // the endpoint has had an attempt, a start or a change of state since it was listed

	listedAt   time.Duration // time of the latest list that names the endpoint
	connection connectionState
	responses  responseStats
	ejection   ejectionState
	warmUp     warmUp
}

// newEndpoint returns an endpoint for a new entry of the list. classes is the number of classes.
func newEndpoint(entry Endpoint, rank float64, classes int) *endpoint {
	ep := &endpoint{Endpoint: entry, hash: xxhash.Sum64String(entry.ID), rank: rank}
	ep.StartedAt = 0 // applyEntry handles the start time of the entry, if any
	ep.ejection.byClass = make([]classEjection, classes)
	return ep
}

// canBeDeleted reports whether the endpoint is no longer listed and has no attempt in flight.
func (ep *endpoint) canBeDeleted() bool { return ep.State == Removed && len(ep.inFlight) == 0 }

// markRemoved sets the state of an endpoint that a complete list does not contain.
func (ep *endpoint) markRemoved() { ep.State = Removed }

func (ep *endpoint) addAttempt(a *attempt) { ep.inFlight = append(ep.inFlight, a) }

func (ep *endpoint) removeAttempt(a *attempt) {
	ep.inFlight = slices.DeleteFunc(ep.inFlight, func(other *attempt) bool { return other == a })
}

// demote moves the endpoint back in this agent's order. The mean rank of new endpoints is 1.
func (ep *endpoint) demote(increase float64) { ep.rank += increase }

// listedWeight returns the listed weight, or 1 if the list has none.
func (ep *endpoint) listedWeight() float64 { return cmp.Or(max(0, ep.Weight), 1) }

// isConnected reports whether the agent probably has a connection to the endpoint, in use or idle.
func (ep *endpoint) isConnected(now, idleClose time.Duration) bool {
	return len(ep.inFlight) > 0 || ep.connection.mayBeOpen(now, idleClose)
}

// isUnresponsive reports whether the oldest attempt in flight is overdue and the endpoint has served nothing
// since that attempt was sent.
func (ep *endpoint) isUnresponsive(now time.Duration) bool {
	if len(ep.inFlight) == 0 {
		return false
	}
	oldest := ep.inFlight[0]
	return ep.responses.lastServedAt < oldest.sentAt && oldest.isOverdue(now)
}

// hasProbablyRestartedBefore reports whether an endpoint that has served an attempt was probably restarted
// before the attempt was sent, although the list has not reported it yet: the endpoint was unreachable, its
// consecutive failures started before the attempt was sent, and no later start is known.
func (ep *endpoint) hasProbablyRestartedBefore(a *attempt) bool {
	return ep.ejection.isUnreachable && ep.warmUp.startedAt < a.sentAt &&
		ep.ejection.firstFailureAt < a.sentAt
}

// mayHaveBeenReplaced reports whether another process, in another zone or cell, may have come up at the
// address of the endpoint: a connection to it broke or failed, and no list has named it since. Any such
// change is listed within MaxNoticeDelay.
func (ep *endpoint) mayHaveBeenReplaced(now time.Duration) bool {
	broken := &ep.connection
	return broken.hasBroken && broken.brokenAt >= ep.listedAt && now-broken.brokenAt < MaxNoticeDelay
}

// isUsable reports whether the capacity of the endpoint counts as part of the fleet's.
func (ep *endpoint) isUsable(now time.Duration) bool {
	isAvailable := !ep.ejection.isUnreachable && !ep.ejection.isEjected(now) && !ep.isUnresponsive(now)
	return ep.State == Serving && isAvailable
}

// connectionState is the state of the agent's connections to an endpoint, as inferred from attempts.
type connectionState struct {
	hasReusableConnection bool // the latest attempt left a connection that can be reused
	lastUsedAt            time.Duration
	lastAnsweredSentAt    time.Duration // send time of the latest attempt that was answered
	hasBroken             bool          // a connection has broken, or could not be established
	brokenAt              time.Duration // time of the latest such event
}

// MaxNoticeDelay is the maximum time until a change of an endpoint is listed.
const MaxNoticeDelay = 6 * time.Second

// recordBroken records that a connection has broken, or could not be established.
func (c *connectionState) recordBroken(now time.Duration) { c.hasBroken, c.brokenAt = true, now }

// mayBeOpen reports whether an idle connection is probably still open. Connections close after being idle for
// idleClose; 0: never.
func (c *connectionState) mayBeOpen(now, idleClose time.Duration) bool {
	return c.hasReusableConnection && (idleClose == 0 || now-c.lastUsedAt < idleClose)
}

// markDisconnected records that the connections may be stuck, or were closed when the endpoint's process
// ended.
func (c *connectionState) markDisconnected() { c.hasReusableConnection = false }

// recordResult records the end of an attempt. isAnswered means that the result is Served or ServerError. Only
// such an attempt leaves a connection that can be reused.
func (c *connectionState) recordResult(now time.Duration, a *attempt, isAnswered bool) {
	c.hasReusableConnection = isAnswered
	c.lastUsedAt = now
	if isAnswered {
		c.lastAnsweredSentAt = max(c.lastAnsweredSentAt, a.sentAt)
	}
}

const (
	// latencyRatioPriorSamples is the number of samples that the initial latency ratio of 1 counts for.
	latencyRatioPriorSamples = 2.0
	// maxLatencyRatioSample bounds a single sample of the latency ratio.
	maxLatencyRatioSample = 8.0
)

// responseStats holds the statistics of an endpoint's responses.
type responseStats struct {
	hasServed    bool // the endpoint has served an attempt since its latest known start
	lastServedAt time.Duration
	latencyRatio float64 // mean of latency over expected latency; 0: no sample yet
	sampleCount  float64 // number of samples since the latest start or unanswered attempt
}

// ratio returns the mean of latency over expected latency, or 1 without samples.
func (s *responseStats) ratio() float64 { return cmp.Or(s.latencyRatio, 1) }

// recordServed records that the endpoint has served an attempt.
func (s *responseStats) recordServed(now time.Duration) {
	s.lastServedAt, s.hasServed = now, true
}

// updateLatencyRatio updates the mean latency ratio with a sample: a latency over the expected latency.
func (s *responseStats) updateLatencyRatio(sample float64) {
	s.sampleCount++
	s.latencyRatio = s.ratio()
	weight := max(smoothing, 1/(s.sampleCount+latencyRatioPriorSamples))
	s.latencyRatio += weight * (min(sample, maxLatencyRatioSample) - s.latencyRatio)
}

// recordUnanswered records an attempt whose result is neither Served nor ServerError. The following samples
// get a higher weight, and a latency ratio below 1 is discarded.
func (s *responseStats) recordUnanswered() {
	s.latencyRatio, s.sampleCount = max(s.latencyRatio, 1), 0
}

// resetOnRestart discards the statistics of the previous process, except for lastServedAt.
func (s *responseStats) resetOnRestart() {
	s.hasServed, s.latencyRatio, s.sampleCount = false, 0, 0
}
