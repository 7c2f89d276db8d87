// Package agent assembles the agent from the frontend, the event loop that runs the decision module, the upstream
// client and the discovery client.
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
	"ashshunt/internal/membudget"
	"ashshunt/internal/retry"
	"ashshunt/internal/telemetry"
)

const (
	// acceptDuration is how long the agent accepts new connections after a shutdown has started. Clients are notified
	// of the shutdown with a delay, and closing the listener drops the connections in its accept queue.
	acceptDuration = 500 * time.Millisecond
	// finalWriteTimeout is the time that a shutdown allows for writing its last responses and for clients to read them.
	finalWriteTimeout = 150 * time.Millisecond
	// listenRetryTimeout is how long New retries to listen on its address.
	listenRetryTimeout = 5 * time.Second
)

// Agent is a client-side load balancer: a frontend, and the event loop that answers the frontend's requests.
type Agent struct {
	loop     *eventLoop
	frontend *frontend.Server
	budget   *membudget.Budget
	log      *slog.Logger

	acceptDuration time.Duration // tests may change it before Run
}

// New returns an agent that listens on its address. It accepts no connections until Run is called.
func New(c *config.Config, log *slog.Logger) (*Agent, error) {
	agentClock := clock.New()
	budget := membudget.New(c.MemoryBudget(), log)
	loop, err := newEventLoop(c, agentClock, budget, log)
	if err != nil {
		return nil, err
	}
	listener, err := listen(c.Listen, log)
	if err != nil {
		return nil, fmt.Errorf("listen for client connections: %w", err)
	}
	server := frontend.NewServer(listener, c, agentClock, loop, budget, log)
	return &Agent{loop: loop, frontend: server, budget: budget, log: log, acceptDuration: acceptDuration}, nil
}

// listen opens the listener. It retries transient failures.
func listen(addr string, log *slog.Logger) (net.Listener, error) {
	policy := retry.Policy{
		MaxElapsedTime: listenRetryTimeout,
		IsTransient:    retry.IsTransient,
		OnRetry:        func(err error) { log.Warn(telemetry.MsgListenFailed, telemetry.Err(err)) },
	}
	return retry.Do(policy, func() (net.Listener, error) { return net.Listen("tcp", addr) })
}

// Addr returns the address that the agent listens on.
func (a *Agent) Addr() net.Addr { return a.frontend.Addr() }

// Reload applies the one setting of a new configuration that may change while the agent runs: the address of discovery.
// All other settings take effect at the next start.
func (a *Agent) Reload(c *config.Config) {
	a.log.Info(telemetry.MsgConfigurationReloaded, telemetry.Discovery(c.Discovery))
	a.loop.post(discoveryAddressChanged{addr: c.Discovery})
}

// Run serves requests until stopCtx is done, then shuts down gracefully: it answers the accepted requests before it
// returns. It returns an error only if the listener fails before the agent closes it.
func (a *Agent) Run(stopCtx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopCtx)) // open requests continue after stopCtx is done
	defer cancel()
	go a.loop.run(ctx) // returns when ctx is done
	served := make(chan error, 1)
	go func() { served <- a.frontend.Serve() }() // returns when the listener is closed
	select {
	case err := <-served:
		return fmt.Errorf("serve client connections: %w", err)
	case <-stopCtx.Done():
		return a.shutDownGracefully(ctx, served)
	}
}

// shutDownGracefully answers the open requests, and those that arrive while the agent still accepts connections. The
// order of the steps matters: a connection with an open request is closed only after the response, and an idle
// connection that has had a request is closed while its client can still open a new one.
func (a *Agent) shutDownGracefully(ctx context.Context, served <-chan error) error {
	a.log.Info(telemetry.MsgShuttingDown)
	deadline := time.Now().Add(shutdownTimeout(a.loop.settings))
	a.frontend.StartShutdown()
	a.loop.post(shutdownStarted{})
	// The listener must still be open here: a client whose request crosses the close can resend it on a new connection.
	a.frontend.CloseUsedIdle()
	select {
	case err := <-served:
		return fmt.Errorf("serve client connections during the shutdown: %w", err)
	case <-time.After(a.acceptDuration):
	}
	a.frontend.StopAccepting()
	// http.Server.Shutdown is not usable here: it treats a connection as idle until the complete head of a request is
	// read, and would close the connection during the request.
	a.frontend.CloseAllIdle()
	a.waitForDisconnects(ctx, deadline)
	a.frontend.RejectIncomplete()
	a.waitForDisconnects(ctx, time.Now().Add(finalWriteTimeout))
	a.logStopped()
	_ = a.frontend.Close() // all requests are answered, so that an error can be ignored
	return nil
}

// logStopped logs the end of a graceful shutdown with the totals of the connections to endpoints and the usage of
// memory.
func (a *Agent) logStopped() {
	a.budget.LogUsage()
	a.frontend.LogTotals()
	totals := a.loop.upstream.Totals()
	a.log.Info(telemetry.MsgStopped,
		"dials", totals.Dials,
		"exchanges", totals.Exchanges,
		"reuses", totals.Reuses,
		"unrequested_bytes", totals.UnrequestedBytes)
}

// waitForDisconnects blocks until no client connection is open, or until the deadline.
func (a *Agent) waitForDisconnects(ctx context.Context, deadline time.Time) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a.frontend.WaitForAllClosed(waitCtx)
}
