package agent

import (
	"strconv"
	"time"

	"ashshunt/balancer"
)

const (
	// recentRequestRetention is how long a request that may have run is remembered. A client that sends an ID again
	// does so within the longest deadline.
	recentRequestRetention = time.Minute
	// recentRequestsPerMB bounds the remembered requests by the memory of the process. Each takes some 64 bytes.
	recentRequestsPerMB = 512
)

// The base and the size of a request ID as a number.
const (
	requestIDBase = 16
	requestIDBits = 64
)

// recentRequests remembers the finished requests that may have run and whose repeat could run again. An endpoint does
// not recognize such a repeat, and a client that has left may send its ID again as soon as the last attempt has ended.
// Requests are forgotten after recentRequestRetention, or when there are too many.
type recentRequests struct {
	capacity int
	byID     map[uint64]recentRequest
	order    []recentRequestKey // in the order of rememberedAt; those before first are forgotten
	first    int
}

// recentRequest is a finished request. Times are on the agent's clock.
type recentRequest struct {
	rememberedAt time.Duration
	safeUntil    time.Duration // end of the time in which a repeat may be forwarded; 0: never
}

type recentRequestKey struct {
	id           uint64
	rememberedAt time.Duration
}

func newRecentRequests(capacity int) recentRequests {
	return recentRequests{capacity: capacity, byID: map[uint64]recentRequest{}}
}

// mayForward reports whether a request with an ID that was sent before may be forwarded at now, and all its attempts
// until the end of its timeout.
func (r *recentRequests) mayForward(id string, now, timeout time.Duration) bool {
	r.forgetOld(now)
	previous, known := r.byID[requestNumber(id)]
	return !known || now+timeout <= previous.safeUntil
}

// remember records a finished request that may have run. safeUntil is the end of the time in which its repeat may be
// forwarded; of two times for the same ID the earlier one counts.
func (r *recentRequests) remember(id string, now, safeUntil time.Duration) {
	r.forgetOld(now)
	number := requestNumber(id)
	if previous, known := r.byID[number]; known {
		safeUntil = min(safeUntil, previous.safeUntil)
	}
	for len(r.byID) >= r.capacity && r.first < len(r.order) {
		r.forgetFirst()
	}
	r.byID[number] = recentRequest{rememberedAt: now, safeUntil: safeUntil}
	r.order = append(r.order, recentRequestKey{id: number, rememberedAt: now})
}

// forgetOld forgets the requests that have been remembered for recentRequestRetention.
func (r *recentRequests) forgetOld(now time.Duration) {
	for r.first < len(r.order) && now-r.order[r.first].rememberedAt >= recentRequestRetention {
		r.forgetFirst()
	}
}

// forgetFirst forgets the request that has been remembered for longest, unless it has been remembered again since.
func (r *recentRequests) forgetFirst() {
	key := r.order[r.first]
	if r.byID[key.id].rememberedAt == key.rememberedAt {
		delete(r.byID, key.id)
	}
	r.first++
	if r.first > len(r.order)/2 { // keeps the cost of a move constant for each request
		r.order = append(r.order[:0], r.order[r.first:]...)
		r.first = 0
	}
}

// requestNumber returns the number that an ID stands for. IDs are validated, so that none fails to parse; IDs that
// differ in the case of their letters only are the same.
func requestNumber(id string) uint64 {
	number, _ := strconv.ParseUint(id, requestIDBase, requestIDBits)
	return number
}

// repeatSafeUntil returns the end of the time in which a request of a class may be forwarded again although an attempt
// that started at firstAttemptAt may have run; 0 if there is none. Within a zone or a cell a repeat is recognized only
// if it is sent there, which is not known for a new request.
func repeatSafeUntil(class balancer.Class, firstAttemptAt time.Duration) time.Duration {
	if class.Idempotency == balancer.IdempotentWithKey && class.DedupScope == balancer.DedupEverywhere {
		return firstAttemptAt + class.DedupWindow
	}
	return 0
}
