package discovery

import (
	"testing"
	"time"
)

// newTestSource returns a source with version 1, and a function that adds a watch and returns it with a flag that is
// set when the watch is stopped.
func newTestSource() (s *source, addWatch func() (w *watch, stopped *bool)) {
	s = &source{addr: "a:1", version: 1, backoff: newBackoff(time.Second, time.Second, 1)}
	return s, func() (*watch, *bool) {
		stopped := new(bool)
		return s.addWatch(func() { *stopped = true }), stopped
	}
}

// A new watch replaces and stops the active one when discovery responds to it or, after a change of the address, when
// its complete list is received.
func TestSourceReplacesWatch(t *testing.T) {
	s, addWatch := newTestSource()
	first, firstStopped := addWatch()
	if !s.activateWatch(first, false) {
		t.Error("watch that continues from a version, after discovery responded: got inactive, want active")
	}
	if changed, watched := s.setAddr("b:1"); !changed || !watched || s.isWatched() {
		t.Errorf("after setAddr: got changed %v, watched before %v, watched now %v, want true, true, false",
			changed, watched, s.isWatched())
	}
	second, _ := addWatch()
	if s.activateWatch(second, false) || *firstStopped {
		t.Error("watch without a version, before its complete list: want it pending and the first watch active")
	}
	if !s.activateWatch(second, true) || !*firstStopped || s.activateWatch(first, true) {
		t.Error("after the complete list of the second watch: want it active and the first watch stopped")
	}
	if !s.removeWatch(second) || s.isWatched() {
		t.Error("after the removal of the only watch: want a new watch needed, and no watch active or pending")
	}
}

// If an active watch fails while another one is pending, no further watch is needed. A new pending watch replaces and
// stops the previous pending one.
func TestSourcePendingWatch(t *testing.T) {
	s, addWatch := newTestSource()
	active, _ := addWatch()
	s.activateWatch(active, false)
	pending, pendingStopped := addWatch()
	latest, latestStopped := addWatch()
	if !*pendingStopped || s.removeWatch(pending) || s.removeWatch(active) || !s.removeWatch(latest) {
		t.Error("want the first pending watch stopped, and a new watch needed only after the latest one failed")
	}
	if *latestStopped {
		t.Error("latest watch: got stopped, want running")
	}
}

func TestSourceRecordsVersion(t *testing.T) {
	s, _ := newTestSource()
	for _, tt := range []struct {
		addr    string
		version int64
		want    listFreshness
	}{
		{"a:1", 2, fresh},
		{"a:1", 2, fresh},
		{"a:1", 1, outdated},
		{"b:1", 9, incomparable},
	} {
		if got := s.recordVersion(tt.addr, tt.version); got != tt.want {
			t.Errorf("version %d of %s: got freshness %d, want %d", tt.version, tt.addr, got, tt.want)
		}
	}
	s.setAddr("b:1")
	if s.version != unknownVersion || s.recordVersion("b:1", 0) != fresh {
		t.Error("after a change of the address: version was not reset, want unknownVersion and any list fresh")
	}
}
