package discovery

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The budget of a change. It counts as received propagationLimit after discovery had it and could be reached, whatever
// became of the calls before; from then on requests sent to an endpoint that drains are errors of the agent. All that
// may lie in between has to fit in:
//
//   - where the decision module subscribes and polls, a watch that fell silent or a poll that hung, the wait until
//     the next call (PollSpread), and that call's turn;
//   - where the client keeps the watch open by itself, two silent watches in a row, the waits after them and the next
//     watch. Such calls end on this machine and have no turn to wait for.
const (
	// watchSilenceTimeout ends a watch that has brought nothing for so long. An empty line is due every 2 s, and a
	// machine that was cut off says nothing at all.
	watchSilenceTimeout = 2500 * time.Millisecond
	// callTimeout is the longest that a poll may take, or a watch until its first byte.
	callTimeout = 2500 * time.Millisecond
	// maxTurn is how long a call may wait in discovery's queue before that refuses it.
	maxTurn = 2 * time.Second
	// propagationLimit is when a change counts as received at the latest.
	propagationLimit = 6 * time.Second
	// PollSpread is the time over which agents spread their calls after a start or a failure.
	PollSpread = propagationLimit - max(watchSilenceTimeout, callTimeout) - maxTurn
	// RefusedPollSpread is the same after a refusal, which tells that discovery could not be reached until then.
	RefusedPollSpread = propagationLimit - maxTurn
	// maxRestartDelay bounds the delay before a watch that the client keeps is started again.
	maxRestartDelay = (propagationLimit - watchSilenceTimeout - callTimeout) / 4
)

const (
	// minRestartDelay is the least that the unit and the bound of that delay may be.
	minRestartDelay = 10 * time.Millisecond
	// maxListTimeGrowth bounds the time that a list may take, in multiples of the least.
	maxListTimeGrowth = 8
	// maxDoublings bounds the growth of the delay: all agents of a machine room lose their watches at once.
	maxDoublings = 3
)

// backoff gives the exponential, fully jittered delays before a watch is started again. It is not safe for concurrent
// use.
type backoff struct {
	unit     time.Duration // the first delay is between 0 and this
	limit    time.Duration
	failures int // watches that ended since one was last established
	random   *rand.Rand
}

func newBackoff(connectTimeout, drainGrace time.Duration, seed uint64) backoff {
	return backoff{
		unit:   max(connectTimeout, minRestartDelay),
		limit:  min(max(drainGrace/4, minRestartDelay), maxRestartDelay),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// next returns the delay after one more failure.
func (b *backoff) next() time.Duration {
	bound := min(b.unit<<min(b.failures, maxDoublings), b.limit)
	b.failures++
	return time.Duration(b.random.Float64() * float64(bound))
}

// reset has the delays start over.
func (b *backoff) reset() { b.failures = 0 }

// listTime is how long one list may take to come. It starts at least, and grows where lists are slow, so that a slow
// discovery is heard in the end. It is safe for concurrent use.
type listTime struct {
	least time.Duration

	mu      sync.Mutex // protects current
	current time.Duration
}

func newListTime(least time.Duration) *listTime { return &listTime{least: least, current: least} }

// allowed is how long the next list may take.
func (l *listTime) allowed() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// expired notes a list that did not come in time.
func (l *listTime) expired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = min(2*l.current, maxListTimeGrowth*l.least)
}

// received notes how long a list took.
func (l *listTime) received(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = min(max(l.least, 2*took), maxListTimeGrowth*l.least)
}
