package agent

import (
	"container/heap"
	"time"

	"ashshunt/balancer"
)

// notQueued is the index of a timer that is in no queue.
const notQueued = -1

// timer is a timer of the decision module, or the deadline guard of a request.
type timer struct {
	dueAt   time.Duration // on the agent's clock
	token   int64         // the module's; unused in a deadline guard
	request *openRequest  // of a deadline guard; nil in a timer of the module

	sequence int // orders timers that are due at the same time
	index    int // in the heap, or notQueued
}

// handleDueTimers handles the timers that are due.
func (l *eventLoop) handleDueTimers(now time.Duration) {
	for t := l.timers.popDue(now); t != nil; t = l.timers.popDue(now) {
		if t.request != nil {
			l.handleDeadlineGuard(t.request)
		} else {
			l.addEvent(balancer.TimerFired{Token: t.token})
		}
	}
}

// timerQueue holds timers in the order in which they are due; of those due at the same time, the one added first
// comes first.
type timerQueue struct {
	heap         timerHeap
	lastSequence int // that the last timer added has got
}

func (q *timerQueue) add(t *timer) {
	q.lastSequence++
	t.sequence = q.lastSequence
	heap.Push(&q.heap, t)
}

// remove removes a timer, if it is still in the queue.
func (q *timerQueue) remove(t *timer) {
	if t.index != notQueued {
		heap.Remove(&q.heap, t.index)
	}
}

// nextAt is when the first timer is due, if there is one.
func (q *timerQueue) nextAt() (at time.Duration, ok bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].dueAt, true
}

// popDue removes and returns the first timer if it is due; nil otherwise.
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
	if t, ok := x.(*timer); ok { // nothing else is pushed
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
