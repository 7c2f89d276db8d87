package discovery

import (
	"context"
	"testing"
	"time"

	"ashshunt/internal/testutil"
)

// Calls must not end while they wait for their turn, nor silent watches before a line is due, and what a silent watch
// or a hung call leaves has to be enough for the next call's turn.
func TestPollsFitPropagationLimit(t *testing.T) {
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = true
	options, _ := newOptions(t, c)
	client := New(options)
	if client.callTimeout <= maxTurn || client.silenceTimeout <= 2*time.Second {
		t.Errorf("calls end after %v, silent watches after %v: while they wait for their turn, or before a line is due",
			client.callTimeout, client.silenceTimeout)
	}
	worst := max(client.silenceTimeout, client.callTimeout) + PollSpread + maxTurn
	if worst > 6*time.Second || PollSpread <= 0 {
		t.Errorf("a silent watch or a hung call, a delay of %v and the next call's turn take %v", PollSpread, worst)
	}
}

// A silent watch, one more that is silent from its start, and the delays between them must be over before the 6 s
// after which what the first one missed counts as received.
func TestRestartsFitPropagationLimit(t *testing.T) {
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = false
	options, _ := newOptions(t, c)
	client := New(options)
	// Half a second is left for the next one, which a machine that is late may take.
	worst := client.silenceTimeout + client.callTimeout + 2*client.backoff.limit
	if worst > 5500*time.Millisecond {
		t.Errorf("two silent watches take %v", worst)
	}
	if client.backoff.limit > c.Settings.DrainGrace/4 {
		t.Errorf("a delay of %v between two watches, where requests to draining endpoints are tolerated for %v",
			client.backoff.limit, c.Settings.DrainGrace)
	}
	if client.silenceTimeout <= 2*time.Second {
		t.Errorf("%v is too short for an empty line every 2 s", client.silenceTimeout)
	}
}

func TestRestartDelayIsBounded(t *testing.T) {
	c := testutil.Config(t, "127.0.0.1:1")
	c.Settings.Subscribe = false
	options, _ := newOptions(t, c)
	client := New(options)
	client.backoff.failures = maxDoublings
	client.backoff.unit = time.Hour
	client.replacement = &watch{} // so that none is started
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	if client.restartWatch(ctx); ctx.Err() != nil {
		t.Error("the delay before a watch outlasts the grace for draining endpoints")
	}
}

func TestBackoff(t *testing.T) {
	const unit, limit = 100 * time.Millisecond, 500 * time.Millisecond
	b := newBackoff(unit, 4*limit, 1)
	for _, bound := range []time.Duration{unit, 2 * unit, 4 * unit, limit, limit} {
		if delay := b.next(); delay < 0 || delay > bound {
			t.Errorf("delay %v, want at most %v", delay, bound)
		}
	}
	b.reset()
	if delay := b.next(); delay > unit {
		t.Errorf("delay %v after a reset, want at most %v", delay, unit)
	}
}

// Lists that take their time are waited for longer, up to a bound, until they are fast again.
func TestListTime(t *testing.T) {
	const least = 2 * time.Second
	allowance := newListTime(least)
	for _, want := range []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second} {
		if allowance.expired(); allowance.allowed() != want {
			t.Errorf("%v after a list that was given up, want %v", allowance.allowed(), want)
		}
	}
	for took, want := range map[time.Duration]time.Duration{
		0: least, time.Second: least, 3 * time.Second: 6 * time.Second, time.Minute: 16 * time.Second,
	} {
		if allowance.received(took); allowance.allowed() != want {
			t.Errorf("%v after a list that took %v, want %v", allowance.allowed(), took, want)
		}
	}
}
