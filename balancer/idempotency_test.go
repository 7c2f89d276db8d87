package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ashshunt/balancer"
)

// A request gets at most Settings.MaxAttempts attempts.
func TestAttemptLimit(t *testing.T) {
	s := settings()
	s.MaxAttempts = 3
	h := newHarness(t, s, 3, endpoints(6))
	h.request("q", idempotent)
	var actions []balancer.Action
	for attempts := 0; attempts < 6 && finalAnswer("q", actions) == ""; attempts++ {
		actions = append(actions, h.outcomeAfter("q", balancer.ServerError, ms)...)
		actions = append(actions, h.advance(150*ms)...)
	}
	if got := finalAnswer("q", actions); len(h.sent["q"]) != 3 || got != "fail" {
		t.Errorf("got attempts %v and answer %q, want 3 attempts and one Fail", h.sent["q"], got)
	}
}

// A request with an idempotency key that may have run is repeated only within its deduplication scope.
func TestDedupScope(t *testing.T) {
	zone := map[string]int{"a": 0, "b": 0, "c": 1, "d": 1, "e": 2, "f": 2} // cells are numbered like zones
	for seed := range uint64(40) {
		for _, class := range []int{keyedInZone, keyedInCell} {
			h := newHarness(t, settings(), seed, endpoints(6))
			h.request("q", class)
			h.outcomeAfter("q", balancer.ServerError, 5*ms)
			h.advance(200 * ms)
			if sent := h.sent["q"]; len(sent) != 2 || zone[sent[0]] != zone[sent[1]] {
				t.Errorf("seed %d, class %d: got attempts %v, want 2 in one scope", seed, class, sent)
			}
		}
	}
}

// After a connection has broken, another process that does not know the keys may have come up at the address. A request
// that may have run is not repeated there until a list names the endpoint again, or would have named another one.
func TestNoRepeatAtAddressThatMayHaveBeenTakenOver(t *testing.T) {
	s := settings()
	for i := range s.Classes {
		s.Classes[i].DedupWindow, s.Classes[i].Deadline = 20*time.Second, 30*time.Second
	}
	for _, tt := range []struct {
		name       string
		class      int
		result     balancer.Result
		between    func(*harness)
		wantRepeat bool
	}{
		{"reset", keyedInCell, balancer.Reset, func(*harness) {}, false},
		{"reset in a zone", keyedInZone, balancer.Reset, func(*harness) {}, false},
		{"reset, all endpoints know the key", keyedEverywhere, balancer.Reset, func(*harness) {}, true},
		{"server error", keyedInCell, balancer.ServerError, func(*harness) {}, true},
		{"listed again", keyedInCell, balancer.Reset, func(h *harness) {
			h.advance(ms)
			h.step(balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: endpoints(1)})
		}, true},
		{"lost while idle", keyedInCell, balancer.ServerError, loseConnection, false},
		{"lost while idle, all endpoints know the key", keyedEverywhere, balancer.ServerError, loseConnection, true},
		{"lost while idle, later than any notice", keyedInCell, balancer.ServerError, func(h *harness) {
			loseConnection(h)
			h.advance(7 * time.Second)
		}, true},
		{"another endpoint's lost while idle", keyedInCell, balancer.ServerError, func(h *harness) {
			h.step(balancer.ConnectionLost{Endpoint: "unknown"})
		}, true},
		{"later than any notice", keyedInCell, balancer.Reset, func(h *harness) { h.advance(7 * time.Second) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, s, 1, endpoints(1))
			breakConnection(h, tt.result)
			tt.between(h)
			h.step(balancer.Request{ID: "q", Class: tt.class, Timeout: 30 * time.Second})
			h.outcomeAfter("q", balancer.ServerError, ms) // may have run
			h.advance(time.Second)
			if repeated := len(h.sent["q"]) > 1; repeated != tt.wantRepeat {
				t.Errorf("got attempts %v, want a repeat: %v", h.sent["q"], tt.wantRepeat)
			}
		})
	}
}

// breakConnection ends the attempt of a request with a result.
func breakConnection(h *harness, result balancer.Result) {
	h.step(balancer.Request{ID: "broken", Class: notIdempotent, Timeout: 30 * time.Second})
	h.outcomeAfter("broken", result, ms)
	h.advance(ms)
}

// loseConnection reports that the only endpoint has closed an idle connection.
func loseConnection(h *harness) { h.step(balancer.ConnectionLost{Endpoint: "a"}) }

// An attempt that was withheld never ran. It is retried at another endpoint of the deduplication scope, if there is
// one, and not at its own.
func TestWithheldAttemptIsRetriedElsewhere(t *testing.T) {
	for seed := range uint64(20) {
		h := newHarness(t, settings(), seed, endpoints(2)) // in one cell
		h.request("q", keyedInCell)
		h.outcomeAfter("q", balancer.ServerError, ms)
		h.advance(200 * ms)
		actions := h.outcomeAfter("q", balancer.Withheld, ms)
		actions = append(actions, h.advance(200*ms)...)
		verifyNotSentAgain(t, h.sent["q"], 1)
		if answer := finalAnswer("q", actions); answer == "reject" {
			t.Errorf("seed %d: got a rejection of a request that may have run", seed)
		}
	}
}

// verifyNotSentAgain verifies that no attempt after the one with the given number was sent to the same endpoint.
func verifyNotSentAgain(t *testing.T, sent []string, number int) {
	t.Helper()
	if len(sent) <= number || slices.Contains(sent[number+1:], sent[number]) {
		t.Errorf("got attempts %v, want none at the endpoint of attempt %d after that", sent, number)
	}
}

// A repeat says that it depends on the process of its endpoint if not all endpoints would drop it.
func TestRepeatsDependOnProcess(t *testing.T) {
	for class, want := range map[int]bool{
		idempotent: false, keyedEverywhere: false, keyedInZone: true, keyedInCell: true,
	} {
		h := newHarness(t, settings(), 1, endpoints(4))
		actions := h.request("q", class)
		h.outcomeAfter("q", balancer.ServerError, 10*ms)
		sends := sendsOf(append(actions, h.advance(200*ms)...))
		if len(sends) != 2 || sends[0].SameProcess || sends[1].SameProcess != want {
			t.Errorf("class %d: got %+v, want two attempts, the second one with SameProcess %v", class, sends, want)
		}
	}
}

// A request with an idempotency key that may have run is repeated only within its deduplication window.
// Establishing a connection may take up to the connect timeout, so that the repeat must be sent that much
// earlier.
func TestDedupWindow(t *testing.T) {
	tests := []struct {
		name           string
		connectTimeout time.Duration
		failedAfter    time.Duration
		want           string
	}{
		{"after the window", 0, 300 * ms, "fail"},
		{"in time for a connection", 100 * ms, 100 * ms, ""},
		{"too late for a connection", 100 * ms, 200 * ms, "fail"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.ConnectTimeout = tt.connectTimeout
			h := newHarness(t, s, 1, endpoints(6))
			h.request("q", keyedEverywhere)
			actions := h.outcomeAfter("q", balancer.ServerError, tt.failedAfter)
			if got := finalAnswer("q", actions); got != tt.want {
				t.Errorf("error after %v: got answer %q, want %q", tt.failedAfter, got, tt.want)
			}
		})
	}
}

// An attempt that never ran sets neither the deduplication scope nor the window.
func TestNeverRanAttemptSetsNoDedupScope(t *testing.T) {
	h := newHarness(t, settings(), 1, endpoints(6))
	h.request("q", keyedInZone)
	h.outcomeAfter("q", balancer.ConnectFailed, 400*ms)
	h.advance(200 * ms)
	if len(h.sent["q"]) != 2 {
		t.Errorf("got attempts %v, want 2", h.sent["q"])
	}
}

// If rejected attempts may have run, a non-idempotent request is neither retried nor rejected after one.
func TestRejectedMayHaveRun(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		t.Run(fmt.Sprint("may have run: ", mayHaveRun), func(t *testing.T) {
			s := settings()
			s.RejectedMayHaveRun = mayHaveRun
			h := newHarness(t, s, 1, endpoints(4))
			h.request("q", notIdempotent)
			actions := h.outcome("q", balancer.Rejected, ms)
			actions = append(actions, h.advance(400*ms)...)
			if retried := len(h.sent["q"]) == 2; retried == mayHaveRun {
				t.Errorf("got retried: %v, want a retry only if the attempt never ran", retried)
			}
			if got := finalAnswer("q", actions); mayHaveRun && got != "fail" {
				t.Errorf("got answer %q, want fail", got)
			}
		})
	}
}

// A repeat of a request with an idempotency key carries the end of the deduplication window in NotAfter. A
// first attempt has no such bound.
func TestRepeatsCarryDedupWindowEnd(t *testing.T) {
	tests := []struct {
		name      string
		class     int
		isBounded bool
	}{
		{"idempotent", idempotent, false},
		{"deduplicated everywhere", keyedEverywhere, true},
		{"deduplicated in a zone", keyedInZone, true},
		{"deduplicated in a cell", keyedInCell, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, settings(), 1, endpoints(4))
			sentAt := h.now
			actions := h.request("q", tt.class)
			h.outcomeAfter("q", balancer.Reset, 10*ms)
			actions = append(actions, h.advance(200*ms)...)
			var bounds []time.Duration
			for _, send := range sendsOf(actions) {
				bounds = append(bounds, send.NotAfter)
			}
			want := time.Duration(0)
			if tt.isBounded {
				want = sentAt + settings().Classes[tt.class].DedupWindow
			}
			if len(bounds) != 2 || bounds[0] != 0 || bounds[1] != want {
				t.Errorf("got NotAfter %v, want 0 and %v", bounds, want)
			}
		})
	}
}
