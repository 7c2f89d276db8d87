package discovery

import (
	"context"
	"fmt"
	"io"

	"ashshunt/internal/endpoint"
	"ashshunt/internal/telemetry"
)

// Poll requests the complete list once and passes the list or the failure to Options.OnList. It does not block: the
// request runs on a new goroutine and is limited by Options.CallTimeout. OnList is not called for a failure after ctx
// was cancelled, nor for a list from an address that SetAddress has replaced during the poll.
func (c *Client) Poll(ctx context.Context) {
	go func() {
		if err := c.poll(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn(telemetry.MsgPollFailed, telemetry.Err(err))
			c.onList(failureEvent(err))
		}
	}()
}

func (c *Client) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	addr := c.source.currentAddr()
	body, err := c.get(ctx, addr, "")
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(body, maxListSize))
	if err != nil {
		return fmt.Errorf("read endpoint list: %w", err)
	}
	list, err := endpoint.ParseList(raw)
	if err != nil {
		return err
	}
	list.Complete = true // the response to a poll always has all entries, whether it is marked as complete or not
	c.applyPolledList(addr, list)
	return nil
}
