package agent

import (
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

// Requests are remembered for a limited time, and in a limited number: the oldest are forgotten first.
func TestRecentRequestsAreBounded(t *testing.T) {
	const capacity = 100
	recent := newRecentRequests(capacity)
	for i := range 10 * capacity {
		recent.remember(testutil.NthID(i), time.Duration(i), 0)
	}
	now := time.Duration(10 * capacity)
	for i := range 10 * capacity {
		isRemembered := !recent.mayForward(testutil.NthID(i), now, 0)
		if want := i >= 9*capacity; isRemembered != want {
			t.Fatalf("request %d of %d: got remembered %v, want %v", i, 10*capacity, isRemembered, want)
		}
	}
	if kept := len(recent.order); kept > 2*capacity+1 {
		t.Errorf("got %d entries for %d requests", kept, capacity)
	}
	if !recent.mayForward(testutil.NthID(10*capacity-1), now+recentRequestRetention, 0) || len(recent.byID) != 0 {
		t.Errorf("got %d requests remembered after the retention, want none", len(recent.byID))
	}
}

// A repeat with a key that all endpoints know is safe while all its attempts end within the deduplication window of the
// first attempt, however often it is repeated.
func TestRepeatsWithinDedupWindow(t *testing.T) {
	class := balancer.Class{Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupEverywhere,
		DedupWindow: 5 * time.Second}
	recent := newRecentRequests(10)
	recent.remember(id, 2*time.Second, repeatSafeUntil(class, time.Second))
	if !recent.mayForward(id, 3*time.Second, 3*time.Second) || recent.mayForward(id, 3*time.Second, 4*time.Second) {
		t.Error("got another end of the window than 6 s")
	}
	recent.remember(id, 5*time.Second, repeatSafeUntil(class, 3*time.Second))
	if recent.mayForward(id, 5*time.Second, 2*time.Second) {
		t.Error("a repeat has moved the end of the window")
	}
	class.DedupScope = balancer.DedupInZone
	recent.remember(otherID, 2*time.Second, repeatSafeUntil(class, time.Second))
	if recent.mayForward(otherID, 2*time.Second, time.Millisecond) {
		t.Error("a repeat may go to another zone, want none")
	}
}
