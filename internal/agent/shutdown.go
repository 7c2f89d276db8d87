package agent

import (
	"time"

	"ashshunt/balancer"
)

const (
	// maxClassDeadline limits how long a shutdown waits for the longest class deadline.
	maxClassDeadline = 3 * time.Second
	// killDelay is the time from the end of that wait until the process may be killed.
	killDelay = 700 * time.Millisecond
	// shutdownMargin is the time between the answers to the last open requests and the earliest kill.
	shutdownMargin = 300 * time.Millisecond
)

// shutdownTimeout returns the time after the start of a shutdown within which all open requests are answered.
func shutdownTimeout(settings balancer.Settings) time.Duration {
	longestDeadline := time.Duration(0)
	for _, class := range settings.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	return min(longestDeadline, maxClassDeadline) + killDelay - shutdownMargin
}

// handleShutdownStarted sets the shutdown deadline and moves later deadline guards of open requests forward to it.
func (l *eventLoop) handleShutdownStarted() {
	l.shutdownDeadline = l.clock.Now() + shutdownTimeout(l.settings)
	for _, r := range l.requests.byID {
		l.setDeadlineGuard(r)
	}
}

func (l *eventLoop) isShuttingDown() bool { return l.shutdownDeadline > 0 }

// isPastShutdownDeadline reports whether the shutdown deadline has passed. New requests are then rejected.
func (l *eventLoop) isPastShutdownDeadline() bool {
	return l.isShuttingDown() && l.clock.Now() >= l.shutdownDeadline
}
