package agent

import (
	"container/heap"
	"context"
	"time"

	"ashshunt/balancer"
)

// notQueued is the index of a timer that is not in a queue.
const notQueued = -1

// timer is either a timer that the decision module has set, or the deadline guard of a request.
type timer struct {
	dueAt   time.Duration   // on the agent's clock
	token   int64           // token of a SetTimer; unused in a deadline guard
	request *trackedRequest // request of a deadline guard; nil in a timer of the module

	sequence int // order of insertion, for timers with equal dueAt
	index    int // index in the heap, or notQueued
}

// handleDueTimers removes and handles the timers that are due. If a deadline guard is due together with events of the
// module, the loop was delayed. The module then gets its step first, since it may have an answer to the request.
func (l *eventLoop) handleDueTimers(ctx context.Context, now time.Duration) {
	var guarded []*trackedRequest
	for t := l.timers.popDue(now); t != nil; t = l.timers.popDue(now) {
		if t.request != nil {
			guarded = append(guarded, t.request)
		} else {
			l.addEvent(balancer.TimerFired{Token: t.token})
		}
	}
	if len(guarded) > 0 && len(l.pending) > 0 {
		l.step(ctx, now)
	}
	for _, r := range guarded {
		l.handleDeadlineGuard(r)
	}
}

// timerQueue is a priority queue of timers, ordered by dueAt. Timers with equal dueAt are in the order of insertion.
type timerQueue struct {
	heap         timerHeap
	lastSequence int // sequence of the timer that was added last
}

func (q *timerQueue) add(t *timer) {
	q.lastSequence++
	t.sequence = q.lastSequence
	heap.Push(&q.heap, t)
}

// remove removes a timer if it is in the queue.
func (q *timerQueue) remove(t *timer) {
	if t.index != notQueued {
		heap.Remove(&q.heap, t.index)
	}
}

// nextAt returns the time at which the first timer is due. ok is false if the queue is empty.
func (q *timerQueue) nextAt() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].dueAt, true
}

// popDue removes and returns the first timer if it is due, or returns nil.
func (q *timerQueue) popDue(now time.Duration) *timer {
	if at, ok := q.nextAt(); !ok || at > now {
		return nil
	}
	first := q.heap[0]
	heap.Pop(&q.heap)
	return first
}

// timerHeap implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	if t, ok := x.(*timer); ok { // always true
		t.index = len(*h)
		*h = append(*h, t)
	}
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = notQueued
	return t
}
