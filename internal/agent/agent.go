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
)

// acceptFor after a stop was asked for, new connections are still taken: clients hear of it late, and
// what waits in a closed listener's queue is lost.
const acceptPeriod = 500 * time.Millisecond

// lastWrite is the time for the last answers of a stop to be written.
const finalWriteTime = 100 * time.Millisecond

// Agent is one agent: a listener for the application, the loop, and its connections.
type Agent struct {
	loop     *eventLoop
	frontend *frontend.Server
	log      *slog.Logger

	acceptPeriod time.Duration // see the constant
}

// New makes an agent and listens; it serves once Run is called.
func New(c *config.Config, log *slog.Logger) (*Agent, error) {
	clock := clock.New()
	loop, err := newEventLoop(c, clock, log)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	server := frontend.NewServer(listener, c, clock, loop, log)
	return &Agent{loop: loop, frontend: server, log: log, acceptPeriod: acceptPeriod}, nil
}

// Addr is where the agent listens.
func (a *Agent) Addr() net.Addr { return a.frontend.Addr() }

// Reload takes over from a new configuration what may change while the agent runs: the address of
// discovery. All else waits for the next start.
func (a *Agent) Reload(c *config.Config) {
	a.log.Info("configuration read again", "discovery", c.Discovery)
	a.loop.post(discoveryMoved{addr: c.Discovery})
}

// Run serves until stop ends, then finishes what was taken.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	go a.loop.run(ctx)
	failed := make(chan error, 1)
	go func() { failed <- a.frontend.Serve() }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-stop.Done():
	}
	a.log.Info("draining")
	a.frontend.StartShutdown()
	a.loop.post(shutdownStarted{})
	// At once, while a request that crosses the close still finds the listener open on a new connection.
	a.frontend.CloseUsedIdle()
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-time.After(a.acceptPeriod):
	}
	if err := a.frontend.StopAccepting(); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	// No http.Server.Shutdown: that takes a connection for idle until it has read a whole head, and would close it
	// under the request.
	a.frontend.CloseAllIdle()
	bound, done := context.WithTimeout(ctx, shutdownTimeout(a.loop.settings)-a.acceptPeriod+finalWriteTime)
	defer done()
	a.frontend.WaitUntilEmpty(bound)
	a.log.Info("stopped")
	return a.frontend.Close()
}
