package balancer

import "time"

// timerTable records the purpose of each pending timer. Token 0 means no timer. A timer that is void is
// ignored when it fires.
type timerTable struct {
	lastToken      int64              // latest token that was issued
	requests       map[int64]*request // requests that wait for a timer, by token
	subscribeToken int64              // token of the latest timer for a Subscribe; earlier ones are void
}

func newTimerTable() timerTable { return timerTable{requests: map[int64]*request{}} }

// nextToken returns an unused token.
func (t *timerTable) nextToken() int64 {
	t.lastToken++
	return t.lastToken
}

// add adds the latest timer of a request. Earlier timers of the request are void; their entries stay until
// they fire.
func (t *timerTable) add(r *request) { t.requests[r.timerToken] = r }

// setSubscribe records the timer for the next Subscribe.
func (t *timerTable) setSubscribe(token int64) { t.subscribeToken = token }

// remove removes a timer of a request.
func (t *timerTable) remove(token int64) { delete(t.requests, token) }

// takeSubscribe reports whether a fired timer is the one for the next Subscribe, and removes it.
func (t *timerTable) takeSubscribe(token int64) bool {
	if token == 0 || token != t.subscribeToken {
		return false
	}
	t.subscribeToken = 0
	return true
}

// takeRequest removes a fired timer and returns the open request whose latest timer it is, or nil if there is
// none.
func (t *timerTable) takeRequest(token int64) *request {
	r := t.requests[token]
	t.remove(token)
	if r == nil || r.isFinished() || token != r.timerToken {
		return nil
	}
	r.timerToken = 0
	return r
}

// setTimer requests a timer, which causes a step after the wait, and returns its token.
func (b *Balancer) setTimer(wait time.Duration) int64 {
	token := b.timers.nextToken()
	b.addAction(SetTimer{After: wait, Token: token})
	return token
}

// setRequestTimer sets a timer for a request. Its earlier timers become void.
func (b *Balancer) setRequestTimer(r *request, firesAt time.Duration) {
	r.timerToken = b.setTimer(firesAt - b.now)
	b.timers.add(r)
}

// handleTimerFired handles a fired timer. A request that remains queued gets its next timer from expireQueue.
func (b *Balancer) handleTimerFired(token int64) {
	if b.timers.takeSubscribe(token) {
		b.addAction(Subscribe{})
		return
	}
	r := b.timers.takeRequest(token)
	if r == nil {
		return
	}
	switch r.phase {
	case phaseBackingOff:
		b.queue.add(r)
	case phaseActive:
		if r.inFlightCount > 0 && !r.isStreaming {
			b.hedge(r)
		}
	case phaseQueued, phaseFinished:
	}
}
