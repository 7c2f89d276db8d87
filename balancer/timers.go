package balancer

import "time"

// timerTable knows what the pending timers are for. A token of 0 stands for no timer.
type timerTable struct {
	lastToken      int64
	requests       map[int64]*request // by token
	subscribeToken int64              // token of the latest timer for a Subscribe, which voids earlier ones
}

func newTimerTable() timerTable { return timerTable{requests: map[int64]*request{}} }

// nextToken returns a token that no other timer has had.
func (t *timerTable) nextToken() int64 {
	t.lastToken++
	return t.lastToken
}

// add notes the latest timer of a request. One that is voided by it stays in the table until it fires.
func (t *timerTable) add(r *request) { t.requests[r.timerToken] = r }

// setSubscribe notes the timer for the next Subscribe.
func (t *timerTable) setSubscribe(token int64) { t.subscribeToken = token }

// remove forgets a timer of a request.
func (t *timerTable) remove(token int64) { delete(t.requests, token) }

// takeSubscribe reports whether a timer that fired is the one for the next Subscribe, and forgets it.
func (t *timerTable) takeSubscribe(token int64) bool {
	if token == 0 || token != t.subscribeToken {
		return false
	}
	t.subscribeToken = 0
	return true
}

// takeRequest returns the open request whose latest timer has fired, and forgets the timer; nil if there is
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

// setTimer asks for a step after a wait and returns the timer's token.
func (b *Balancer) setTimer(wait time.Duration) int64 {
	token := b.timers.nextToken()
	b.addAction(SetTimer{After: wait, Token: token})
	return token
}

// setRequestTimer sets the timer of a request, which voids its earlier ones.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	r.timerToken = b.setTimer(at - b.now)
	b.timers.add(r)
}

// handleTimerFired continues what has waited for a timer. A request that stays queued gets another timer by
// expireQueue.
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
