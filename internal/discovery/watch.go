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
	errSilentWatch      = errors.New("watch fell silent")
	errListTooLong      = errors.New("list too long")
	errListTooSlow      = errors.New("list too slow")
	errChangesBeforeAll = errors.New("changes came before the complete list")
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
	silence := time.AfterFunc(c.callTimeout, func() { cancel(errSilentWatch) })
	defer silence.Stop()
	body, err := c.get(ctx, w.addr, w.query())
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	silence.Reset(c.silenceTimeout)
	c.source.activateWatch(w, false)
	c.log.Info(telemetry.MsgWatchEstablished, telemetry.Discovery(w.addr), "since", w.since)
	reader := newWatchReader(body, silence, c.silenceTimeout, func() { cancel(errListTooSlow) })
	defer reader.stop()
	err = c.readLists(ctx, w, reader)
	if errors.Is(err, errListTooSlow) {
		c.listTimeout.expired()
	}
	return err
}

// readLists applies the lists that a watch brings.
func (c *Client) readLists(ctx context.Context, w *watch, reader *watchReader) error {
	for decoder := json.NewDecoder(reader); ; {
		reader.expectList(c.listTimeout.current())
		list, err := readList(ctx, decoder)
		if err != nil {
			return err
		}
		if ctx.Err() != nil { // replaced or silent meanwhile: another watch brings what follows
			return ctx.Err()
		}
		c.listTimeout.received(reader.listDuration())
		// A watch that was replaced ends here too, with an error that nobody sees: its context has been cancelled.
		if !c.applyWatched(w, list) {
			return errChangesBeforeAll
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
