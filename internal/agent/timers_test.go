package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

// The queue must return timers in the order of dueAt, and timers with equal dueAt in the order of insertion. It must
// not return removed timers, and removing a timer twice must have no effect.
func TestTimerQueue(t *testing.T) {
	var queue timerQueue
	timers := map[string]*timer{}
	for i, at := range []time.Duration{3, 1, 2, 1, 2} {
		name := string(rune('a' + i))
		timers[name] = &timer{dueAt: at, token: int64(i)}
		queue.add(timers[name])
	}
	if at, ok := queue.nextAt(); !ok || at != 1 {
		t.Errorf("nextAt: got %v, %v, want 1, true", at, ok)
	}
	queue.remove(timers["c"])
	queue.remove(timers["c"])
	if due := queue.popDue(0); due != nil {
		t.Errorf("popDue(0): got timer %d, want none", due.token)
	}
	for _, name := range []string{"b", "d", "e"} {
		if due := queue.popDue(2); due != timers[name] {
			t.Errorf("popDue(2): got %+v, want timer %s", due, name)
		}
	}
	if due := queue.popDue(2); due != nil || queue.len() != 1 {
		t.Errorf("popDue(2): got %+v with %d timers left, want none with 1 left", due, queue.len())
	}
	if due := queue.popDue(3); due != timers["a"] {
		t.Errorf("popDue(3): got %+v, want timer a", due)
	}
	if _, ok := queue.nextAt(); ok {
		t.Error("nextAt of an empty queue: got ok true, want false")
	}
}

// If the loop is delayed beyond the deadline guard of a request, the response or the answer of the module that waits
// must come before the guard, which would log an internal error.
func TestDelayedLoopHandlesAnswersBeforeGuards(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay func(*eventLoop, *trackedRequest)
		want  int
	}{
		{"response", func(l *eventLoop, r *trackedRequest) {
			number := r.addAttempt(l.clock.Now(), func() {})
			l.post(attemptFinished{request: r, outcome: balancer.Outcome{Request: id, Attempt: number}})
		}, http.StatusOK},
		{"timer of the module", func(l *eventLoop, r *trackedRequest) {
			l.timers.add(&timer{dueAt: r.inbound.Deadline - attemptMargin})
		}, http.StatusServiceUnavailable},
	} {
		l := newTestLoop(t)
		l.module = scriptedModule(func(_ time.Duration, event balancer.Event) []balancer.Action {
			if _, ok := event.(balancer.TimerFired); ok {
				return []balancer.Action{balancer.Reject{Request: id}}
			}
			return nil
		})
		request := submit(l, id, 30*time.Millisecond)
		test.delay(l, l.requests.find(id))
		for l.clock.Now() <= request.Deadline {
			time.Sleep(time.Millisecond)
		}
		l.handleDue(context.Background())
		if response := testutil.Receive(t, request.Response()); response.Status != test.want {
			t.Errorf("%s: got status %d, want %d", test.name, response.Status, test.want)
		}
	}
}

func (q *timerQueue) len() int { return len(q.heap) }
