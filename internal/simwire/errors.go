package simwire

import (
	"fmt"
	"strings"
)

// sentinelError is an error that has no details.
type sentinelError string

func (e sentinelError) Error() string { return string(e) }

// Errors of a stream that can't be read further. They come wrapped in a *LineError.
const (
	// ErrUnfinishedBatch reports that the input ends before the end of a batch.
	ErrUnfinishedBatch = sentinelError("the input ends within a batch")
	// ErrNestedBatch reports that a batch starts before the one before it has ended.
	ErrNestedBatch = sentinelError(kindFrame + " within a batch")
	// ErrUnknownMessage reports a message of a kind that this package does not know.
	ErrUnknownMessage = sentinelError("unknown message")
)

// LineError says where in the stream an error was found.
type LineError struct {
	Line    int    // from 1
	Message string // the kind of the message, such as "Submit"; "" where the error is not about its content
	Err     error
}

func (e *LineError) Error() string {
	if e.Message == "" {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Message, e.Err)
}

// Unwrap returns the error that was found.
func (e *LineError) Unwrap() error { return e.Err }

// OutsideBatchError reports a message that came before the start of a batch.
type OutsideBatchError struct{ Message string }

func (e *OutsideBatchError) Error() string { return fmt.Sprintf("%q outside a batch", e.Message) }

// MissingFieldError reports that a message lacks at least one of the fields that it must carry.
type MissingFieldError struct{ Fields []string }

func (e *MissingFieldError) Error() string {
	last := len(e.Fields) - 1
	if last < 1 {
		return "missing " + strings.Join(e.Fields, "")
	}
	return "missing " + strings.Join(e.Fields[:last], ", ") + " or " + e.Fields[last]
}

// newMissingFieldError returns a *MissingFieldError for the fields of which at least one is absent.
func newMissingFieldError(fields ...string) error { return &MissingFieldError{Fields: fields} }

// FieldError reports a field whose value can't be decoded.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

// UnknownWordError reports a field of a message whose value is none of the words that it may hold. For words of the
// settings object see the error of the same name in internal/config.
type UnknownWordError struct{ Field, Word string }

func (e *UnknownWordError) Error() string { return fmt.Sprintf("unknown %s %q", e.Field, e.Word) }

// UndefinedListError reports a reference to an endpoint list that no message has defined.
type UndefinedListError struct{ Sheet int }

func (e *UndefinedListError) Error() string {
	return fmt.Sprintf("Sheet %d was never defined", e.Sheet)
}
