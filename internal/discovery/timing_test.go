package discovery

import (
	"testing"
	"time"
)

// Calls must not time out while they wait in discovery's queue, nor silent watches before a line is due, and what a
// silent watch or a hung call leaves of the limit has to be enough for the next call's queueing.
func TestPollsFitMaxPropagationDelay(t *testing.T) {
	client, _ := newClient(t, true)
	if client.callTimeout <= maxQueueTime || client.idleTimeout <= 2*time.Second {
		t.Errorf("calls end after %v, silent watches after %v: while they wait for their turn, or before a line is due",
			client.callTimeout, client.idleTimeout)
	}
	worst := max(client.idleTimeout, client.callTimeout) + SubscribeSpread + maxQueueTime
	if worst > 6*time.Second || SubscribeSpread <= 0 {
		t.Errorf("a silent watch or a hung call, a delay of %v and the next call's turn take %v",
			SubscribeSpread, worst)
	}
}

// A silent watch, one more that is silent from its start, and the delays between them must be over before the 6 s
// after which what the first one missed counts as received.
func TestRestartsFitMaxPropagationDelay(t *testing.T) {
	client, settings := newClient(t, false)
	// Half a second is left for the next one, which a machine that is late may take.
	worst := client.idleTimeout + client.callTimeout + 2*client.source.backoff.maxDelay
	if worst > 5500*time.Millisecond {
		t.Errorf("two silent watches take %v", worst)
	}
	if client.source.backoff.maxDelay > settings.DrainGrace/4 {
		t.Errorf("a delay of %v between two watches, where requests to draining endpoints are tolerated for %v",
			client.source.backoff.maxDelay, settings.DrainGrace)
	}
	if client.idleTimeout <= 2*time.Second {
		t.Errorf("%v is too short for an empty line every 2 s", client.idleTimeout)
	}
}
