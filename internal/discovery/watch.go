package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ashshunt/internal/endpoint"
	"ashshunt/internal/telemetry"
)

// Errors by which the client ends a watch.
var (
	errWatchTimeout        = errors.New("watch received no response or data within its timeout")
	errListTooLarge        = fmt.Errorf("endpoint list exceeds %d bytes", maxListSize)
	errListTimeout         = errors.New("endpoint list was not received completely within its timeout")
	errDeltaBeforeComplete = errors.New("watch received a delta before the complete list")
)

// watch is one long-lived request to discovery, whose response streams endpoint lists. It runs on the goroutine that
// Subscribe starts.
type watch struct {
	addr  string             // address of discovery, as host:port
	since int64              // version to continue from; if unknownVersion, the first list must be complete
	stop  context.CancelFunc // cancels the request

	hasResponse bool // discovery has responded; protected by source.mu
}

func (w *watch) query() string {
	if w.since == unknownVersion {
		return "?follow=1"
	}
	return fmt.Sprintf("?follow=1&since=%d", w.since)
}

// lateTimeout is how long a watch waits for its response in all. After the call timeout it is overdue.
func (c *Client) lateTimeout() time.Duration {
	return time.Duration(lateTimeoutFactor * float64(c.callTimeout))
}

// runWatch sends the request of a watch and applies its lists until the watch ends, times out or receives a malformed
// list. The error is never nil; it says why the watch ended.
func (c *Client) runWatch(ctx context.Context, w *watch) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The timer limits the time until the response at first, and then the time without data between lists.
	idleTimer := time.AfterFunc(c.lateTimeout(), func() { cancel(errWatchTimeout) })
	defer idleTimer.Stop()
	body, err := c.get(ctx, w.addr, w.query())
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	idleTimer.Reset(c.idleTimeout)
	c.source.activateWatch(w, false) // not complete: no list has been received yet
	c.log.Info(telemetry.MsgWatchEstablished, telemetry.Discovery(w.addr), "since", w.since)
	reader := newWatchReader(body, idleTimer, c.idleTimeout, func() { cancel(errListTimeout) })
	defer reader.stop()
	err = c.readLists(ctx, w, reader)
	if errors.Is(err, errListTimeout) {
		c.listTimeout.increase()
	}
	return err
}

// readLists reads and applies the lists of a watch.
func (c *Client) readLists(ctx context.Context, w *watch, reader *watchReader) error {
	for decoder := json.NewDecoder(reader); ; {
		reader.prepareForList(c.listTimeout.current(), decoder.Buffered())
		list, err := readList(ctx, decoder)
		if err != nil {
			return err
		}
		if ctx.Err() != nil { // stopped or timed out: the next watch, if any, receives the list
			return ctx.Err()
		}
		c.listTimeout.update(reader.listDuration())
		// A watch that was replaced also returns here, but its error is ignored since its context is cancelled.
		if !c.applyWatchedList(w, list) {
			return errDeltaBeforeComplete
		}
	}
}

// readList reads one list. A list is one JSON value and may extend over several lines.
func readList(ctx context.Context, decoder *json.Decoder) (endpoint.List, error) {
	var raw json.RawMessage
	if err := decoder.Decode(&raw); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return endpoint.List{}, fmt.Errorf("read endpoint list: %w", err)
	}
	return endpoint.ParseList(raw)
}
