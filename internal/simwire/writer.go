package simwire

import (
	"bufio"
	"fmt"
	"io"

	"ashshunt/balancer"
)

// Writer writes replies. A reply is written by calls of WriteActions and WriteBroken, and ended by FinishReply.
type Writer struct {
	out     *bufio.Writer
	encoder lineEncoder // encodes the current message
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, bufferSize)} }

// UnknownActionError reports an action of a type that has no encoding.
type UnknownActionError struct{ Action balancer.Action }

func (e *UnknownActionError) Error() string {
	return fmt.Sprintf("encode action: unknown type %T", e.Action)
}

// WriteActions writes the actions of one instance.
func (w *Writer) WriteActions(agent int, actions []balancer.Action) error {
	for _, action := range actions {
		if err := w.encoder.encode(agent, action); err != nil {
			return err
		}
		if err := w.writeLine(); err != nil {
			return err
		}
	}
	return nil
}

// WriteBroken reports that an instance has failed with an internal error.
func (w *Writer) WriteBroken(agent int, text string) error {
	w.encoder.startMessage(kindBroken, agent).text("Msg", text)
	return w.writeLine()
}

// FinishReply ends a reply and flushes it.
func (w *Writer) FinishReply() error {
	w.encoder.startReplyEnd()
	if err := w.writeLine(); err != nil {
		return err
	}
	return w.out.Flush()
}

func (w *Writer) writeLine() error {
	_, err := w.out.Write(w.encoder.finish())
	return err
}
