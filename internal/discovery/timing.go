package discovery

import "time"

// The timeouts and delays below keep the propagation of a change within maxPropagationDelay. Once discovery has had a
// change and has been reachable for that time, it treats the change as received, whether calls failed or not. From then
// on, a request that is sent to a draining endpoint counts as an error of the agent. The following must fit into that
// time:
//
//   - If the decision module subscribes and polls: an idle watch or a hanging poll until its timeout, the delay of the
//     next call (SubscribeSpread), and the time of that call in discovery's queue.
//   - If the client restarts the watch on its own (Options.AutoWatch): two idle watches in a row until their timeouts,
//     the backoff after each, and the next watch. These calls fail on this machine and do not wait in a queue.
const (
	// defaultIdleTimeout is the time without data after which a watch is closed. Discovery sends an empty line every
	// 2 s, and the absence of these lines is the only sign of a network partition.
	defaultIdleTimeout = 2500 * time.Millisecond
	// defaultCallTimeout is the timeout of a poll, and of a watch until its response.
	defaultCallTimeout = 2500 * time.Millisecond
	// maxQueueTime is the time that a call may wait in discovery's queue before discovery refuses it.
	maxQueueTime = 2 * time.Second
	// maxPropagationDelay is the maximum time until this agent has received a change.
	maxPropagationDelay = 6 * time.Second
	// SubscribeSpread is the interval over which agents spread their calls after a start or a failure.
	SubscribeSpread = maxPropagationDelay - max(defaultIdleTimeout, defaultCallTimeout) - maxQueueTime
	// RefusedSubscribeSpread is the interval over which agents spread their calls after a refusal. No timeout is
	// deducted, since a refusal proves that discovery was not reachable until then.
	RefusedSubscribeSpread = maxPropagationDelay - maxQueueTime
	// restartDelayDivisor is the number of maximum backoff delays that fit into the time that two idle watches leave of
	// maxPropagationDelay. Two such delays occur; the other half of the time is for the next watch.
	restartDelayDivisor = 4
	// maxRestartDelay is the maximum backoff delay before the client restarts a watch on its own.
	maxRestartDelay = (maxPropagationDelay - defaultIdleTimeout - defaultCallTimeout) / restartDelayDivisor
)
