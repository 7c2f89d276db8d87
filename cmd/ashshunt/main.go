// Command ashshunt is the agent: a client-side load balancer that runs beside one application.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"ashshunt/internal/agent"
	"ashshunt/internal/config"
	"ashshunt/internal/retry"
	"ashshunt/internal/telemetry"
)

const (
	// configVariable names the configuration file.
	configVariable = "GW_CONFIG"
	// gcPercent lets the heap more than double between collections: it is small, and stays far below the limit.
	gcPercent  = 150
	bytesPerMB = 1 << 20
	// startPatience is how long the start is held up by a file that can't be read.
	startPatience = 5 * time.Second
	// logFlushTimeout is how long the end is held up by the reader of the log.
	logFlushTimeout = 100 * time.Millisecond
)

func main() {
	logWriter := telemetry.NewWriter(os.Stderr)
	err := run(logWriter)
	if err != nil {
		_, _ = fmt.Fprintln(logWriter, "ashshunt:", err) // never fails
	}
	logWriter.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

func run(logWriter io.Writer) error {
	// Signals come first: one that is not handled yet would end the process. A log that its reader has closed must not.
	signal.Ignore(syscall.SIGPIPE)
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	reload := make(chan os.Signal, 1) // signals that come during a reload make one more
	signal.Notify(reload, syscall.SIGHUP)

	runtime.GOMAXPROCS(1) // an agent has one core, which it may share
	path := os.Getenv(configVariable)
	if path == "" {
		return errors.New(configVariable + " names no configuration file")
	}
	log := newLogger(logWriter)
	c, err := loadConfig(path, log)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	setMemoryLimits(c.MemoryMB)
	log = log.With("agent", c.Name)
	a, err := agent.New(c, log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go (&reloader{path: path, agent: a, log: log}).run(reload, ended)
	log.Info(telemetry.MsgServing, "listen", a.Addr().String())
	return a.Run(stop)
}

// setMemoryLimits bounds the heap within the memory that the process may use; 0: no limit.
func setMemoryLimits(memoryMB int) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) * bytesPerMB * 5 / 8) // the program itself counts too
	}
}

func newLogger(w io.Writer) *slog.Logger {
	return slog.New(telemetry.RateLimited(slog.NewTextHandler(w, nil)))
}

// loadConfig reads the configuration. A file that can't be read, or is just being written, is read again for a while.
func loadConfig(path string, log *slog.Logger) (*config.Config, error) {
	policy := retry.Policy{
		MaxElapsedTime: startPatience,
		IsTransient:    func(err error) bool { return retry.IsTransient(err) || errors.Is(err, config.ErrIncomplete) },
		OnRetry:        func(err error) { log.Warn(telemetry.MsgConfigurationUnread, telemetry.Err(err)) },
	}
	return retry.Do(policy, func() (*config.Config, error) { return config.Load(path) })
}
