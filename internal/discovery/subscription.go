package discovery

import (
	"context"
	"time"

	"ashshunt/internal/telemetry"
)

// Subscribe starts a watch. The active watch continues until the new one replaces it (see source): a new address may be
// slow to answer, or never do so.
//
// The watch runs on a goroutine of its own, which ends when ctx does, when Unsubscribe or a later watch stops it, or
// when the watch ends by itself. In that last case it reports the failure, or, if the client keeps its watch, waits
// and starts the next one.
func (c *Client) Subscribe(ctx context.Context) {
	watchCtx, stop := context.WithCancel(ctx)
	w := c.source.addWatch(stop)
	go func() {
		defer stop()
		err := c.runWatch(watchCtx, w)
		if watchCtx.Err() != nil || !c.source.removeWatch(w) {
			return
		}
		c.log.Warn(telemetry.MsgWatchEnded, telemetry.Discovery(w.addr), telemetry.Err(err))
		if c.autoWatch {
			c.restartWatch(ctx)
		} else {
			c.onList(failureEvent(err))
		}
	}()
}

// Unsubscribe ends all watches.
func (c *Client) Unsubscribe() { c.source.stopWatches() }

// restartWatch starts a watch again after a backoff, unless another one was started meanwhile.
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
