package main

import (
	"log/slog"
	"os"
	"time"

	"ashshunt/internal/agent"
	"ashshunt/internal/config"
	"ashshunt/internal/telemetry"
)

// Failed reloads are retried with exponential backoff. Each retry multiplies the backoff by reloadBackoffMultiplier,
// from initialReloadBackoff up to maxReloadBackoff.
const (
	initialReloadBackoff    = 10 * time.Millisecond
	reloadBackoffMultiplier = 2
	maxReloadBackoff        = 250 * time.Millisecond
)

// reloadRetryTimeout is how long after the signal a failed reload is retried. A file that is invalid for longer is not
// merely being written.
const reloadRetryTimeout = 30 * time.Second

// reloader reloads the configuration on each signal. For up to reloadRetryTimeout it retries a file that can't be read
// or is invalid, since another process may be writing it.
type reloader struct {
	path  string
	agent *agent.Agent
	log   *slog.Logger

	retryTimer <-chan time.Time // fires when a retry is due; nil: no retry is scheduled
	backoff    time.Duration    // backoff before the next retry
	retryUntil time.Time        // no retry is scheduled after this time
}

// run reloads the configuration on signals until stopped is closed. It does not reset the signal handling, since SIGHUP
// would then terminate the process.
func (r *reloader) run(signals <-chan os.Signal, stopped <-chan struct{}) {
	for {
		select {
		case <-signals:
			r.backoff = initialReloadBackoff
			r.retryUntil = time.Now().Add(reloadRetryTimeout)
			if err := r.reload(); err != nil {
				r.log.Warn(telemetry.MsgConfigurationInvalid, telemetry.Err(err)) // also if the file is unreadable
			}
		case <-r.retryTimer:
			_ = r.reload() // run has logged the error of the first try
		case <-stopped:
			return
		}
	}
}

// reload loads the configuration and applies it to the agent, or schedules a retry.
func (r *reloader) reload() error {
	r.retryTimer = nil
	c, err := config.Load(r.path)
	if err != nil {
		r.scheduleRetry()
		return err
	}
	r.agent.Reload(c)
	return nil
}

func (r *reloader) scheduleRetry() {
	if !time.Now().Before(r.retryUntil) {
		return
	}
	r.retryTimer = time.After(r.backoff)
	r.backoff = min(reloadBackoffMultiplier*r.backoff, maxReloadBackoff)
}
