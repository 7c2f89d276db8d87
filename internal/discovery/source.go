package discovery

import (
	"context"
	"sync"
	"time"
)

// unknownVersion is the version of an address that has sent no list yet. Another discovery may number its versions
// differently, so none is carried over.
const unknownVersion = -1

// source is where lists come from: the address of discovery, the version of its last list, and the watches. A new
// watch is pending until it is active: one that continues from a version, from its response on; one without a version,
// from its complete list on. It then stops its predecessor.
//
// It is safe for concurrent use; the event loop waits for its mutex, which is therefore held for moments only.
type source struct {
	mu      sync.Mutex // protects what follows
	addr    string     // host:port of discovery
	version int64      // of the list that was last applied from addr, or unknownVersion
	active  *watch     // the one that lists are taken from; nil: none
	pending *watch     // the one that will replace it once it is active; nil: none
	backoff backoff    // between watches that end
}

// listFreshness is how the version of a list relates to that of the last one that was applied.
type listFreshness uint8

const (
	fresh        listFreshness = iota
	outdated                   // older than the last one of the same address
	incomparable               // from an address that is no longer discovery's, which numbers its versions by itself
)

// currentAddr returns discovery's address.
func (s *source) currentAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// setAddr changes the address and reports whether it is another one, and whether a watch is active or pending.
func (s *source) setAddr(addr string) (changed, watched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.addr {
		return false, false
	}
	s.addr, s.version = addr, unknownVersion
	return true, s.active != nil || s.pending != nil
}

// recordVersion records the version of a list from addr that is about to be applied, unless it is outdated.
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

// addWatch makes a new watch the pending one and stops the one that was.
func (s *source) addWatch(stop context.CancelFunc) *watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		s.pending.stop()
	}
	s.pending = &watch{addr: s.addr, since: s.version, stop: stop}
	return s.pending
}

// activateWatch is called when a watch has been answered, and when it has brought a list, which may be complete. It
// activates a pending watch if that is enough for it, and stops its predecessor. It reports whether w is the active
// watch now: both happen under one lock, since another watch may replace w at any time.
func (s *source) activateWatch(w *watch, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w == s.pending && (complete || w.since != unknownVersion) {
		s.backoff.reset()
		if s.active != nil {
			s.active.stop()
		}
		s.active, s.pending = w, nil
	}
	return w == s.active
}

// removeWatch removes a watch that ended by itself and reports whether another one has to be started. That is so after
// a pending watch, even beside an active one, which may be of an earlier address. It is not so after an active watch
// that a pending one is about to replace, nor after one that was replaced already.
func (s *source) removeWatch(w *watch) (needsRestart bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch w {
	case s.pending:
		s.pending = nil
		return true
	case s.active:
		s.active = nil
		return s.pending == nil
	}
	return false
}

// stopWatches stops all watches.
func (s *source) stopWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range []*watch{s.active, s.pending} {
		if w != nil {
			w.stop()
		}
	}
	s.active, s.pending = nil, nil
}

// isWatched reports whether the current address is watched, or about to be. An active watch of an earlier address does
// not count.
func (s *source) isWatched() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active != nil && s.active.addr == s.addr || s.pending != nil
}

// nextDelay returns the delay before a watch that ended is started again. It counts the failure.
func (s *source) nextDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoff.next()
}
