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

// configEnvVar is the environment variable that names the configuration file.
const configEnvVar = "GW_CONFIG"

// exitFailure is the exit status of an agent that did not start, or that failed.
const exitFailure = 1

// configRetryTimeout is how long a start retries to read a configuration file that can't be read.
const configRetryTimeout = 5 * time.Second

// logFlushTimeout is how long the exit waits for a slow reader of the log.
const logFlushTimeout = 100 * time.Millisecond

// gcPercent lets the heap grow to two and a half times what is live between collections: it is small, and stays far
// below its limit.
const gcPercent = 150

// maxProcs is the number of cores that an agent uses at a time. It has one, which it may share.
const maxProcs = 1

// The heap may take five eighths of the memory of the process: the program itself counts too. A MB of memory_mb is a
// MiB.
const (
	bytesPerMiB             = 1 << 20
	heapFractionDenominator = 8
	heapFractionNumerator   = 5
)

func main() {
	logWriter := telemetry.NewWriter(os.Stderr)
	err := run(logWriter)
	if err != nil {
		_, _ = fmt.Fprintln(logWriter, "ashshunt:", err) // never fails
	}
	logWriter.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(exitFailure)
	}
}

// run runs an agent until a signal ends it.
func run(logWriter io.Writer) error {
	// Signals come first: one that is not handled yet would end the process.
	signal.Ignore(syscall.SIGPIPE) // a write to a log that its reader has closed raises it
	stopCtx, stopSignals, reloads := handleSignals()
	defer stopSignals()
	runtime.GOMAXPROCS(maxProcs)

	path := os.Getenv(configEnvVar)
	if path == "" {
		return errors.New(configEnvVar + " names no configuration file")
	}
	log := newLogger(logWriter)
	c, err := loadConfig(path, log)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	setMemoryLimits(c.MaxMemoryMB)
	log = log.With("agent", c.Name)
	a, err := agent.New(c, log)
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	defer close(stopped)
	go (&reloader{path: path, agent: a, log: log}).run(reloads, stopped)
	log.Info(telemetry.MsgServing, "listen", a.Addr().String())
	return a.Run(stopCtx)
}

// handleSignals returns a context that SIGTERM and SIGINT end, until release is called, and a channel with a value
// for SIGHUP.
func handleSignals() (stopCtx context.Context, stopSignals context.CancelFunc, reloads <-chan os.Signal) {
	stopCtx, stopSignals = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1) // all signals that come during a reload are followed by one more reload
	signal.Notify(hangups, syscall.SIGHUP)
	return stopCtx, stopSignals, hangups
}

// setMemoryLimits bounds the heap within the memory that the process may use; 0: no limit.
func setMemoryLimits(memoryMB int) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) * bytesPerMiB * heapFractionNumerator / heapFractionDenominator)
	}
}

func newLogger(w io.Writer) *slog.Logger {
	return slog.New(telemetry.RateLimited(slog.NewTextHandler(w, nil)))
}

// loadConfig reads the configuration. A file that can't be read, or is just being written, is read again for a while.
func loadConfig(path string, log *slog.Logger) (*config.Config, error) {
	policy := retry.Policy{
		MaxElapsedTime: configRetryTimeout,
		IsTransient:    func(err error) bool { return retry.IsTransient(err) || errors.Is(err, config.ErrIncomplete) },
		OnRetry:        func(err error) { log.Warn(telemetry.MsgConfigurationUnreadable, telemetry.Err(err)) },
	}
	return retry.Do(policy, func() (*config.Config, error) { return config.Load(path) })
}
