package agent

import (
	"context"
	"time"

	"ashshunt/internal/frontend"
	"ashshunt/internal/upstream"
)

// requestPhase is where a request is in its life. The phases follow one another; a request passes through either
// phaseAnswered or phaseAbandoned. requestTable alone changes the phase, on the event loop's goroutine.
type requestPhase uint8

const (
	// phaseOpen: the request still waits for its answer. Its deadline guard is set.
	phaseOpen requestPhase = iota
	// phaseAnswered: the request has got its only response. Nothing more goes out for it, but attempts that were sent
	// run on, so that their outcome is known.
	phaseAnswered
	// phaseAbandoned: as phaseAnswered, but without a response, since the client has disconnected.
	phaseAbandoned
	// phaseRemoved: the request is over and no attempt is in flight. It is not in the table, and its ID is free.
	phaseRemoved
)

// openRequest is a request that was submitted, with its attempts.
type openRequest struct {
	// Set once; the goroutines of attempts read upstream too.
	inbound        *frontend.Request  // as the client sent it
	upstream       *upstream.Request  // as the attempts send it
	cancelLifetime context.CancelFunc // ends upstream.Lifetime, which tells attempts that the request is over

	// Used by the event loop's goroutine alone.
	phase              requestPhase
	deadlineGuard      *timer               // nil once the request is over
	attemptsUntil      time.Duration        // on the agent's clock: attempts end then; 0 until the module gets the request
	attemptCancels     []context.CancelFunc // by attempt number; nil once the attempt has ended
	inFlight           int                  // attempts that have not ended
	finishedMayHaveRun bool                 // by the outcomes of the attempts that have ended
}

func newOpenRequest(inbound *frontend.Request) *openRequest {
	lifetime, cancelLifetime := context.WithCancel(context.Background())
	return &openRequest{
		inbound: inbound,
		upstream: &upstream.Request{
			ID:             inbound.Event.ID,
			IdempotencyKey: inbound.IdempotencyKey,
			Method:         inbound.Method,
			Host:           inbound.Host,
			Target:         inbound.Target,
			Body:           inbound.Body,
			Lifetime:       lifetime,
			ClientGone:     inbound.ClientGone,
		},
		cancelLifetime: cancelLifetime,
	}
}

func (r *openRequest) id() string { return r.inbound.Event.ID }

// isFinished reports whether the request was answered or abandoned.
func (r *openRequest) isFinished() bool { return r.phase != phaseOpen }

// attemptCount is how many attemptCount the request has had, including those that were never sent.
func (r *openRequest) attemptCount() int { return len(r.attemptCancels) }

// mayHaveRun reports whether some attempt may have run, or may still.
func (r *openRequest) mayHaveRun() bool { return r.finishedMayHaveRun || r.inFlight > 0 }

// addAttempt notes an attempt and returns its number.
func (r *openRequest) addAttempt(cancel context.CancelFunc) (number int) {
	r.attemptCancels = append(r.attemptCancels, cancel)
	r.inFlight++
	return len(r.attemptCancels) - 1
}

// finishAttempt notes the end of an attempt.
func (r *openRequest) finishAttempt(number int, mayHaveRun bool) {
	r.cancelAttempt(number)
	r.attemptCancels[number] = nil
	r.inFlight--
	r.finishedMayHaveRun = r.finishedMayHaveRun || mayHaveRun
}

// cancelAttempt cancels an attempt if it is in flight. It ignores a number that no attempt has, which can only come
// from the decision module.
func (r *openRequest) cancelAttempt(number int) {
	if number < 0 || number >= len(r.attemptCancels) {
		return
	}
	if cancel := r.attemptCancels[number]; cancel != nil {
		cancel()
	}
}

// cancelAttempts cancels all attempts in flight.
func (r *openRequest) cancelAttempts() {
	for number := range r.attemptCancels {
		r.cancelAttempt(number)
	}
}

// requestTable holds each request from its submission until it is over and no attempt for it is in flight.
type requestTable struct {
	byID      map[string]*openRequest
	openCount int // the number of requests in phaseOpen
}

func newRequestTable() requestTable { return requestTable{byID: map[string]*openRequest{}} }

// find returns the request with an ID; nil if there is none.
func (t *requestTable) find(id string) *openRequest { return t.byID[id] }

// findOpen returns the request with an ID if it is in phaseOpen; nil otherwise.
func (t *requestTable) findOpen(id string) *openRequest {
	if r := t.byID[id]; r != nil && !r.isFinished() {
		return r
	}
	return nil
}

// add adds a request, in phaseOpen. No request in the table has its ID.
func (t *requestTable) add(r *openRequest) {
	t.byID[r.id()] = r
	t.openCount++
}

// answer moves a request to phaseAnswered and responds to its client.
func (t *requestTable) answer(r *openRequest, response frontend.Response) {
	r.inbound.Respond(response)
	t.finish(r, phaseAnswered)
}

// abandon moves a request to phaseAbandoned.
func (t *requestTable) abandon(r *openRequest) { t.finish(r, phaseAbandoned) }

func (t *requestTable) finish(r *openRequest, phase requestPhase) {
	r.phase = phase
	r.cancelLifetime()
	t.openCount--
	t.removeIfComplete(r)
}

// removeIfComplete moves a request to phaseRemoved if it is over and has no attempt in flight.
func (t *requestTable) removeIfComplete(r *openRequest) {
	if !r.isFinished() || r.inFlight > 0 || r.phase == phaseRemoved {
		return
	}
	r.phase = phaseRemoved
	delete(t.byID, r.id())
}
