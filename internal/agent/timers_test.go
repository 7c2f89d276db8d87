package agent

import (
	"testing"
	"time"
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

func (q *timerQueue) len() int { return len(q.heap) }
