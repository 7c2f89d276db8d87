package balancer

import "time"

// request is a client's request that is open or has attempts in flight.
type request struct {
	id          string
	class       *classState
	objectiveAt time.Duration // responses after this time earn less
	deadline    time.Duration
	clientRetry bool      // a later try of the client: part of its objective has passed
	work        float64   // expected work, ns; 0: unknown
	keyHash     uint64    // 0: no key
	keyQueue    *keyQueue // where the order of the key is kept
	quietUntil  time.Duration

	attempts        []*attempt
	inFlight        int      // attempts without an outcome
	mayHaveRun      int      // attempts that may have run, those in flight included
	firstMayHaveRun *attempt // the first of these: it sets the scope and window of deduplication
	retries         int
	lastFailed      *endpoint

	timer   int64 // the token of its latest timer; earlier ones are void
	skipped bool  // found no endpoint in this step

	backingOff, queued, streaming, ended bool
}

// attempt is one request to one endpoint.
type attempt struct {
	endpoint          *endpoint
	sentAt            time.Duration
	expectedLatency   float64       // ns, at least 1
	unresponsiveAfter time.Duration // without a response for so long, its endpoint may be unresponsive
	inFlight          bool
	newConnection     bool // its endpoint was not connected
}

func (a *attempt) isOverdue(now time.Duration) bool { return now-a.sentAt > a.unresponsiveAfter }

// send starts an attempt. Nothing else does; the rules are checked here last.
func (b *Balancer) send(r *request, ep *endpoint) {
	if ep.State != Serving || !b.mayAttempt(r, ep) || !b.isNextOfKey(r) || b.now >= r.deadline {
		b.finish(r)
		return
	}
	expected := b.expectedLatency(r)
	patience := max(unresponsiveShare*float64(r.class.Objective), unresponsiveMeans*expected)
	notAfter := b.repeatWindowEnd(r)
	a := &attempt{endpoint: ep, sentAt: b.now, expectedLatency: max(expected, 1), inFlight: true,
		unresponsiveAfter: time.Duration(patience), newConnection: !b.isConnected(ep)}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.mayHaveRun++; r.firstMayHaveRun == nil {
		r.firstMayHaveRun = a
	}
	b.touch(ep)
	ep.inFlight = append(ep.inFlight, a)
	b.inFlight++
	if len(r.attempts) == 1 {
		b.traffic.sent++
	}
	if ep.warmingUp {
		ep.permitAt = b.now + b.drawPermitDelay(ep, a.expectedLatency)
	}
	b.actions = append(b.actions, Send{Request: r.id, Endpoint: ep.ID, NotAfter: notAfter})
	b.scheduleHedge(r)
}

// finish gives a request its final answer. Nothing else does. A rejection lets any client try again.
func (b *Balancer) finish(r *request) {
	if r.ended {
		return
	}
	if r.mayHaveRun == 0 {
		b.actions = append(b.actions, Reject{Request: r.id, RetryAfter: b.retryAfterHint(r)})
	} else {
		b.actions = append(b.actions, Fail{Request: r.id})
	}
	b.closeRequest(r)
}

// closeRequest ends a request, and forgets it once its attempts have ended too.
func (b *Balancer) closeRequest(r *request) {
	if !r.ended {
		b.openRequests--
	}
	r.ended = true
	b.dequeue(r)
	delete(b.timers, r.timer)
	if r.inFlight == 0 {
		delete(b.requests, r.id)
		b.leaveKeyQueue(r)
	}
}
