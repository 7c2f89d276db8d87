package discovery

import "time"

const maxListing = 8 << 20 // bytes of one list or line

const (
	// watchSilence ends a watch that brings nothing for so long. An empty line is due every 2 s, and a machine
	// that was cut off says nothing at all. What a silent watch misses counts as told 6 s after it fell silent:
	// by then the next one must have brought it, even if that one is silent from its start.
	watchSilence = 2500 * time.Millisecond
	// callTime is the longest that a call may take to be answered. Where discovery must be asked, calls wait in turn,
	// for turnTime at the most before they are turned away.
	callTime = 2500 * time.Millisecond
	turnTime = 2 * time.Second
	// toldWithin is when a change counts as told at the latest after discovery had it and could be reached, whatever
	// became of the calls before: a watch that fell silent or a call that hung, the wait after it and the next
	// call's turn fit in it. One that was refused tells that discovery could not be reached until then.
	toldWithin        = 6 * time.Second
	PollSpread        = toldWithin - max(watchSilence, callTime) - turnTime
	RefusedPollSpread = toldWithin - turnTime
	// resumeWithin is the longest wait before an unasked watch, whose calls end on this machine: two silent ones
	// in a row, the waits after them and the next fit in toldWithin.
	resumeWithin = (toldWithin - watchSilence - callTime) / 4
)

// minWait is the least that the unit and the bound of the wait between two kept watches may be.
const minWait = 10 * time.Millisecond

// maxDoubling bounds the growth of the wait before an unasked watch: all agents of a machine room lose theirs at
// once.
const maxDoubling = 3
