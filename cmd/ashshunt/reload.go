package main

import (
	"log/slog"
	"os"
	"time"

	"ashshunt/internal/agent"
	"ashshunt/internal/config"
	"ashshunt/internal/telemetry"
)

// A reload that fails is retried after a backoff, which grows by reloadBackoffMultiplier from initialReloadBackoff to
// maxReloadBackoff.
const (
	initialReloadBackoff    = 10 * time.Millisecond
	reloadBackoffMultiplier = 2
	maxReloadBackoff        = 250 * time.Millisecond
)

// reloadRetryTimeout is how long after its signal a reload is retried. A file that has been invalid for so long was not
// caught half-written.
const reloadRetryTimeout = 30 * time.Second

// reloader reads the configuration again upon each signal. A file that can't be read or is not valid is retried for a
// while: it may be just being written.
type reloader struct {
	path  string
	agent *agent.Agent
	log   *slog.Logger

	retryTimer <-chan time.Time // nil: no retry is due
	backoff    time.Duration    // before the next retry
	retryUntil time.Time
}

// run reloads upon signals until ended is closed. The signals stay handled after that: they would end the process.
func (r *reloader) run(signals <-chan os.Signal, stopped <-chan struct{}) {
	for {
		select {
		case <-signals:
			r.backoff = initialReloadBackoff
			r.retryUntil = time.Now().Add(reloadRetryTimeout)
			if err := r.reload(); err != nil {
				r.log.Warn(telemetry.MsgConfigurationInvalid, telemetry.Err(err))
			}
		case <-r.retryTimer:
			_ = r.reload() // the first error was logged
		case <-stopped:
			return
		}
	}
}

// reload passes a new configuration to the agent, or schedules a retry.
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
