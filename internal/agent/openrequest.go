package agent

import (
	"context"
	"time"

	"ashshunt/internal/frontend"
	"ashshunt/internal/upstream"
)

// requestPhase is the state of a request: phaseOpen, then either phaseAnswered or phaseAbandoned, then phaseRemoved.
// Only requestTable changes the phase, on the event loop's goroutine.
type requestPhase uint8

const (
	// phaseOpen means that the request has no answer. Its deadline guard is set.
	phaseOpen requestPhase = iota
	// phaseAnswered means that the request's only response is sent to its client. No further attempt is sent, but
	// attempts in flight continue, unless the deadline guard or the decision module cancels them, so that the module
	// gets their outcomes.
	phaseAnswered
	// phaseAbandoned is like phaseAnswered but without a response, since the client has disconnected.
	phaseAbandoned
	// phaseRemoved means that the request is finished and has no attempt in flight. It is not in the table, and its ID
	// may be used again.
	phaseRemoved
)

// trackedRequest is a submitted request with the state of its attempts. It is in the requestTable until phaseRemoved:
// after its final answer it stays there while attempts are in flight.
type trackedRequest struct {
	// These fields are immutable. The goroutines of attempts read upstream.
	inbound        *frontend.Request  // the request as the client sent it
	upstream       *upstream.Request  // the request as attempts send it
	cancelLifetime context.CancelFunc // cancels upstream.Lifetime when the request is finished

	// These fields are used by the event loop's goroutine only.
	phase              requestPhase
	deadlineGuard      *timer               // nil if the request is finished
	attemptsUntil      time.Duration        // deadline of attempts, on the agent's clock; 0 before setRequestTimeout
	attemptCancels     []context.CancelFunc // by attempt number; nil for a finished attempt
	inFlight           int                  // number of unfinished attempts
	finishedMayHaveRun bool                 // a finished attempt may have run, according to its result
	firstAttemptAt     time.Duration        // start of the first attempt, on the agent's clock; 0 before
}

func newTrackedRequest(inbound *frontend.Request) *trackedRequest {
	lifetime, cancelLifetime := context.WithCancel(context.Background())
	return &trackedRequest{
		inbound: inbound,
		upstream: &upstream.Request{
			ID:             inbound.Event.ID,
			IdempotencyKey: inbound.IdempotencyKey,
			Method:         inbound.Method,
			Host:           inbound.Host,
			Target:         inbound.Target,
			Body:           inbound.Body,
			Lifetime:       lifetime,
			Validate:       inbound.Validate,
			Memory:         inbound.Memory,
		},
		cancelLifetime: cancelLifetime,
	}
}

func (r *trackedRequest) id() string { return r.inbound.Event.ID }

// isFinished reports whether the request is answered or abandoned. Attempts may still be in flight.
func (r *trackedRequest) isFinished() bool { return r.phase != phaseOpen }

// attemptCount returns the number of attempts so far, including those that were never sent.
func (r *trackedRequest) attemptCount() int { return len(r.attemptCancels) }

// mayHaveRun reports whether an attempt may have run at an endpoint or is in flight.
func (r *trackedRequest) mayHaveRun() bool { return r.finishedMayHaveRun || r.inFlight > 0 }

// addAttempt adds an attempt in flight that starts at now, and returns its number.
func (r *trackedRequest) addAttempt(now time.Duration, cancel context.CancelFunc) (number int) {
	if len(r.attemptCancels) == 0 {
		r.firstAttemptAt = now
	}
	r.attemptCancels = append(r.attemptCancels, cancel)
	r.inFlight++
	return len(r.attemptCancels) - 1
}

// finishAttempt records the end of an attempt and releases its context. mayHaveRun says whether the attempt may have
// run at its endpoint.
func (r *trackedRequest) finishAttempt(number int, mayHaveRun bool) {
	r.cancelAttempt(number)
	r.attemptCancels[number] = nil
	r.inFlight--
	r.finishedMayHaveRun = r.finishedMayHaveRun || mayHaveRun
}

// cancelAttempt cancels an attempt if it is in flight. It ignores invalid numbers, which only an error of the decision
// module can cause.
func (r *trackedRequest) cancelAttempt(number int) {
	if number < 0 || number >= len(r.attemptCancels) {
		return
	}
	if cancel := r.attemptCancels[number]; cancel != nil {
		cancel()
	}
}

// cancelAttempts cancels all attempts in flight.
func (r *trackedRequest) cancelAttempts() {
	for number := range r.attemptCancels {
		r.cancelAttempt(number)
	}
}

// requestTable holds each request from its submission until it is finished and has no attempt in flight.
type requestTable struct {
	byID      map[string]*trackedRequest
	openCount int                   // number of requests in phaseOpen
	onRemoved func(*trackedRequest) // called for each request that is removed
}

func newRequestTable(onRemoved func(*trackedRequest)) requestTable {
	return requestTable{byID: map[string]*trackedRequest{}, onRemoved: onRemoved}
}

// find returns the request with an ID, or nil.
func (t *requestTable) find(id string) *trackedRequest { return t.byID[id] }

// findOpen returns the request with an ID if it is in phaseOpen, or nil.
func (t *requestTable) findOpen(id string) *trackedRequest {
	if r := t.byID[id]; r != nil && !r.isFinished() {
		return r
	}
	return nil
}

// add adds a request in phaseOpen. The table must not contain another request with its ID.
func (t *requestTable) add(r *trackedRequest) {
	t.byID[r.id()] = r
	t.openCount++
}

// answer moves a request to phaseAnswered and responds to its client.
func (t *requestTable) answer(r *trackedRequest, response frontend.Response) {
	r.inbound.Respond(response)
	t.finish(r, phaseAnswered)
}

// abandon moves a request to phaseAbandoned.
func (t *requestTable) abandon(r *trackedRequest) { t.finish(r, phaseAbandoned) }

func (t *requestTable) finish(r *trackedRequest, phase requestPhase) {
	r.phase = phase
	r.cancelLifetime()
	t.openCount--
	t.removeIfComplete(r)
}

// removeIfComplete removes a request from the table if it is finished and has no attempt in flight.
func (t *requestTable) removeIfComplete(r *trackedRequest) {
	if !r.isFinished() || r.inFlight > 0 || r.phase == phaseRemoved {
		return
	}
	r.phase = phaseRemoved
	delete(t.byID, r.id())
	t.onRemoved(r)
}
