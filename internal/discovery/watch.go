package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// watch is one watch of an address. It belongs to the goroutine that Subscribe starts for it.
type watch struct {
	addr  string
	since int64              // the version that it continues; unknownVersion: it is to bring the complete list
	stop  context.CancelFunc // ends it
}

func (w *watch) query() string {
	if w.since == unknownVersion {
		return "?follow=1"
	}
	return fmt.Sprintf("?follow=1&since=%d", w.since)
}

// Subscribe starts a watch. The watch before it goes on until the new one brings its list: a new address may be slow
// to answer, or never do.
//
// The watch runs on a goroutine of its own, which ends when ctx does, when Unsubscribe or a later watch stops it, or
// when the watch ends by itself. In that last case it reports the failure, or, if the client keeps its watch, waits
// and starts the next one.
func (c *Client) Subscribe(ctx context.Context) {
	watchCtx, stop := context.WithCancel(ctx)
	w := c.addWatch(stop)
	go func() {
		defer stop()
		err := c.runWatch(watchCtx, w)
		if watchCtx.Err() != nil || !c.removeWatch(w) {
			return
		}
		c.log.Warn(telemetry.MsgWatchEnded, telemetry.Discovery(w.addr), telemetry.Err(err))
		if c.keepWatch {
			c.restartWatch(ctx)
		} else {
			c.onList(failureEvent(err))
		}
	}()
}

// addWatch makes a new watch the one that is to replace the current one.
func (c *Client) addWatch(stop context.CancelFunc) *watch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replacement != nil {
		c.replacement.stop()
	}
	c.replacement = &watch{addr: c.addr, since: c.version, stop: stop}
	return c.replacement
}

// removeWatch forgets a watch that ended by itself and reports whether that matters: while another one is to replace
// it, nothing is lost.
func (c *Client) removeWatch(w *watch) (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch w {
	case c.replacement:
		c.replacement = nil
		return true
	case c.current:
		c.current = nil
		return c.replacement == nil
	}
	return false
}

// establishWatch reports whether lists are to be taken from a watch. A watch that replaces another one does so, and
// ends it, once it has begun; if it is to bring the complete list, once that has come.
func (c *Client) establishWatch(w *watch, complete bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w == c.replacement && (complete || w.since != unknownVersion) {
		c.backoff.reset()
		if c.current != nil {
			c.current.stop()
		}
		c.current, c.replacement = w, nil
	}
	return w == c.current
}

// restartWatch starts a watch again after a backoff, unless another one was started meanwhile.
func (c *Client) restartWatch(ctx context.Context) {
	c.mu.Lock()
	delay := c.backoff.next()
	c.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return
	}
	if !c.watchesCurrentAddr() {
		c.Subscribe(ctx)
	}
}

// watchesCurrentAddr reports whether discovery's address is watched, or about to be. A watch of an address from which
// discovery has moved away doesn't count.
func (c *Client) watchesCurrentAddr() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current != nil && c.current.addr == c.addr || c.replacement != nil
}

// runWatch opens a watch and reads it until it ends, falls silent or brings what can't be read.
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
	c.establishWatch(w, false)
	c.log.Info(telemetry.MsgWatchEstablished, telemetry.Discovery(w.addr), "since", w.since)
	reader := &watchReader{body: body, silence: silence, silenceTimeout: c.silenceTimeout}
	reader.slowList = time.AfterFunc(c.callTimeout, func() { cancel(errListTooSlow) })
	reader.slowList.Stop() // until a list begins
	defer reader.slowList.Stop()
	err = c.readChanges(ctx, w, reader)
	if errors.Is(err, errListTooSlow) {
		c.listTime.expired()
	}
	return err
}

// readChanges applies the lists that a watch brings. A list ends where its JSON does, which may be several lines on.
func (c *Client) readChanges(ctx context.Context, w *watch, reader *watchReader) error {
	for lists := json.NewDecoder(reader); ; {
		reader.expectList(c.listTime.allowed())
		var raw json.RawMessage
		if err := lists.Decode(&raw); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return fmt.Errorf("reading changes: %w", err)
		}
		list, err := endpoint.ParseList(raw)
		if err != nil {
			return err
		}
		if ctx.Err() != nil { // replaced or silent meanwhile: another watch brings what follows
			return ctx.Err()
		}
		c.listTime.received(reader.listDuration())
		if !c.applyWatched(w, list) {
			return errChangesBeforeAll
		}
	}
}

// watchReader reads the body of a watch and bounds the bytes and the time that one list may take. Between two lists each
// byte is a sign of life; of a list only its begin is, or one that trickles would never be given up.
type watchReader struct {
	body           io.Reader
	silence        *time.Timer // ends the watch after a silence
	silenceTimeout time.Duration
	slowList       *time.Timer // ends the watch if a list takes too long

	bytesRemaining int           // what the list may still take
	timeAllowed    time.Duration // what the list may take
	listBegan      time.Time     // zero: no byte of it has come
}

// expectList sets the bounds of the next list.
func (r *watchReader) expectList(timeAllowed time.Duration) {
	r.slowList.Stop()
	r.silence.Reset(r.silenceTimeout)
	r.bytesRemaining, r.timeAllowed, r.listBegan = maxListSize, timeAllowed, time.Time{}
}

// listDuration is how long the list that was read last took to come.
func (r *watchReader) listDuration() time.Duration {
	if r.listBegan.IsZero() { // it came along with the list before
		return 0
	}
	return time.Since(r.listBegan)
}

func (r *watchReader) Read(p []byte) (int, error) {
	if r.bytesRemaining <= 0 {
		return 0, errListTooLong
	}
	n, err := r.body.Read(p[:min(len(p), r.bytesRemaining)])
	r.bytesRemaining -= n
	switch {
	case n == 0 || !r.listBegan.IsZero():
	case len(bytes.TrimSpace(p[:n])) == 0:
		r.silence.Reset(r.silenceTimeout)
	default:
		r.listBegan = time.Now()
		r.silence.Stop()
		r.slowList.Reset(r.timeAllowed)
	}
	return n, err
}
