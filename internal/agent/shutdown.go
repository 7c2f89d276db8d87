package agent

import (
	"time"

	"ashshunt/balancer"
)

const (
	// After a shutdown was asked for, the process may be killed once the longest deadline, which counts as
	// maxShutdownWait at most, and killDelay are over. All requests are answered shutdownMargin before that.
	maxShutdownWait = 3 * time.Second
	killDelay       = 700 * time.Millisecond
	shutdownMargin  = 300 * time.Millisecond
)

// shutdownTimeout is how long after a shutdown was asked for all open requests are answered.
func shutdownTimeout(settings balancer.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxShutdownWait) + killDelay - shutdownMargin
}

// startShutdown has every open request answered within the shutdown's time.
func (l *eventLoop) startShutdown() {
	l.shutdownDeadline = l.clock.Now() + shutdownTimeout(l.settings)
	for _, r := range l.requests {
		l.setDeadlineGuard(r)
	}
}
