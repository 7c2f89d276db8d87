package discovery

import (
	"context"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

func TestRestartDelayIsBounded(t *testing.T) {
	client, _ := newClient(t, false)
	client.source.backoff.failures = maxDoublings
	client.source.backoff.baseDelay = time.Hour
	client.source.pending = &watch{} // a pending watch prevents restartWatch from starting one
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	if client.restartWatch(ctx); ctx.Err() != nil {
		t.Error("restartWatch did not return in time, want a delay below the drain grace")
	}
}

func TestBackoff(t *testing.T) {
	const baseDelay, maxDelay = 100 * time.Millisecond, 500 * time.Millisecond
	b := newBackoff(baseDelay, 4*maxDelay, 1)
	for _, bound := range []time.Duration{baseDelay, 2 * baseDelay, 4 * baseDelay, maxDelay, maxDelay} {
		if delay := b.next(); delay < 0 || delay > bound {
			t.Errorf("got delay %v, want 0 to %v", delay, bound)
		}
	}
	b.reset()
	if delay := b.next(); delay > baseDelay {
		t.Errorf("after a reset: got delay %v, want at most %v", delay, baseDelay)
	}
}
