// Package agent wires the parts of the agent together: the frontend, the event loop around the decision module, the
// upstream client and discovery.
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/frontend"
	"ashshunt/internal/retry"
	"ashshunt/internal/telemetry"
)

const (
	// acceptDuration is how long a shutdown still accepts new connections: clients learn of it late, and connections that
	// wait in the queue of a closed listener are lost.
	acceptDuration = 500 * time.Millisecond
	// finalWriteTimeout is the time for the last responses of a shutdown to be written and read.
	finalWriteTimeout = 150 * time.Millisecond
	// listenRetryTimeout is how long a start retries to listen on its address.
	listenRetryTimeout = 5 * time.Second
)

// Agent is one agent: the frontend, and the event loop that answers its requests.
type Agent struct {
	loop     *eventLoop
	frontend *frontend.Server
	log      *slog.Logger

	acceptDuration time.Duration // the constant, unless a test has changed it
}

// New returns an agent that listens; it serves once Run is called.
func New(c *config.Config, log *slog.Logger) (*Agent, error) {
	agentClock := clock.New()
	loop, err := newEventLoop(c, agentClock, log)
	if err != nil {
		return nil, err
	}
	listener, err := listen(c.Listen, log)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	server := frontend.NewServer(listener, c, agentClock, loop, log)
	return &Agent{loop: loop, frontend: server, log: log, acceptDuration: acceptDuration}, nil
}

// listen opens the listener. It retries after failures that may be temporary.
func listen(addr string, log *slog.Logger) (net.Listener, error) {
	policy := retry.Policy{
		MaxElapsedTime: listenRetryTimeout,
		IsTransient:    retry.IsTransient,
		OnRetry:        func(err error) { log.Warn(telemetry.MsgListenFailed, telemetry.Err(err)) },
	}
	return retry.Do(policy, func() (net.Listener, error) { return net.Listen("tcp", addr) })
}

// Addr is the address that the agent listens on.
func (a *Agent) Addr() net.Addr { return a.frontend.Addr() }

// Reload applies the part of a new configuration that may change while the agent runs: the address of discovery. All
// else takes effect at the next start.
func (a *Agent) Reload(c *config.Config) {
	a.log.Info(telemetry.MsgConfigurationReloaded, telemetry.Discovery(c.Discovery))
	a.loop.post(discoveryAddressChanged{addr: c.Discovery})
}

// Run serves until stop ends, then shuts down gracefully: it answers what was accepted before it returns.
func (a *Agent) Run(stopCtx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopCtx)) // requests outlast the signal to stop
	defer cancel()
	go a.loop.run(ctx) // ends with ctx
	served := make(chan error, 1)
	go func() { served <- a.frontend.Serve() }() // ends when the listener closes
	select {
	case err := <-served:
		return fmt.Errorf("serving: %w", err)
	case <-stopCtx.Done():
		return a.shutDownGracefully(ctx, served)
	}
}

// shutDownGracefully answers the requests that were accepted, and those that are still accepted for a while. The order of its
// steps matters: connections are closed between requests only, and while their clients can still open new ones.
func (a *Agent) shutDownGracefully(ctx context.Context, served <-chan error) error {
	a.log.Info(telemetry.MsgShuttingDown)
	a.frontend.StartShutdown()
	a.loop.post(shutdownStarted{})
	// Now, while the listener is open: a client whose request crosses the close can send it on a new connection.
	a.frontend.CloseUsedIdle()
	select {
	case err := <-served:
		return fmt.Errorf("serving: %w", err)
	case <-time.After(a.acceptDuration):
	}
	a.frontend.StopAccepting()
	// Not http.Server.Shutdown: it treats a connection as idle until it has read a complete head, and would close it
	// under the request.
	a.frontend.CloseAllIdle()
	a.waitForDisconnects(ctx, shutdownTimeout(a.loop.settings)-a.acceptDuration)
	a.frontend.RejectIncomplete()
	a.waitForDisconnects(ctx, finalWriteTimeout)
	a.log.Info(telemetry.MsgStopped)
	_ = a.frontend.Close() // nothing is left to be answered, so that an error changes nothing
	return nil
}

// waitForDisconnects waits until no client is connected any more, or a timeout has passed.
func (a *Agent) waitForDisconnects(ctx context.Context, timeout time.Duration) {
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.frontend.WaitForAllClosed(waitCtx)
}
