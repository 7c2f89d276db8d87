package upstream

import (
	"maps"
	"sync"
	"time"

	"ashshunt/balancer"
)

// connectionLosses records when connections to endpoints were lost: closed or reset by the endpoint, or refused. The
// process of such an endpoint may have ended, and another one may have come up at its address before a list says so. It
// is safe for concurrent use.
type connectionLosses struct {
	mu     sync.Mutex
	lostAt map[string]time.Time // latest loss by endpoint ID, those within balancer.MaxNoticeDelay; protected by mu
}

func newConnectionLosses() *connectionLosses {
	return &connectionLosses{lostAt: map[string]time.Time{}}
}

// record records the loss of a connection, and forgets those that a list would have explained by now.
func (l *connectionLosses) record(endpointID string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.lostAt, func(_ string, at time.Time) bool { return !isRecentLoss(at, now) })
	l.lostAt[endpointID] = now
}

// mayHaveBeenReplaced reports whether another process may have come up at the address of an endpoint.
func (l *connectionLosses) mayHaveBeenReplaced(endpointID string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.lostAt[endpointID]
	return ok && isRecentLoss(at, now)
}

// forget forgets the loss of an endpoint, since a list has explained it.
func (l *connectionLosses) forget(endpointID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lostAt, endpointID)
}

// isRecentLoss reports whether a list need not have explained a loss yet.
func isRecentLoss(at, now time.Time) bool { return now.Sub(at) < balancer.MaxNoticeDelay }
