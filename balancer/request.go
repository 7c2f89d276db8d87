package balancer

import "time"

type attempt struct {
	endpoint          *endpoint
	sentAt            time.Duration
	expectedLatency   float64
	unresponsiveAfter time.Duration // without any answer of its backend for so long, that is silent
	inFlight          bool
	newConnection     bool // its backend was not in the working set
}

type request struct {
	id              string
	class           int
	objectiveAt     time.Duration // answers after this time earn less
	deadline        time.Duration
	keyHash         uint64        // hash of what it is about; 0: nothing told
	keyQueue        *keyQueue     // of its key, where order is kept
	quietUntil      time.Duration // its key rests until then, once it is over
	work            float64       // expected work as told, ns; 0: unknown
	attempts        []*attempt
	inFlight        int      // attempts out
	mayHaveRun      int      // attempts that may have run, those out included
	firstMayHaveRun *attempt // the first of these: sets the group and the window
	retries         int
	lastFailed      *endpoint // the backend that failed it last
	timerToken      int64     // the token of its latest timer; earlier ones are void
	clientRetry     bool      // a later try of the client: part of its aim has passed
	backingOff      bool      // for its backoff
	skipped         bool      // found no backend in this step
	queued          bool
	streaming       bool
	ended           bool
}

// send starts an attempt. Nothing else does; the rules are checked here last.
func (b *Balancer) send(r *request, t *endpoint) {
	if t.State != Serving || !b.mayAttempt(r, t) || !b.isNextOfKey(r) || b.now >= r.deadline {
		b.finish(r)
		return
	}
	a := &attempt{endpoint: t, sentAt: b.now, newConnection: !b.isConnected(t), expectedLatency: max(
		b.expectedLatency(r), 1), inFlight: true,
		unresponsiveAfter: time.Duration(max(unresponsiveShare*float64(b.classes[r.class].Objective),
			unresponsiveMeans*b.expectedLatency(r)))}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.mayHaveRun++; r.firstMayHaveRun == nil {
		r.firstMayHaveRun = a
	}
	t.inFlight = append(t.inFlight, a)
	b.inFlight++
	if len(r.attempts) == 1 {
		b.sentRecently++
	}
	if t.warmingUp {
		t.permitAt = b.now + b.drawPermitDelay(t, a.expectedLatency)
	}
	b.actions = append(b.actions, Send{Request: r.id, Endpoint: t.ID})
	b.scheduleHedge(r)
}

// finish gives a request its final answer: a rejection if no attempt may have run, else a failure.
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

// close forgets a request once it has ended and its attempts are in.
func (b *Balancer) closeRequest(r *request) {
	if !r.ended {
		b.openRequests--
	}
	r.ended = true
	b.dequeue(r)
	delete(b.timers, r.timerToken)
	if r.inFlight == 0 {
		delete(b.requests, r.id)
		b.leaveKeyQueue(r)
	}
}
