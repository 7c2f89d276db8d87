package main

import (
	"log/slog"
	"os"
	"time"

	"ashshunt/internal/agent"
	"ashshunt/internal/config"
	"ashshunt/internal/telemetry"
)

const (
	// firstReloadPause is the wait after a reload that has failed before it is tried again; it doubles up to
	// maxReloadPause.
	firstReloadPause = 10 * time.Millisecond
	maxReloadPause   = 250 * time.Millisecond
	// reloadPatience is how long after its signal a reload is tried again. A file that has been invalid for so long was
	// not caught half-written.
	reloadPatience = 30 * time.Second
)

// reloader reads the configuration anew upon each signal. One that can't be read, or is not valid, may be so for a
// moment only: it is read again for a while.
type reloader struct {
	path  string
	agent *agent.Agent
	log   *slog.Logger

	nextTry  <-chan time.Time // nil: none is due
	pause    time.Duration
	giveUpAt time.Time
}

// run reloads upon signals until ended is closed. The signals stay handled after that: they would end the process.
func (r *reloader) run(signals <-chan os.Signal, ended <-chan struct{}) {
	for {
		select {
		case <-signals:
			r.pause, r.giveUpAt = firstReloadPause, time.Now().Add(reloadPatience)
			if err := r.reload(); err != nil {
				r.log.Warn(telemetry.MsgConfigurationInvalid, telemetry.Err(err))
			}
		case <-r.nextTry:
			_ = r.reload() // the first error was logged
		case <-ended:
			return
		}
	}
}

// reload reads the configuration, and sets the time of the next try if that fails.
func (r *reloader) reload() error {
	r.nextTry = nil
	c, err := config.Load(r.path)
	if err == nil {
		r.agent.Reload(c)
		return nil
	}
	if time.Now().Before(r.giveUpAt) {
		r.nextTry = time.After(r.pause)
		r.pause = min(2*r.pause, maxReloadPause)
	}
	return err
}
