package agent

import (
	"testing"
	"time"
)

// Timers come in the order in which they are due, and those of one time in the order in which they were added. A timer
// that was removed does not come, and may be removed again.
func TestTimerQueue(t *testing.T) {
	var queue timerQueue
	timers := map[string]*timer{}
	for i, at := range []time.Duration{3, 1, 2, 1, 2} {
		name := string(rune('a' + i))
		timers[name] = &timer{dueAt: at, token: int64(i)}
		queue.add(timers[name])
	}
	if at, ok := queue.nextAt(); !ok || at != 1 {
		t.Errorf("next: %v, %v", at, ok)
	}
	queue.remove(timers["c"])
	queue.remove(timers["c"])
	if due := queue.popDue(0); due != nil {
		t.Errorf("timer %d is due early", due.token)
	}
	for _, name := range []string{"b", "d", "e"} {
		if due := queue.popDue(2); due != timers[name] {
			t.Errorf("due: %+v, want timer %s", due, name)
		}
	}
	if due := queue.popDue(2); due != nil || queue.len() != 1 {
		t.Errorf("due: %+v, %d left", due, queue.len())
	}
	if due := queue.popDue(3); due != timers["a"] {
		t.Errorf("due: %+v, want timer a", due)
	}
	if _, ok := queue.nextAt(); ok {
		t.Error("a next timer in an empty queue")
	}
}

func (q *timerQueue) len() int { return len(q.heap) }
