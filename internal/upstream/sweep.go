package upstream

import "time"

const (
	// firstExamination is the idle time after which a sweep first examines a connection.
	firstExamination = 80 * time.Millisecond
	// examinationFactor is the idle time at an examination as a multiple of that at the previous one.
	examinationFactor = 2
	// excessIdleTimeout is the idle time after which a connection is closed if another one to its endpoint became idle
	// later. Each open connection takes capacity from its endpoint.
	excessIdleTimeout = 4 * time.Second
	// minSweepInterval is the minimum time between two sweeps.
	minSweepInterval = 50 * time.Millisecond
)

// firstExamination returns the idle time after which a sweep first examines a connection.
func (p *pool) firstExamination() time.Duration { return min(firstExamination, p.idleTimeout) }

// scheduleSweepLocked schedules a sweep, unless one is scheduled by then. The caller holds p.mu.
func (p *pool) scheduleSweepLocked(at time.Time) {
	if !p.sweepAt.IsZero() && !at.Add(minSweepInterval).Before(p.sweepAt) {
		return
	}
	p.sweepAt = at
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(time.Until(at), p.sweep)
		return
	}
	p.sweepTimer.Reset(time.Until(at))
}

// sweep examines the idle connections that are due, closes those that are not usable any more, and schedules the next
// sweep.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.unlockAndReport()
	p.sweepAt = time.Time{}
	now := time.Now()
	var next time.Time // time of the next examination; zero: none
	for _, group := range p.groups {
		p.sweepGroupLocked(group, now)
		for _, conn := range group.idle {
			if next.IsZero() || conn.examineAt.Before(next) {
				next = conn.examineAt
			}
		}
	}
	if earliest := now.Add(minSweepInterval); !next.IsZero() {
		if next.Before(earliest) {
			next = earliest
		}
		p.scheduleSweepLocked(next)
	}
}

// mayHaveBeenReplaced reports whether another process may have come up at the address of an endpoint. It examines all
// idle connections to the endpoint, due or not.
func (p *pool) mayHaveBeenReplaced(endpointID string) bool {
	p.closeEnded(endpointID)
	return p.losses.mayHaveBeenReplaced(endpointID, time.Now())
}

// closeEnded closes the idle connections to an endpoint that are not usable any more.
func (p *pool) closeEnded(endpointID string) {
	p.mu.Lock()
	defer p.unlockAndReport()
	group := p.groups[endpointID]
	if group == nil {
		return
	}
	for _, conn := range group.idle {
		conn.examineAt = time.Time{}
	}
	p.sweepGroupLocked(group, time.Now())
}

// sweepGroupLocked examines the idle connections of a group that are due. The caller holds p.mu.
func (p *pool) sweepGroupLocked(group *endpointGroup, now time.Time) {
	kept := group.idle[:0]
	for i, conn := range group.idle {
		isExcess := i < len(group.idle)-1 && now.Sub(conn.idleSince) >= excessIdleTimeout
		reason := closeReason("")
		if isExcess {
			reason = closeReasonOf(conn, closeExcess)
		} else {
			reason = p.sweepConnectionLocked(conn, now)
		}
		if reason != "" {
			p.closeLocked(conn, reason)
			continue
		}
		kept = append(kept, conn)
	}
	clear(group.idle[len(kept):]) // drops the references to the closed connections
	group.idle = kept
}

// sweepConnectionLocked examines an idle connection if that is due and sets the time of its next examination. It
// returns the reason for which the connection must be closed, or "". The caller holds p.mu.
func (p *pool) sweepConnectionLocked(conn *connection, now time.Time) closeReason {
	if now.Before(conn.examineAt) {
		return ""
	}
	idle := min(examinationFactor*now.Sub(conn.idleSince), p.idleTimeout)
	conn.examineAt = conn.idleSince.Add(idle)
	return p.examineLocked(conn)
}
