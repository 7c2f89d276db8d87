package discovery

import (
	"testing"
	"time"
)

// Calls must not time out while they wait in discovery's queue, and idle watches must not time out before the next
// empty line is due. A timeout, the spread of the next call and its queue time must fit into the maximum propagation
// delay.
func TestPollsFitMaxPropagationDelay(t *testing.T) {
	client, _ := newClient(t, true)
	if client.callTimeout <= maxQueueTime || client.idleTimeout <= 2*time.Second {
		t.Errorf("got call timeout %v, idle timeout %v, want more than the queue time and more than 2 s",
			client.callTimeout, client.idleTimeout)
	}
	worst := max(client.idleTimeout, client.callTimeout) + SubscribeSpread + maxQueueTime
	if worst > 6*time.Second || SubscribeSpread <= 0 {
		t.Errorf("got spread %v and worst-case propagation delay %v, want a positive spread and at most 6 s",
			SubscribeSpread, worst)
	}
}

// A watch that idles, a next watch without a response, and the backoff after each must fit into the 6 s after which
// discovery assumes that every agent has a change.
func TestRestartsFitMaxPropagationDelay(t *testing.T) {
	client, settings := newClient(t, false)
	// The remaining 0.5 s are for the next watch, which may take that long on a slow machine.
	worst := client.idleTimeout + client.callTimeout + 2*client.source.backoff.maxDelay
	if worst > 5500*time.Millisecond {
		t.Errorf("got %v for an idle watch, a hanging watch and two delays, want at most 5.5 s", worst)
	}
	if client.source.backoff.maxDelay > settings.DrainGrace/4 {
		t.Errorf("got maximum backoff delay %v, want at most a quarter of the drain grace of %v",
			client.source.backoff.maxDelay, settings.DrainGrace)
	}
	if client.idleTimeout <= 2*time.Second {
		t.Errorf("got idle timeout %v, want more than the 2 s between empty lines", client.idleTimeout)
	}
}
