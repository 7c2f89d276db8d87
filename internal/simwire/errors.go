package simwire

import (
	"fmt"
	"strings"
)

// sentinelError is an error without details.
type sentinelError string

func (e sentinelError) Error() string { return string(e) }

// The errors of a malformed stream. They are wrapped in a *LineError.
const (
	// ErrUnfinishedBatch reports that the input ends before the end of a batch.
	ErrUnfinishedBatch = sentinelError("input ended inside a batch")
	// ErrNestedBatch reports that a batch starts before the previous one has ended.
	ErrNestedBatch = sentinelError(kindFrame + " inside a batch, want End first")
	// ErrUnknownMessage reports a message of an unknown kind.
	ErrUnknownMessage = sentinelError("unknown message kind")
)

// LineError reports the position of an error in the stream.
type LineError struct {
	Line    int    // line number, from 1
	Message string // kind of the message, such as "Submit"; empty if the error is not about its content
	Err     error
}

func (e *LineError) Error() string {
	if e.Message == "" {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Message, e.Err)
}

// Unwrap returns the error without its position.
func (e *LineError) Unwrap() error { return e.Err }

// OutsideBatchError reports a message before the start of a batch.
type OutsideBatchError struct{ Message string }

func (e *OutsideBatchError) Error() string {
	return fmt.Sprintf("got message %q outside a batch, want Frame", e.Message)
}

// MissingFieldError reports a message in which at least one of the required fields is absent.
type MissingFieldError struct{ Fields []string }

func (e *MissingFieldError) Error() string {
	last := len(e.Fields) - 1
	if last < 1 {
		return "missing field " + strings.Join(e.Fields, "")
	}
	return "missing field " + strings.Join(e.Fields[:last], ", ") + " or " + e.Fields[last]
}

// newMissingFieldError returns a *MissingFieldError for the required fields of a message, of which at least one is
// absent.
func newMissingFieldError(fields ...string) error { return &MissingFieldError{Fields: fields} }

// FieldError reports a field whose value can't be decoded.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }

// UnknownWordError reports a field of a message whose value is not one of the words that it may hold. The error of the
// same name in internal/config is for the settings object.
type UnknownWordError struct{ Field, Word string }

func (e *UnknownWordError) Error() string {
	return fmt.Sprintf("%s: unknown value %q", e.Field, e.Word)
}

// UndefinedListError reports a reference to an endpoint list that no message has defined.
type UndefinedListError struct{ Sheet int }

func (e *UndefinedListError) Error() string {
	return fmt.Sprintf("Sheet: endpoint list %d is not defined", e.Sheet)
}
