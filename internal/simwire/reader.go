package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"ashshunt/internal/clock"
)

// bufferSize is the size of the input and output buffers; lines may be longer.
const bufferSize = 1 << 16

// Reader reads batches of events.
type Reader struct {
	in         *bufio.Reader
	lineNumber int // number of the last line that was read
	decoder    decoder
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferSize), decoder: newDecoder()}
}

// Next reads the next batch. It returns io.EOF if the input ends between batches, and a *LineError if the input is
// malformed or can't be read.
func (r *Reader) Next() (*Batch, error) {
	batch, err := r.readBatchStart()
	if err != nil {
		return nil, err
	}
	for {
		m, err := r.readMessage()
		if errors.Is(err, io.EOF) {
			return nil, r.lineError("", ErrUnfinishedBatch)
		}
		if err != nil {
			return nil, err
		}
		if m.Kind == kindEnd {
			return batch, nil
		}
		if err := r.addMessage(batch, m); err != nil {
			return nil, err
		}
	}
}

// readBatchStart reads the message that starts a batch.
func (r *Reader) readBatchStart() (*Batch, error) {
	m, err := r.readMessage()
	if err != nil {
		return nil, err
	}
	if m.Kind != kindFrame {
		return nil, r.lineError("", &OutsideBatchError{Message: m.Kind})
	}
	if m.ClockMs == nil {
		return nil, r.lineError(m.Kind, newMissingFieldError("ClockMs"))
	}
	return &Batch{Now: clock.FromMilliseconds(*m.ClockMs)}, nil
}

// addMessage appends the event that m holds to the batch, or stores the endpoint list that m defines.
func (r *Reader) addMessage(batch *Batch, m *message) error {
	switch m.Kind {
	case kindFrame:
		return r.lineError("", ErrNestedBatch)
	case kindDefineList:
		if err := r.decoder.defineList(m); err != nil {
			return r.lineError(m.Kind, err)
		}
	default:
		event, err := r.decoder.decodeEvent(m)
		if err != nil {
			return r.lineError(m.Kind, err)
		}
		event.Line = r.lineNumber
		batch.Events = append(batch.Events, event)
	}
	return nil
}

// readMessage reads and decodes the next line that is not blank. It returns io.EOF at the end of the input.
func (r *Reader) readMessage() (*message, error) {
	for {
		text, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(text) == 0 {
			return nil, io.EOF
		}
		r.lineNumber++
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, r.lineError("", err)
		}
		if len(bytes.Trim(text, " \t\r\n")) == 0 {
			continue
		}
		var m message
		if err := json.Unmarshal(text, &m); err != nil {
			return nil, r.lineError("", err)
		}
		return &m, nil
	}
}

// lineError returns an error for the last line that was read. message is the kind of its message, or empty.
func (r *Reader) lineError(message string, err error) error {
	return &LineError{Line: r.lineNumber, Message: message, Err: err}
}
