// Command ashshunt is the agent: a client-side load balancer that runs beside one application.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ashshunt/internal/agent"
	"ashshunt/internal/config"
	"ashshunt/internal/telemetry"
)

const (
	// configVariable names the configuration file.
	configVariable = "GW_CONFIG"
	// gcPercent lets the heap more than double between collections: it is small, and stays far below the limit.
	gcPercent  = 150
	bytesPerMB = 1 << 20
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ashshunt:", err)
		os.Exit(1)
	}
}

func run() error {
	// Signals come first: one that is not handled yet would end the process.
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	reload := make(chan os.Signal, 1) // signals that come during a reload make one more
	signal.Notify(reload, syscall.SIGHUP)

	runtime.GOMAXPROCS(1) // an agent has one core, which it may share
	path := os.Getenv(configVariable)
	if path == "" {
		return errors.New(configVariable + " names no configuration file")
	}
	c, err := config.Load(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	setMemoryLimits(c.MemoryMB)
	log := newLogger(c.Name)
	a, err := agent.New(c, log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go reloadOnSignal(reload, ended, path, a, log)
	log.Info("serving", "listen", a.Addr().String())
	return a.Run(stop)
}

// setMemoryLimits bounds the heap within the memory that the process may use; 0: no limit.
func setMemoryLimits(memoryMB int) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) * bytesPerMB * 5 / 8) // the program itself counts too
	}
}

func newLogger(agentName string) *slog.Logger {
	handler := telemetry.RateLimited(slog.NewTextHandler(os.Stderr, nil))
	return slog.New(handler).With("agent", agentName)
}

// reloadOnSignal reads the configuration anew upon each signal, until ended is closed. The signal stays handled after
// that: it would end the process.
func reloadOnSignal(signals <-chan os.Signal, ended <-chan struct{}, path string, a *agent.Agent, log *slog.Logger) {
	for {
		select {
		case <-signals:
		case <-ended:
			return
		}
		c, err := config.Load(path)
		if err != nil {
			log.Warn("invalid configuration, keeping the old one", "err", err)
			continue
		}
		a.Reload(c)
	}
}
