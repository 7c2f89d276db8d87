package discovery

import (
	"context"
	"sync"
	"time"
)

// unknownVersion is the version after a change of the address, until a list from the new address is received. The
// previous version is not kept, since another discovery service may number its versions differently.
const unknownVersion = -1

// source holds the address of discovery, the version of the last list from it, and the watches. The first version is
// that of the cached list.
//
// A new watch is pending at first. A watch that continues from a version becomes active when discovery responds to it.
// A watch without a version becomes active when its complete list is received. It then replaces the previous active
// watch, which is stopped.
//
// A pending watch whose response is late is overdue: another one is started, but its call stays open, since a slow
// discovery service would never be heard otherwise. Whichever of the two is answered first becomes active.
//
// source is safe for concurrent use. The agent's event loop locks its mutex, which is therefore held only briefly and
// never during I/O.
type source struct {
	mu      sync.Mutex // protects the fields below
	addr    string     // address of discovery, as host:port
	version int64      // version of the last list from addr, or of the cached list; unknownVersion if there is none
	active  *watch     // watch whose lists are applied; nil if none
	pending *watch     // watch that will replace the active one; nil if none
	overdue *watch     // watch whose response is late, and which becomes active if it comes; nil if none
	backoff backoff    // delay between a failed watch and the next one
}

// listFreshness is the result of comparing the version of a list with that of the last applied list.
type listFreshness uint8

const (
	fresh        listFreshness = iota // at least as new as the last list from the same address
	outdated                          // older than the last list from the same address
	incomparable                      // from an earlier address, whose versions are numbered independently
)

// currentAddr returns the address of discovery.
func (s *source) currentAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// setAddr sets the address. It reports whether the address changed and, if so, whether a watch is active or pending.
func (s *source) setAddr(addr string) (changed, watched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.addr {
		return false, false
	}
	s.addr, s.version = addr, unknownVersion
	return true, s.active != nil || s.pending != nil
}

// recordVersion compares the version of a list from addr with the last version, and records it if the list is fresh.
func (s *source) recordVersion(addr string, version int64) listFreshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr != s.addr {
		return incomparable
	}
	if version < s.version {
		return outdated
	}
	s.version = version
	return fresh
}

// addWatch adds and returns a new pending watch, which stop cancels. It stops the previous pending watch, if any.
func (s *source) addWatch(stop context.CancelFunc) *watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		s.pending.stop()
	}
	s.pending = &watch{addr: s.addr, since: s.version, stop: stop}
	return s.pending
}

// markOverdue makes a pending watch the overdue one, and stops the one that was. It reports whether a new watch must be
// started. If there is an active watch of the current address, none is needed, and w is stopped.
func (s *source) markOverdue(w *watch) (needsNewWatch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w != s.pending || w.hasResponse {
		return false
	}
	s.pending = nil
	if s.active != nil && s.active.addr == s.addr {
		w.stop()
		return false
	}
	if s.overdue != nil {
		s.overdue.stop()
	}
	s.overdue = w
	return true
}

// mayActivate reports whether w may become the active watch. An overdue one of an earlier address may not. The caller
// holds s.mu.
func (s *source) mayActivate(w *watch) bool {
	return w == s.pending || w == s.overdue && w.addr == s.addr
}

// activateWatch activates w if it is pending or overdue and meets the condition for it (see source). It then stops all
// other watches and resets the backoff. It reports whether w is the active watch now. All of that is done under one
// lock, since another watch may replace w at any time.
//
// It is called when discovery has responded to w, and for each list that is received on w. complete is set if there is
// a list and it is complete.
func (s *source) activateWatch(w *watch, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.hasResponse = true
	if s.mayActivate(w) && (complete || w.since != unknownVersion) {
		s.backoff.reset()
		s.stopAllBut(w)
		s.active, s.pending, s.overdue = w, nil, nil
	}
	return w == s.active
}

// removeWatch removes a watch that failed and reports whether a new watch must be started. A new one is needed if w was
// pending, even if there is an active watch, since that may be of an earlier address. It is not needed if w was active
// and another watch is pending, or if w was overdue or already replaced.
func (s *source) removeWatch(w *watch) (needsNewWatch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch w {
	case s.pending:
		s.pending = nil
		return true
	case s.active:
		s.active = nil
		return s.pending == nil
	case s.overdue:
		s.overdue = nil
	}
	return false
}

// stopWatches stops all watches.
func (s *source) stopWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAllBut(nil)
	s.active, s.pending, s.overdue = nil, nil, nil
}

// stopAllBut stops all watches except for one, which may be nil. The caller holds s.mu.
func (s *source) stopAllBut(kept *watch) {
	for _, w := range []*watch{s.active, s.pending, s.overdue} {
		if w != nil && w != kept {
			w.stop()
		}
	}
}

// isWatched reports whether the current address has an active or pending watch. An active watch of an earlier address
// does not count.
func (s *source) isWatched() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active != nil && s.active.addr == s.addr || s.pending != nil
}

// nextDelay records the failure of a watch and returns the delay before the next watch.
func (s *source) nextDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoff.next()
}
