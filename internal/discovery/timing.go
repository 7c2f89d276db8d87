package discovery

import "time"

// The budget of a change. Discovery counts a change as received propagationLimit after it had the change and could be
// reached, whatever became of the calls before; from then on a request to an endpoint that drains is an error of the
// agent. Within that time must fit:
//
//   - where the decision module subscribes and polls: a watch that fell silent or a poll that hung, the wait until
//     the next call (SubscribeSpread), and that call's time in discovery's queue;
//   - where the client keeps the watch open by itself: two silent watches in a row, the backoff after each, and the
//     next watch. Such calls fail on this machine and wait in no queue.
const (
	// defaultIdleTimeout ends a watch that has brought nothing for so long. An empty line is due every 2 s, and a
	// machine that was cut off says nothing at all.
	defaultIdleTimeout = 2500 * time.Millisecond
	// defaultCallTimeout bounds a poll, and the time to the first byte of a watch.
	defaultCallTimeout = 2500 * time.Millisecond
	// maxQueueTime is how long a call may wait in discovery's queue before discovery refuses it.
	maxQueueTime = 2 * time.Second
	// maxPropagationDelay is how long a change may take to reach this agent.
	maxPropagationDelay = 6 * time.Second
	// SubscribeSpread is the time over which agents spread their calls after a start or a failure.
	SubscribeSpread = maxPropagationDelay - max(defaultIdleTimeout, defaultCallTimeout) - maxQueueTime
	// RefusedSubscribeSpread is the same after a refusal, which proves that discovery could not be reached until then.
	RefusedSubscribeSpread = maxPropagationDelay - maxQueueTime
	// restartDelayDivisor is how many of the longest backoffs fit into what two silent watches leave of the limit. Two occur
	// there, and half is left for the next watch.
	restartDelayDivisor = 4
	// maxRestartDelay bounds the backoff before a watch that the client keeps is started again.
	maxRestartDelay = (maxPropagationDelay - defaultIdleTimeout - defaultCallTimeout) / restartDelayDivisor
)
