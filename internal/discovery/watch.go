package discovery

import (
	"ashshunt/internal/endpoint"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// watch is one watch of an address.
type watch struct {
	addr  string
	since int64 // the version that it continues
	stop  context.CancelFunc
}

// resume begins an unasked watch again after an exponential, fully jittered wait, unless another began meanwhile.
// A watch of an address from which discovery has moved away does not count.
func (d *Client) resume(ctx context.Context) {
	d.mu.Lock()
	wait := time.Duration(d.rng.Float64() * float64(min(d.unit<<min(d.fails, maxDoubling), d.longest)))
	d.fails++
	d.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return
	}
	d.mu.Lock()
	watched := d.current != nil && d.current.addr == d.addr || d.next != nil
	d.mu.Unlock()
	if !watched {
		d.Subscribe(ctx)
	}
}

// stream is what a watch brings. It tells of every byte, and bounds one list.
type stream struct {
	io.Reader
	heard func()
	left  int // bytes that the list may still take
}

func (s *stream) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, errors.New("too long a list")
	}
	n, err := s.Reader.Read(p[:min(len(p), s.left)])
	s.left -= n
	if n > 0 {
		s.heard()
	}
	return n, err
}

// follow reads changes until the watch ends, falls silent or brings what can't be read. A list ends where its
// JSON does, which may be several lines on.
func (d *Client) follow(ctx context.Context, w *watch) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(d.calling, func() { cancel(errors.New("silent")) })
	defer silence.Stop()
	query := "?follow=1"
	if w.since != unknown {
		query += fmt.Sprintf("&since=%d", w.since)
	}
	resp, err := d.get(ctx, w.addr, query)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	heard := func() { silence.Reset(d.silence) }
	heard()
	d.establish(w, false)
	d.log.Info("watch begins", "discovery", w.addr, "since", w.since)
	in := &stream{Reader: resp.Body, heard: heard}
	for lists := json.NewDecoder(in); ; {
		in.left = maxListing
		var raw json.RawMessage
		if err := lists.Decode(&raw); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return fmt.Errorf("reading changes: %w", err)
		}
		l, err := endpoint.ParseList(raw)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err() // replaced or silent meanwhile: what follows is not ours to tell
		}
		if !d.take(w, w.addr, l) {
			return errors.New("changes came before the whole list")
		}
	}
}
