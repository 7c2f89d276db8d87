package discovery

import (
	"context"
	"fmt"
	"io"

	"ashshunt/internal/endpoint"
	"ashshunt/internal/telemetry"
)

// Poll asks for the complete list once and passes it, or the failure, to Options.OnList. It doesn't wait for that: a
// goroutine does, which ends within the call timeout.
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
		return fmt.Errorf("reading the list: %w", err)
	}
	list, err := endpoint.ParseList(raw)
	if err != nil {
		return err
	}
	list.Complete = true // a poll always brings all entries, whatever the list says
	c.applyPolledList(addr, list)
	return nil
}
