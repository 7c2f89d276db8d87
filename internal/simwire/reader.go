package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"ashshunt/internal/clock"
)

// bufferSize is the size of the buffers for input and output; lines may be longer.
const bufferSize = 1 << 16

// Reader reads batches.
type Reader struct {
	in      *bufio.Reader
	line    int // number of the line that was read last
	decoder decoder
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferSize), decoder: newDecoder()}
}

// Next reads one batch. It returns io.EOF where the input ends between batches, and a *LineError where the input is
// malformed.
func (r *Reader) Next() (*Batch, error) {
	var batch *Batch
	for {
		m, err := r.readMessage()
		if errors.Is(err, io.EOF) && batch != nil {
			return nil, &LineError{Line: r.line, Err: ErrUnfinishedBatch}
		}
		if err != nil {
			return nil, err
		}
		switch {
		case m.Kind == kindFrame:
			batch, err = r.startBatch(batch, m)
		case batch == nil:
			err = &LineError{Line: r.line, Err: &OutsideBatchError{Message: m.Kind}}
		case m.Kind == kindEnd:
			return batch, nil
		default:
			err = r.addTo(batch, m)
		}
		if err != nil {
			return nil, err
		}
	}
}

// readMessage reads the next line that is not blank. It returns io.EOF at the end of the input.
func (r *Reader) readMessage() (*message, error) {
	for {
		text, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(text) == 0 {
			return nil, io.EOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, &LineError{Line: r.line + 1, Err: err}
		}
		r.line++
		if len(bytes.Trim(text, " \t\r\n")) == 0 {
			continue
		}
		var m message
		if err := json.Unmarshal(text, &m); err != nil {
			return nil, &LineError{Line: r.line, Err: err}
		}
		return &m, nil
	}
}

// startBatch returns the batch that m starts; open is the batch that has not ended yet, if any.
func (r *Reader) startBatch(open *Batch, m *message) (*Batch, error) {
	if open != nil {
		return nil, &LineError{Line: r.line, Err: ErrNestedBatch}
	}
	if m.ClockMs == nil {
		return nil, &LineError{Line: r.line, Message: m.Kind, Err: missing("ClockMs")}
	}
	return &Batch{Now: clock.Milliseconds(*m.ClockMs)}, nil
}

// addTo appends the event that m holds, or keeps the endpoint list that it defines.
func (r *Reader) addTo(batch *Batch, m *message) error {
	if m.Kind == kindDefineList {
		if err := r.decoder.defineList(m); err != nil {
			return &LineError{Line: r.line, Message: m.Kind, Err: err}
		}
		return nil
	}
	event, err := r.decoder.event(m)
	if err != nil {
		return &LineError{Line: r.line, Message: m.Kind, Err: err}
	}
	event.Line = r.line
	batch.Events = append(batch.Events, event)
	return nil
}
