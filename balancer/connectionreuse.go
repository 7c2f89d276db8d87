package balancer

import (
	"math"
	"time"
)

const (
	// minLateWindow is the minimum late window. Nearly all second responses follow the first one within it.
	minLateWindow = 80 * time.Millisecond
	// lateWindowMultiple is the late window as a multiple of the longest time after which unrequested bytes
	// came too late for the previous window.
	lateWindowMultiple = 2.0
	// lateWindowHalfLife is the time within which a longer late window halves while no unrequested bytes come
	// too late for it.
	lateWindowHalfLife = time.Minute

	// quickLatencyQuantile is the quantile of latencies that quickLatencyRatio estimates.
	quickLatencyQuantile = 0.02
	// initialQuickLatencyRatio is the quantile before any response, as a multiple of the expected latency.
	initialQuickLatencyRatio = 0.05
	// quickLatencyStep is the difference of the logarithms by which one latency below the quantile changes
	// the estimate.
	quickLatencyStep = 0.5
)

// ReuseTerms are the terms on which an attempt may reuse a connection.
type ReuseTerms struct {
	// MinIdle is the minimum time from the last response on the connection to the request.
	MinIdle time.Duration
	// LateWindow is the minimum time from the last response to the next one. Bytes that come earlier may
	// still belong to the last response. They prove nothing about the request.
	LateWindow time.Duration
}

// connectionReuse decides on which terms a connection may carry its next request. A response does not name
// its request. If an endpoint, or a proxy in between, sends a second response late, it would be taken for the
// response to the next request on the connection: the client would get a wrong response, or the agent a false
// proof that the request did not run. Bytes that come within the late window are therefore no response, and
// a connection rests until the next response will hardly be so early. The window grows if such bytes come
// after it.
type connectionReuse struct {
	window            time.Duration // late window at the time updatedAt; 0: minLateWindow
	updatedAt         time.Duration
	quickLatencyRatio float64 // a low quantile of latency over expected latency
}

func newConnectionReuse() connectionReuse {
	return connectionReuse{quickLatencyRatio: initialQuickLatencyRatio}
}

// recordUnrequestedBytes records that unrequested bytes came some time after the last response.
func (c *connectionReuse) recordUnrequestedBytes(now, after time.Duration) {
	if after >= c.lateWindow(now) {
		c.window = time.Duration(lateWindowMultiple * float64(after))
		c.updatedAt = now
	}
}

// recordLatency updates the estimate of the quantile with the latency of a response over an existing
// connection, as a multiple of the expected latency.
func (c *connectionReuse) recordLatency(ratio float64) {
	change := quickLatencyStep * quickLatencyQuantile
	if ratio < c.quickLatencyRatio {
		change -= quickLatencyStep
	}
	c.quickLatencyRatio = min(1, c.quickLatencyRatio*math.Exp(change))
}

// recordTooEarly updates the estimate after bytes that came within the late window. They are most likely a
// response that was quicker than estimated. Without them the estimate would be based only on the responses
// that were slow enough, and would never decrease.
func (c *connectionReuse) recordTooEarly() { c.recordLatency(0) }

// lateWindow returns the time after a response within which further bytes may belong to it.
func (c *connectionReuse) lateWindow(now time.Duration) time.Duration {
	halvings := float64(now-c.updatedAt) / float64(lateWindowHalfLife)
	return max(minLateWindow, time.Duration(float64(c.window)*math.Exp2(-halvings)))
}

// terms returns the terms for an attempt of a request with an expected latency.
func (c *connectionReuse) terms(now time.Duration, expectedLatencyNs float64) ReuseTerms {
	window := c.lateWindow(now)
	quickLatency := time.Duration(c.quickLatencyRatio * expectedLatencyNs)
	return ReuseTerms{MinIdle: max(0, window-quickLatency), LateWindow: window}
}
