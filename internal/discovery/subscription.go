package discovery

import (
	"context"
	"time"

	"ashshunt/internal/telemetry"
)

// Subscribe starts a watch. The active watch continues until the new one replaces it (see source), since a new address
// may respond slowly or not at all.
//
// The watch runs on a new goroutine. It ends when ctx is cancelled, when Unsubscribe or a later watch stops it, or when
// it fails. After a failure, unless another watch is pending, the goroutine calls Options.OnList with the failure or,
// with Options.AutoWatch, starts the next watch after a backoff. The same happens if the response is late, but then the
// watch continues to wait for it.
func (c *Client) Subscribe(ctx context.Context) {
	watchCtx, stop := context.WithCancel(ctx)
	w := c.source.addWatch(stop)
	go func() {
		defer stop()
		overdueTimer := time.AfterFunc(c.callTimeout, func() { c.handleOverdue(ctx, w) })
		defer overdueTimer.Stop()
		err := c.runWatch(watchCtx, w)
		if watchCtx.Err() != nil || !c.source.removeWatch(w) {
			return
		}
		c.handleWatchEnded(ctx, w, err)
	}()
}

// handleOverdue handles a watch that has had no response for the call timeout. Its call stays open beside that of the
// next watch.
func (c *Client) handleOverdue(ctx context.Context, w *watch) {
	if c.source.markOverdue(w) {
		c.handleWatchEnded(ctx, w, errWatchTimeout)
	}
}

// handleWatchEnded reports the failure of a watch or, with Options.AutoWatch, starts the next one after a backoff.
func (c *Client) handleWatchEnded(ctx context.Context, w *watch, err error) {
	if ctx.Err() != nil {
		return
	}
	c.log.Warn(telemetry.MsgWatchEnded, telemetry.Discovery(w.addr), telemetry.Err(err))
	if c.autoWatch {
		c.restartWatch(ctx)
	} else {
		c.onList(failureEvent(err))
	}
}

// Unsubscribe stops all watches.
func (c *Client) Unsubscribe() { c.source.stopWatches() }

// restartWatch starts a watch after a backoff, unless the current address is watched again by then.
func (c *Client) restartWatch(ctx context.Context) {
	select {
	case <-time.After(c.source.nextDelay()):
	case <-ctx.Done():
		return
	}
	if !c.source.isWatched() {
		c.Subscribe(ctx)
	}
}
