package frontend

import (
	"time"

	"ashshunt/internal/membudget"
	"ashshunt/internal/socket"
)

const (
	// minSlotRetryInterval is the minimum wait between two attempts to free a slot. It prevents a busy loop.
	minSlotRetryInterval = time.Millisecond
	// memoryReclaimInterval is the time between two attempts to free memory while requests wait for it.
	memoryReclaimInterval = 5 * time.Millisecond
	// patiencePerWaitLeft is the patience with stalled clients as a multiple of the rest of ReclaimWait.
	patiencePerWaitLeft = 4
	// maxEndingDivisor is the inverse of the share of connections that may be about to be closed for others at a time.
	maxEndingDivisor = 4
	// maxExcessDivisor is the inverse of the share of connections by which the limit may be exceeded when the listener
	// closes. They use descriptors that are reserved for other purposes.
	maxExcessDivisor = 8
	// maxEvictionCandidates bounds the number of sockets that are examined to find one connection to evict.
	maxEvictionCandidates = 16
)

// stallPatience returns how long a client may make no progress while it holds what another one has waited for. It
// decreases as that wait comes near ReclaimWait: clients may pause, but the one that waits must be served in time.
func (t *Timeouts) stallPatience(waited time.Duration) time.Duration {
	left := t.ReclaimWait - waited
	return min(max(patiencePerWaitLeft*left, t.MinReclaimStalled), t.ReclaimStalled)
}

// ensureSlot ensures that one more connection may be opened, for which a client has waited for the given time. If
// necessary it closes one that lingers, or else one that is idle. If there is none to close, it returns the time to
// wait before the next call. It does not reserve the slot, which is safe because a single goroutine accepts
// connections.
func (t *connectionTable) ensureSlot(now time.Time, waited time.Duration) (wait time.Duration, ok bool) {
	if t.hasFreeSlot() {
		return 0, true
	}
	if lingering := t.takeLingering(now, t.timeouts.stallPatience(waited)); lingering != nil {
		_ = lingering.finishClose() // the descriptor is released even if this returns an error
		return 0, true
	}
	idle, wait := t.takeIdle(now, t.minIdleDuration)
	if idle != nil {
		idle.closeIdle(closeIdleForSlot)
		return 0, true
	}
	return max(wait, minSlotRetryInterval), false
}

// freeSlotForPending frees slots for the given number of clients that wait in the accept queue, the first of them for
// the given time. It evicts the clients that have stalled for longest within their requests, whose slots become free
// soon, or, if there is none, closes the connection that has been open for longest without a byte: its client may be
// about to send its first request. It reports whether a slot is free now.
func (t *connectionTable) freeSlotForPending(pending int, waited time.Duration) bool {
	patience := t.timeouts.stallPatience(waited)
	maxEnding := min(pending, t.maxOpen/maxEndingDivisor+1)
	for t.endingCount() < maxEnding && t.evictStalled(holdsSlot, patience, closeStalledForSlot) {
	}
	if t.endingCount() >= maxEnding {
		return false
	}
	silent, _ := t.takeIdle(time.Now(), func(c *connection) time.Duration {
		if c.state.hadRequest {
			return t.timeouts.ReclaimIdle
		}
		return t.timeouts.ReclaimSilent
	})
	if silent != nil {
		silent.closeIdle(closeIdleForSlot)
	}
	return silent != nil
}

// mayExceedLimit reports whether one more connection may be open than the limit allows, or if it does allow it, for
// connections that would be reset otherwise.
func (t *connectionTable) mayExceedLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxOpen == 0 || t.open < t.maxOpen+t.maxOpen/maxExcessDivisor+1
}

// endingCount returns the number of connections that are about to be closed.
func (t *connectionTable) endingCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ending
}

func (t *connectionTable) hasFreeSlot() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxOpen == 0 || t.open < t.maxOpen
}

// takeIdle selects the connection that has been idle longest, among those that have been idle for minIdle and have no
// unread bytes, moves it to phaseClosing and returns it. The caller must call finishClose. If there is none, wait is
// the time until the next connection has been idle for minIdle. Connections that are found with unread bytes are
// removed from the idle list.
func (t *connectionTable) takeIdle(now time.Time,
	minIdle func(*connection) time.Duration) (taken *connection, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait = t.timeouts.ReclaimIdle
	for c, since := range t.idle.all() {
		if left := minIdle(c) - now.Sub(since); left > 0 {
			wait = min(wait, left)
			continue
		}
		if socket.HasUnread(c.Conn) { // a request has arrived and is not read yet
			t.idle.remove(c)
			continue
		}
		c.enterClosing()
		return c, 0
	}
	return nil, wait
}

// minIdleDuration returns how long a connection must have been idle before it may be reclaimed.
func (t *connectionTable) minIdleDuration(c *connection) time.Duration {
	if c.state.hadRequest {
		return t.timeouts.ReclaimIdle
	}
	return t.timeouts.ReclaimUnused
}

// takeStalled selects the matching connection whose client has made no progress with its request for the longest time,
// moves it to phaseRejected and returns it. The caller must call evict. It returns nil if no client has stalled for the
// given time. A client has stalled only while the agent waits for its bytes, and has noticed all that have come:
// otherwise it is the agent that is late.
func (t *connectionTable) takeStalled(now time.Time, matches func(*connection) bool,
	patience time.Duration) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := 0
	for c, since := range t.incomplete.all() {
		if now.Sub(since) < patience {
			return nil
		}
		if !c.isAwaited() || !matches(c) {
			continue
		}
		if candidates++; candidates > maxEvictionCandidates {
			break
		}
		if !c.hasNewBytes() {
			c.enterRejected()
			return c
		}
	}
	return nil
}

// evictStalled evicts the matching client that has stalled for longest, if that is the given time, and reports whether
// there was one. Its memory is released, and its slot soon.
func (t *connectionTable) evictStalled(matches func(*connection) bool, patience time.Duration,
	reason closeReason) bool {
	stalled := t.takeStalled(time.Now(), matches, patience)
	if stalled != nil {
		stalled.evict(reason)
	}
	return stalled != nil
}

// takeLingering removes the connection that has lingered longest from the list, if it has lingered for the given time,
// and returns it. The caller must call finishClose.
func (t *connectionTable) takeLingering(now time.Time, patience time.Duration) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, since := range t.lingering.all() {
		if now.Sub(since) < patience {
			return nil
		}
		t.lingering.remove(c)
		return c
	}
	return nil
}

// startReclaiming starts to free memory while requests wait for it.
func (t *connectionTable) startReclaiming() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reclaiming {
		t.reclaiming = true
		go t.reclaimMemory() // returns when no request waits for memory
	}
}

// reclaimMemory frees memory for the requests that wait for it, until none does.
func (t *connectionTable) reclaimMemory() {
	for waited, ok := t.memoryWaited(); ok; waited, ok = t.memoryWaited() {
		patience := t.timeouts.stallPatience(waited)
		for range t.budget.Waiting(membudget.Handlers) {
			if !t.closeIdleHandler() && !t.evictStalled(holdsHandler, patience, closeStalledForMemory) {
				break
			}
		}
		for range t.budget.Waiting(membudget.Bodies) {
			if !t.evictStalled(holdsBody, patience, closeStalledForMemory) {
				break
			}
		}
		time.Sleep(memoryReclaimInterval)
	}
}

// memoryWaited returns how long a request has waited for memory, the one that has waited for longest. If none waits, it
// reports false, and startReclaiming starts reclaimMemory again.
func (t *connectionTable) memoryWaited() (waited time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reclaiming = false
	for _, since := range t.waiting.all() {
		t.reclaiming = true
		return time.Since(since), true
	}
	return 0, false
}

// closeIdleHandler closes the connection that has been idle longest among those that net/http serves, and reports
// whether there was one.
func (t *connectionTable) closeIdleHandler() bool {
	idle, _ := t.takeIdle(time.Now(), func(c *connection) time.Duration {
		if holdsHandler(c) {
			return t.timeouts.ReclaimIdleHandler
		}
		return t.timeouts.FirstByte
	})
	if idle != nil {
		idle.closeIdle(closeIdleForMemory)
	}
	return idle != nil
}
