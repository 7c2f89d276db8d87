package membudget

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"
)

// newTestBudget returns a budget with one kilobyte for each part of the pools.
func newTestBudget() *Budget { return New(poolShareParts<<10, slog.New(slog.DiscardHandler)) }

func expectUsed(t *testing.T, b *Budget, want int64) {
	t.Helper()
	if used := b.Used(); used != want {
		t.Errorf("got %d bytes reserved, want %d", used, want)
	}
}

func TestReservationIsReleasedByItsLastHolder(t *testing.T) {
	b := newTestBudget()
	r := b.NewReservation()
	if !r.TryGrow(Bodies, 1000) || !r.TryGrow(Heads, 500) {
		t.Fatal("got no memory of an empty budget")
	}
	r.Hold()
	r.Shrink(Heads, 400)
	expectUsed(t, b, 1100)
	r.Release()
	expectUsed(t, b, 1100)
	r.Release()
	expectUsed(t, b, 0)
	r.Release()
	if !r.TryGrow(Heads, 100) {
		t.Error("got no memory of an empty budget")
	}
	expectUsed(t, b, 0) // nobody would release it
}

// Memory of one kind must not be used up by another, and a reservation that can never succeed must not wait.
func TestPoolsAreSeparate(t *testing.T) {
	b := newTestBudget()
	r := b.NewReservation()
	limit := b.Limit(Bodies)
	if !r.TryGrow(Bodies, limit) || r.TryGrow(Bodies, 1) {
		t.Error("got another limit than that of the pool")
	}
	if !r.TryGrow(Handlers, b.Limit(Handlers)) {
		t.Error("got no memory for handlers while bodies use up theirs")
	}
	var shortage *ShortageError
	if err := b.NewReservation().Grow(context.Background(), Heads, b.Limit(Heads)+1); !errors.As(err, &shortage) ||
		shortage.Kind != Heads {
		t.Errorf("got error %v for more than the pool, want a shortage of heads", err)
	}
}

// Reservations get their memory in the order in which they asked for it, so that small ones do not keep a large one
// waiting.
func TestReservationsWaitInOrder(t *testing.T) {
	b := newTestBudget()
	first, large, small := b.NewReservation(), b.NewReservation(), b.NewReservation()
	first.TryGrow(Bodies, b.Limit(Bodies)/2)
	got := make(chan error, 1)
	go func() { got <- large.Grow(context.Background(), Bodies, b.Limit(Bodies)) }()
	for b.Waiting(Bodies) == 0 {
		time.Sleep(time.Millisecond)
	}
	if small.TryGrow(Bodies, 1) {
		t.Error("a small reservation overtook one that waits")
	}
	first.Release()
	if err := <-got; err != nil || b.Used() != b.Limit(Bodies) || b.Waiting(Bodies) != 0 {
		t.Errorf("got error %v, %d bytes reserved and %d waiting, want all memory of the pool",
			err, b.Used(), b.Waiting(Bodies))
	}
}

// A reservation that gives up must leave nothing behind.
func TestReservationGivesUp(t *testing.T) {
	b := newTestBudget()
	holder := b.NewReservation()
	holder.TryGrow(Requests, b.Limit(Requests))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := b.NewReservation().Grow(ctx, Requests, 1); err == nil {
		t.Error("got memory of a pool that is used up")
	}
	holder.Release()
	expectUsed(t, b, 0)
	if b.Waiting(Requests) != 0 {
		t.Errorf("got %d waiting, want none", b.Waiting(Requests))
	}
}
