// Package membudget bounds the memory that clients and endpoints can make the agent use.
//
// A Budget is the only owner of the agent's accounts of such memory. It is divided into pools, one for each Kind, so
// that memory of one kind can't be used up by another: long bodies never keep short requests out. Whoever is about to
// allocate memory whose size a peer determines first reserves it with a Reservation, and releases the Reservation when
// the memory is no longer referenced. What can't be reserved is rejected, or stays unread in the socket.
//
// The memory limit of the Go runtime does not replace this: it is soft, and live memory can't be collected.
package membudget

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"ashshunt/internal/telemetry"
)

// Kind is what memory is used for.
type Kind uint8

// The kinds of memory. A Budget has a pool for each.
const (
	Connections Kind = iota // connections of clients that have not sent the head of a request yet
	Heads                   // heads of requests that are longer than usual
	Handlers                // connections of clients that net/http serves
	Requests                // requests in the request table, with their attempts
	Bodies                  // long bodies of requests
	Responses               // long bodies of responses
	kindCount
)

var kindNames = [kindCount]string{
	Connections: "connections",
	Heads:       "heads",
	Handlers:    "handlers",
	Requests:    "requests",
	Bodies:      "bodies",
	Responses:   "responses",
}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// The shares of the pools in the budget, in parts of poolShareParts. There are more requests than handlers, since a
// request whose client has left keeps its memory until its attempts have ended.
const (
	connectionsShare = 10
	headsShare       = 3
	handlersShare    = 8
	requestsShare    = 9
	bodiesShare      = 5
	responsesShare   = 5

	poolShareParts = connectionsShare + headsShare + handlersShare + requestsShare + bodiesShare + responsesShare
)

var poolShares = [kindCount]int64{
	Connections: connectionsShare,
	Heads:       headsShare,
	Handlers:    handlersShare,
	Requests:    requestsShare,
	Bodies:      bodiesShare,
	Responses:   responsesShare,
}

// shortageLogInterval is the minimum time between two log lines about shortages of the same kind.
const shortageLogInterval = time.Second

// Budget bounds the memory of all kinds. It is safe for concurrent use.
type Budget struct {
	pools [kindCount]*pool
	log   *slog.Logger

	mu       sync.Mutex // protects loggedAt
	loggedAt [kindCount]time.Time
}

// New returns a budget of the given number of bytes.
func New(bytes int64, log *slog.Logger) *Budget {
	b := &Budget{log: log}
	for kind := range kindCount {
		b.pools[kind] = newPool(bytes * poolShares[kind] / poolShareParts)
	}
	return b
}

// Limit returns the number of bytes of a pool.
func (b *Budget) Limit(kind Kind) int64 { return b.pools[kind].limit }

// Waiting returns the number of reservations that wait for memory of a kind.
func (b *Budget) Waiting(kind Kind) int { return int(b.pools[kind].waiting.Load()) }

// IsNearLimit reports whether more than half of a pool is reserved.
func (b *Budget) IsNearLimit(kind Kind) bool {
	return b.pools[kind].used.Load() > b.pools[kind].limit/2
}

// Used returns the number of bytes that are reserved in all pools.
func (b *Budget) Used() int64 {
	used := int64(0)
	for _, p := range b.pools {
		used += p.used.Load()
	}
	return used
}

// LogUsage logs the peak and the number of refused reservations of each pool that has been used.
func (b *Budget) LogUsage() {
	for kind, p := range b.pools {
		if peak := p.peak.Load(); peak > 0 {
			b.log.Info(telemetry.MsgMemoryUsage, "kind", Kind(kind).String(), "limit", p.limit, "used", p.used.Load(),
				"peak", peak, "refused", p.refused.Load())
		}
	}
}

// RecordRefused records, and logs, that a reservation without a wait has failed for good.
func (b *Budget) RecordRefused(kind Kind) {
	b.pools[kind].refused.Add(1)
	b.logShortage(kind)
}

// logShortage logs that memory of a kind could not be reserved at once, unless that was logged just before.
func (b *Budget) logShortage(kind Kind) {
	if b.startShortageLog(kind, time.Now()) {
		p := b.pools[kind]
		b.log.Warn(telemetry.MsgMemoryShort, "kind", kind.String(), "limit", p.limit, "used", p.used.Load(),
			"waiting", p.waiting.Load(), "refused", p.refused.Load())
	}
}

// startShortageLog reports whether a shortage may be logged now, and records that it is.
func (b *Budget) startShortageLog(kind Kind, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.loggedAt[kind]) < shortageLogInterval {
		return false
	}
	b.loggedAt[kind] = now
	return true
}

// ShortageError reports that memory could not be reserved.
type ShortageError struct{ Kind Kind }

// Error implements error.
func (e *ShortageError) Error() string { return fmt.Sprintf("no memory left for %s", e.Kind) }
