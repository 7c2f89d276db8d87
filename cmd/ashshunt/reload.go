package main

import (
	"log/slog"
	"os"
	"time"

	"ashshunt/internal/agent"
	"ashshunt/internal/config"
	"ashshunt/internal/telemetry"
)

// A reload that fails is retried after a backoff, which grows by reloadBackoffFactor from initialReloadBackoff to
// maxReloadBackoff.
const (
	initialReloadBackoff = 10 * time.Millisecond
	reloadBackoffFactor  = 2
	maxReloadBackoff     = 250 * time.Millisecond
)

// reloadRetryPeriod is how long after its signal a reload is retried. A file that has been invalid for so long was not
// caught half-written.
const reloadRetryPeriod = 30 * time.Second

// reloader reads the configuration again upon each signal. A file that can't be read or is not valid is retried for a
// while: it may be just being written.
type reloader struct {
	path  string
	agent *agent.Agent
	log   *slog.Logger

	retry      <-chan time.Time // nil: no retry is due
	backoff    time.Duration    // before the next retry
	retryUntil time.Time
}

// run reloads upon signals until ended is closed. The signals stay handled after that: they would end the process.
func (r *reloader) run(signals <-chan os.Signal, ended <-chan struct{}) {
	for {
		select {
		case <-signals:
			r.backoff = initialReloadBackoff
			r.retryUntil = time.Now().Add(reloadRetryPeriod)
			if err := r.reload(); err != nil {
				r.log.Warn(telemetry.MsgConfigurationInvalid, telemetry.Err(err))
			}
		case <-r.retry:
			_ = r.reload() // the first error was logged
		case <-ended:
			return
		}
	}
}

// reload passes a new configuration to the agent, or schedules a retry.
func (r *reloader) reload() error {
	r.retry = nil
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
	r.retry = time.After(r.backoff)
	r.backoff = min(reloadBackoffFactor*r.backoff, maxReloadBackoff)
}
