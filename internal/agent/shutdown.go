package agent

import (
	"time"

	"ashshunt/balancer"
)

const (
	// maxClassDeadline bounds how long a shutdown waits for the longest deadline of a class.
	maxClassDeadline = 3 * time.Second
	// killDelay is how long after that wait the process may be killed.
	killDelay = 700 * time.Millisecond
	// shutdownMargin is how long before the kill all requests are answered.
	shutdownMargin = 300 * time.Millisecond
)

// shutdownTimeout is how long after the signal to stop all open requests are answered.
func shutdownTimeout(settings balancer.Settings) time.Duration {
	longestDeadline := time.Duration(0)
	for _, class := range settings.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	return min(longestDeadline, maxClassDeadline) + killDelay - shutdownMargin
}

// handleShutdownStarted has every open request answered within the shutdown's time.
func (l *eventLoop) handleShutdownStarted() {
	l.shutdownDeadline = l.clock.Now() + shutdownTimeout(l.settings)
	for _, r := range l.requests.byID {
		l.setDeadlineGuard(r)
	}
}

func (l *eventLoop) isShuttingDown() bool { return l.shutdownDeadline > 0 }

// isPastShutdownDeadline reports whether all requests have to be answered by now: one that comes now is rejected.
func (l *eventLoop) isPastShutdownDeadline() bool {
	return l.isShuttingDown() && l.clock.Now() >= l.shutdownDeadline
}
