// Command ashshunt is the agent: a client-side load balancer that runs as a sidecar of one application.
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
	// configEnvVar is the environment variable that names the configuration file.
	configEnvVar = "GW_CONFIG"
	// logLevelEnvVar is the environment variable with the minimum level of log lines: DEBUG, INFO (the default), WARN
	// or ERROR.
	logLevelEnvVar = "GW_LOG_LEVEL"
)

// exitFailure is the exit status of an agent that failed to start or to serve.
const exitFailure = 1

// configRetryTimeout is how long the start retries to read a configuration file that is unreadable or incomplete.
const configRetryTimeout = 5 * time.Second

// logFlushTimeout is the maximum time that the exit waits for a slow reader of the log.
const logFlushTimeout = 100 * time.Millisecond

// gcPercent allows the heap to grow to two and a half times the live heap between collections. The live heap is small,
// so that this stays far below the memory limit.
const gcPercent = 150

// maxProcs is the number of cores that the agent uses at a time. An agent has a single core, possibly a shared one.
const maxProcs = 1

func main() {
	logWriter := telemetry.NewWriter(os.Stderr)
	err := run(logWriter)
	if err != nil {
		_, _ = fmt.Fprintln(logWriter, "ashshunt:", err) // a telemetry.Writer never fails
	}
	logWriter.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(exitFailure)
	}
}

// run runs an agent until SIGTERM or SIGINT.
func run(logWriter io.Writer) error {
	// Signal handlers are installed first: until then, a signal terminates the process.
	signal.Ignore(syscall.SIGPIPE) // raised by a write to standard error after its reader has closed it
	stopCtx, stopSignals, reloads := handleSignals()
	defer stopSignals()
	runtime.GOMAXPROCS(maxProcs)

	path := os.Getenv(configEnvVar)
	if path == "" {
		return errors.New(configEnvVar + " is not set to the path of a configuration file")
	}
	log, err := newLogger(logWriter)
	if err != nil {
		return err
	}
	c, err := loadConfig(path, log)
	if err != nil {
		return fmt.Errorf("load configuration: %w", err)
	}
	setMemoryLimits(c.HeapLimit())
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

// handleSignals installs the signal handlers. SIGTERM and SIGINT cancel stopCtx until stopSignals is called; reloads
// receives a value for SIGHUP.
func handleSignals() (stopCtx context.Context, stopSignals context.CancelFunc, reloads <-chan os.Signal) {
	stopCtx, stopSignals = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1) // merges the signals that arrive during a reload into one further reload
	signal.Notify(hangups, syscall.SIGHUP)
	return stopCtx, stopSignals, hangups
}

// setMemoryLimits sets the garbage collector's target and the heap limit in bytes; 0: no limit.
func setMemoryLimits(heapLimit int64) {
	debug.SetGCPercent(gcPercent)
	if heapLimit > 0 {
		debug.SetMemoryLimit(heapLimit)
	}
}

// newLogger returns a logger with the level of logLevelEnvVar.
func newLogger(w io.Writer) (*slog.Logger, error) {
	level := slog.LevelInfo
	if text := os.Getenv(logLevelEnvVar); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return nil, fmt.Errorf("%s: invalid value %q, want DEBUG, INFO, WARN or ERROR", logLevelEnvVar, text)
		}
	}
	return slog.New(telemetry.RateLimited(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))), nil
}

// loadConfig reads the configuration. For up to configRetryTimeout it retries a file that can't be read or is
// incomplete, since another process may be writing it.
func loadConfig(path string, log *slog.Logger) (*config.Config, error) {
	policy := retry.Policy{
		MaxElapsedTime: configRetryTimeout,
		IsTransient:    func(err error) bool { return retry.IsTransient(err) || errors.Is(err, config.ErrIncomplete) },
		OnRetry:        func(err error) { log.Warn(telemetry.MsgConfigurationUnreadable, telemetry.Err(err)) },
	}
	return retry.Do(policy, func() (*config.Config, error) { return config.Load(path) })
}
