package discovery

import (
	"testing"
	"time"
)

// newTestSource returns a source at version 1, and a function that adds a watch and returns whether it was stopped.
func newTestSource() (s *source, addWatch func() (w *watch, stopped *bool)) {
	s = &source{addr: "a:1", version: 1, backoff: newBackoff(time.Second, time.Second, 1)}
	return s, func() (*watch, *bool) {
		stopped := new(bool)
		return s.addWatch(func() { *stopped = true }), stopped
	}
}

// A watch that replaces another one stops it once it is answered, or, after a change of the address, once the complete
// list has come.
func TestSourceReplacesWatch(t *testing.T) {
	s, addWatch := newTestSource()
	first, firstStopped := addWatch()
	if !s.activateWatch(first, false) {
		t.Error("a watch with a version is not activated by its answer")
	}
	if changed, watched := s.setAddr("b:1"); !changed || !watched || s.isWatched() {
		t.Errorf("changed %v, watched before %v, and now %v", changed, watched, s.isWatched())
	}
	second, _ := addWatch()
	if s.activateWatch(second, false) || *firstStopped {
		t.Error("a watch without a version is activated before the complete list")
	}
	if !s.activateWatch(second, true) || !*firstStopped || s.activateWatch(first, true) {
		t.Error("the complete list does not replace the watch before")
	}
	if !s.removeWatch(second) || s.isWatched() {
		t.Error("the last watch was removed and nothing is lost")
	}
}

// A watch that ends while another one is to replace it is no loss; a later pending watch stops an earlier one.
func TestSourcePendingWatch(t *testing.T) {
	s, addWatch := newTestSource()
	active, _ := addWatch()
	s.activateWatch(active, false)
	pending, pendingStopped := addWatch()
	latest, latestStopped := addWatch()
	if !*pendingStopped || s.removeWatch(pending) || s.removeWatch(active) || !s.removeWatch(latest) {
		t.Error("only the end of the latest watch leaves the source without one")
	}
	if *latestStopped {
		t.Error("the latest watch was stopped")
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
			t.Errorf("version %d of %s: freshness %d, want %d", tt.version, tt.addr, got, tt.want)
		}
	}
	s.setAddr("b:1")
	if s.version != unknownVersion || s.recordVersion("b:1", 0) != fresh {
		t.Error("the version of the old address is compared with the new one's")
	}
}
