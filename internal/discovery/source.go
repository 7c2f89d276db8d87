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
// watch is pending until it brings lists; it then becomes the active one and stops its predecessor. It is safe for
// concurrent use; the event loop waits for its mutex, which is therefore held for moments only.
type source struct {
	mu      sync.Mutex // protects what follows
	addr    string     // host:port of discovery
	version int64      // of the list that was last applied from addr, or unknownVersion
	active  *watch     // the one that lists are taken from; nil: none
	pending *watch     // the one that will replace it; nil: none
	backoff backoff    // between watches that end
}

// listOrigin is how a list relates to the ones before it.
type listOrigin uint8

const (
	upToDate  listOrigin = iota
	outdated             // older than the last one of the same address
	otherAddr            // of an address that is no longer discovery's; its version can't be compared
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
func (s *source) recordVersion(addr string, version int64) listOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr != s.addr {
		return otherAddr
	}
	if version < s.version {
		return outdated
	}
	s.version = version
	return upToDate
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

// activateWatch reports whether lists are taken from a watch that has been answered, or that has brought a list. It
// activates a pending watch and stops its predecessor; one without a version has to bring the complete list first.
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

// removeWatch removes a watch that ended by itself and reports whether that leaves the client without a watch: a
// pending one replaces an active one anyway.
func (s *source) removeWatch(w *watch) (lost bool) {
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

// nextDelay returns the delay before a watch that ended is started again.
func (s *source) nextDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoff.next()
}
