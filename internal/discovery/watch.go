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

// Why a watch was ended by this side.
var (
	errWatchTimeout        = errors.New("watch fell silent")
	errListTooLarge        = errors.New("list too long")
	errListTimeout         = errors.New("list too slow")
	errDeltaBeforeComplete = errors.New("changes came before the complete list")
)

// watch is one watch of an address. It is run by the goroutine that Subscribe starts for it.
type watch struct {
	addr  string
	since int64              // the version that it continues; unknownVersion: it starts with the complete list
	stop  context.CancelFunc // ends it
}

func (w *watch) query() string {
	if w.since == unknownVersion {
		return "?follow=1"
	}
	return fmt.Sprintf("?follow=1&since=%d", w.since)
}

// runWatch opens a watch and reads it until it ends, falls silent or brings what can't be parsed.
func (c *Client) runWatch(ctx context.Context, w *watch) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.callTimeout, func() { cancel(errWatchTimeout) })
	defer idleTimer.Stop()
	body, err := c.get(ctx, w.addr, w.query())
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	idleTimer.Reset(c.idleTimeout)
	c.source.activateWatch(w, false)
	c.log.Info(telemetry.MsgWatchEstablished, telemetry.Discovery(w.addr), "since", w.since)
	reader := newWatchReader(body, idleTimer, c.idleTimeout, func() { cancel(errListTimeout) })
	defer reader.stop()
	err = c.readLists(ctx, w, reader)
	if errors.Is(err, errListTimeout) {
		c.listTimeout.increase()
	}
	return err
}

// readLists applies the lists that a watch brings.
func (c *Client) readLists(ctx context.Context, w *watch, reader *watchReader) error {
	for decoder := json.NewDecoder(reader); ; {
		reader.prepareForList(c.listTimeout.current())
		list, err := readList(ctx, decoder)
		if err != nil {
			return err
		}
		if ctx.Err() != nil { // replaced or silent meanwhile: another watch brings what follows
			return ctx.Err()
		}
		c.listTimeout.update(reader.listDuration())
		// A watch that was replaced ends here too, with an error that nobody sees: its context has been cancelled.
		if !c.applyWatchedList(w, list) {
			return errDeltaBeforeComplete
		}
	}
}

// readList reads one list. It ends where its JSON does, which may be several lines on.
func readList(ctx context.Context, decoder *json.Decoder) (endpoint.List, error) {
	var raw json.RawMessage
	if err := decoder.Decode(&raw); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return endpoint.List{}, fmt.Errorf("reading changes: %w", err)
	}
	return endpoint.ParseList(raw)
}
