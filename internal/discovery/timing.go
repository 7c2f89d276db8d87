package discovery

import "time"

// The timeouts and delays below keep the propagation of a change within maxPropagationDelay. Once discovery has held a
// change and been reachable for that time, it assumes that every agent has the change, even if an agent's calls failed.
// A request that is sent to a draining endpoint after that counts as an error of the agent. Each of these sequences
// must fit into that time:
//
//   - If the decision module subscribes and polls: a watch until its idle timeout or a hanging poll until its call
//     timeout, the delay before the next watch or poll (at most SubscribeSpread), and the time that this call waits in
//     discovery's queue (at most maxQueueTime).
//   - If the client restarts the watch on its own (Options.AutoWatch): a watch until its idle timeout, a second one
//     until its call timeout, the backoff after each, and the next watch. No queue time is included, since the timeouts
//     of this machine end these watches; they do not wait in discovery's queue.
const (
	// defaultIdleTimeout is the time without data after which a watch is closed. Discovery sends an empty line every
	// 2 s, and the absence of these lines is the only sign of a network partition.
	defaultIdleTimeout = 2500 * time.Millisecond
	// defaultCallTimeout is the timeout of a poll, and the time after which the next watch is started if one has no
	// response.
	defaultCallTimeout = 2500 * time.Millisecond
	// lateTimeoutFactor is the time for which a watch waits for its response, as a multiple of the call timeout. A slow
	// response may come as long as it is of use.
	lateTimeoutFactor = float64(maxPropagationDelay) / float64(defaultCallTimeout)
	// maxQueueTime is the time that a call may wait in discovery's queue before discovery refuses it.
	maxQueueTime = 2 * time.Second
	// maxPropagationDelay is the maximum time until this agent has received a change.
	maxPropagationDelay = 6 * time.Second
	// SubscribeSpread is the maximum delay before the decision module subscribes after a start, a failed watch or a
	// failed poll. Each agent draws its delay at random, so that the agents do not all call discovery at once.
	SubscribeSpread = maxPropagationDelay - max(defaultIdleTimeout, defaultCallTimeout) - maxQueueTime
	// RefusedSubscribeSpread is the same maximum after a refusal. No timeout is deducted, since a refusal proves that
	// discovery was not reachable until then.
	RefusedSubscribeSpread = maxPropagationDelay - maxQueueTime
	// restartDelayDivisor divides the part of maxPropagationDelay that is left after an idle and a call timeout. Two
	// backoff delays take at most half of that part; the rest is for the next watch.
	restartDelayDivisor = 4
	// maxRestartDelay is the maximum backoff delay before the client restarts a watch on its own.
	maxRestartDelay = (maxPropagationDelay - defaultIdleTimeout - defaultCallTimeout) / restartDelayDivisor
)
